"""JSON bodies of the requests between hosts.

Clocks of hosts differ, so times are sent as ages. As the transit time is not
added to an age, the receiving host takes the time as later than it was and
waits for a newer log position, never for an older one.
"""

from collections.abc import Mapping
from typing import Any, Final

from mimosapond.configuration.route import Freshness, Route
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import (
    ExecutableStatement,
    PreparedCall,
    SessionFloor,
    Work,
)
from mimosapond.statements.reply import Failure, FailureKind, Reply, Success
from mimosapond.statements.statement import DirectStatement, Shape

_MS_PER_S: Final = 1000


def encode_work(work: Work, now_s: float) -> dict[str, Any]:
    """Return the JSON body for work; ``now_s`` is on the boot clock."""
    return {
        'request_id': work.request_id,
        'access': _encode_statement(work.statement),
        'values': dict(work.values),
        'route': _encode_route(work.route),
        'remaining_ms': (work.deadline_s - now_s) * _MS_PER_S,
        'floor': _encode_floor(work.floor, now_s),
        'workspace': work.workspace,
        'key_digest': work.key_digest,
        'configuration_version': work.configuration_version,
    }


def decode_work(
    body: Mapping[str, Any], directory: GroupDirectory, now_s: float
) -> Work:
    """Return the work of a JSON body.

    Parameters
    ----------
    directory
        Gets the group of the work if it is not listed yet.
    now_s
        Time of arrival, on this host's boot clock.

    Raises
    ------
    KeyError, TypeError, ValueError
        The body does not describe work.
    """
    route = Route(
        **{
            **body['route'],
            'freshness': Freshness(body['route']['freshness']),
        },
    )
    return Work(
        request_id=str(body['request_id']),
        statement=_decode_statement(body['access']),
        values=dict(body['values']),
        route=route,
        group=directory.get_or_create(route.group),
        arrived_s=now_s,
        deadline_s=now_s + body['remaining_ms'] / _MS_PER_S,
        floor=_decode_floor(body['floor'], now_s),
        # Hosts of an earlier version of the product do not send these.
        workspace=str(body.get('workspace', '')),
        key_digest=str(body.get('key_digest', '')),
        configuration_version=int(body.get('configuration_version', -1)),
    )


def encode_outcome(
    reply: Reply, position: LogPosition | None
) -> dict[str, Any]:
    """Return the JSON body for a reply and the position after a commit."""
    match reply:
        case Success(rows=rows, signature=signature):
            body: dict[str, Any] = {'rows': rows, 'signature': signature}
        case Failure(kind=kind, text=text):
            body = {'failure': kind.value, 'text': text}
    return {**body, 'position': encode_position(position)}


def decode_outcome(body: Mapping[str, Any]) -> WorkDone:
    """Return the reply and position of a JSON body.

    Raises
    ------
    KeyError, TypeError, ValueError
        The body does not describe a reply.
    """
    position = decode_position(body['position'])
    kind = body.get('failure')
    if kind is not None:
        failure = Failure(FailureKind(kind), str(body['text']))
        return WorkDone(failure, position)
    rows = tuple(str(row) for row in body['rows'])
    return WorkDone(Success(rows, str(body['signature'])), position)


def encode_position(position: LogPosition | None) -> list[int] | None:
    """Return term and number of a position as a JSON list."""
    return None if position is None else [position.term, position.number]


def decode_position(content: list[int] | None) -> LogPosition | None:
    """Return the position of a JSON list of term and number.

    Raises
    ------
    TypeError, ValueError
        The content is not such a list.
    """
    if content is None:
        return None
    term, number = content
    return LogPosition(int(term), int(number))


def _encode_route(route: Route) -> dict[str, Any]:
    fields = {
        'database': route.database,
        'group': route.group,
        'freshness': route.freshness.value,
        'max_age_ms': route.max_age_ms,
        'statement_timeout_ms': route.statement_timeout_ms,
        'priority': route.priority,
    }
    # Hosts of an earlier version of the product refuse routes with this field.
    if route.is_anonymous:
        fields['is_anonymous'] = True
    return fields


def _encode_statement(statement: ExecutableStatement) -> dict[str, Any]:
    match statement:
        case PreparedCall(shape=shape, arguments=arguments):
            return {
                'shape': shape.text,
                'arguments': arguments,
                'is_write': shape.is_write,
            }
        case DirectStatement(text=text, is_write=is_write):
            return {'text': text, 'is_write': is_write}


def _decode_statement(body: Mapping[str, Any]) -> ExecutableStatement:
    is_write = bool(body['is_write'])
    shape = body.get('shape')
    if shape is not None:
        prepared = Shape(str(shape), is_write=is_write)
        return PreparedCall(prepared, str(body['arguments']))
    return DirectStatement(str(body['text']), is_write=is_write)


def _encode_floor(
    floor: SessionFloor | None, now_s: float
) -> dict[str, Any] | None:
    if floor is None:
        return None
    return {
        'position': encode_position(floor.position),
        'age_ms': (now_s - floor.acknowledged_s) * _MS_PER_S,
    }


def _decode_floor(
    body: Mapping[str, Any] | None, now_s: float
) -> SessionFloor | None:
    if body is None:
        return None
    position = decode_position(body['position'])
    if position is None:
        return None
    return SessionFloor(position, now_s - body['age_ms'] / _MS_PER_S)
