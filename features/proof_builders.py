"""Builds a correct history with its log, and plants one fault into it."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, final

import attrs

from loadtool.history import History
from loadtool.history_events import (
    DocumentSeen,
    HostStopped,
    TargetLeft,
    TermAdopted,
)
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.surviving_log import LoggedTransaction, SurvivingLog

GROUP: Final = 'forge-0'
_PART_COUNT: Final = 3


def build_record(kind: RequestKind, mark: str, **fields: Any) -> HistoryRecord:
    """Build a completed request that takes 0.1 s."""
    sent_s = fields.pop('sent_s')
    usual: dict[str, Any] = {
        'group': GROUP,
        'session': mark.split('.')[0],
        'request_id': f'id-{mark}',
        'host': 'host-0',
        'last_sent_s': sent_s,
        'answered_s': sent_s + 0.1,
        'outcome': Result.COMPLETED,
        'member': 'forge-0-0',
        'part_count': _PART_COUNT,
        'nonces': (mark,),
    }
    return HistoryRecord(
        kind=kind,
        mark=mark,
        sent_s=sent_s,
        **{**usual, **fields},
    )


def build_entry(position: int, term: int, *marks: str) -> LoggedTransaction:
    """Build a log entry with as many statements as a write has."""
    return LoggedTransaction(
        position=position,
        term=term,
        marks=tuple(mark for mark in marks for _ in range(_PART_COUNT)),
        request_ids=tuple(f'id-{mark}' for mark in marks),
    )


def _build_records() -> dict[str, HistoryRecord]:
    write, read = RequestKind.WRITE, RequestKind.READ
    seen = {'a': 2, 'b': 1}
    pair = ('a.2', 'a.2')
    return {
        'first': build_record(
            write, 'a.1', sent_s=1, sequence=1, token='forge-0:1:2'
        ),
        'second': build_record(
            write, 'a.2', sent_s=5, sequence=2, token='forge-0:2:5'
        ),
        'transaction': build_record(
            RequestKind.TRANSACTION,
            'b.1',
            sent_s=2,
            sequence=1,
            token='forge-0:1:3',
            durability='primary',
        ),
        'refused': build_record(
            write,
            'b.2',
            sent_s=2.5,
            outcome=Result.REFUSED,
            reason='no_primary',
            nonces=(),
        ),
        'undone': build_record(
            RequestKind.TRANSACTION,
            'b.3',
            sent_s=3,
            outcome=Result.ROLLED_BACK,
        ),
        'open': build_record(
            write, 'b.4', sent_s=4, outcome=Result.UNKNOWN, nonces=()
        ),
        'read': build_record(
            read,
            'a.3',
            sent_s=8,
            by_session=True,
            max_age_ms=1000,
            sequences=seen,
            pair=pair,
        ),
        'token_read': build_record(
            read,
            'a.4',
            sent_s=9,
            sent_token='forge-0:2:5',
            max_age_ms=5000,
            data_age_ms=4500,
            sequences=seen,
            pair=pair,
        ),
        'stranger': build_record(
            read,
            'c.1',
            sent_s=8.5,
            max_age_ms=4000,
            data_age_ms=4000,
            sequences={'a': 1, 'b': 1},
            pair=('a.1', 'a.1'),
        ),
    }


@final
class ProofCase:
    """Named records and the log; plants change one of them."""

    def __init__(self) -> None:
        """Build a run without any fault in the product."""
        self.records = _build_records()
        self.entries = [
            build_entry(1, 1),
            build_entry(2, 1, 'a.1'),
            build_entry(3, 1, 'b.1'),
            build_entry(4, 2),
            build_entry(5, 2, 'a.2'),
        ]
        self.history = History()
        self.history.add(TermAdopted(GROUP, 2, 4.5))

    def change(self, name: str, **fields: Any) -> None:
        """Change fields of a named record."""
        self.records[name] = attrs.evolve(self.records[name], **fields)

    def add(self, kind: RequestKind, mark: str, **fields: Any) -> None:
        """Add a record."""
        self.records[f'{kind} {mark}'] = build_record(kind, mark, **fields)

    def append(self, *marks: str) -> None:
        """Add a log entry."""
        self.entries.append(build_entry(len(self.entries) + 1, 2, *marks))

    def log(self) -> SurvivingLog:
        """Return the log that is left."""
        return SurvivingLog(GROUP, self.entries)

    def finish(self) -> History:
        """Return the history with all records."""
        for record in self.records.values():
            self.history.add(record)
        return self.history


def _lose(case: ProofCase) -> None:
    case.entries[1] = build_entry(2, 1)


def _lose_unchanged(case: ProofCase) -> None:
    case.entries[4] = build_entry(5, 2)
    case.change('second', durability='primary')


def _mix(case: ProofCase) -> None:
    case.entries[4] = build_entry(5, 2, 'a.2', 'b.4')


def _shorten(case: ProofCase) -> None:
    case.entries[4] = attrs.evolve(case.entries[4], marks=('a.2', 'a.2'))


def _settle(case: ProofCase, outcome: Result, reason: str | None) -> None:
    case.add(
        RequestKind.SETTLE,
        'b.4',
        sent_s=6,
        outcome=outcome,
        reason=reason,
        nonces=(),
    )


def _cancel_run(case: ProofCase) -> None:
    case.append('b.4')
    _settle(case, Result.REFUSED, 'request_cancelled')


def _report_false_loss(case: ProofCase) -> None:
    case.change(
        'token_read',
        outcome=Result.REFUSED,
        reason='session_write_lost',
        nonces=(),
    )


def _serve_leaving(case: ProofCase) -> None:
    case.history.add(TargetLeft('forge-0-0', 4, 10))


def _interrupt(case: ProofCase) -> None:
    case.history.add(HostStopped('host-0', 4.05, 5))
    case.change('open', is_broken=True)


def _revert(case: ProofCase) -> None:
    for revision in (3, 2):
        case.history.add(DocumentSeen('host-0/1', 'forge', revision, 7))


def _late_acknowledgement(case: ProofCase) -> None:
    case.add(
        RequestKind.WRITE,
        'c.2',
        sent_s=4.6,
        sequence=1,
        token='forge-0:1:3',
        durability='primary',
    )


def _lose_refused(case: ProofCase) -> None:
    """The one write that a change of primary may lose, reported as lost."""
    case.entries[2] = build_entry(3, 1)
    case.add(
        RequestKind.READ,
        'b.5',
        sent_s=7,
        sent_token='forge-0:1:3',
        outcome=Result.REFUSED,
        reason='session_write_lost',
        nonces=(),
    )


PLANTS: Final[Mapping[str, Callable[[ProofCase], None]]] = MappingProxyType(
    {
        'none': lambda case: None,
        'a write of durability primary is lost': _lose_refused,
        'an open write ran': lambda case: case.append('b.4'),
        'a replicated write is lost': _lose,
        'a write is lost without a change': _lose_unchanged,
        'a write ran twice': lambda case: case.append('a.1'),
        'an unknown write ran twice': lambda case: (
            case.append('b.4'),
            case.append('b.4'),
        )[0],
        'a refused write ran': lambda case: case.append('b.2'),
        'a rolled back transaction ran': lambda case: case.append('b.3'),
        'a replaced primary acknowledges': _late_acknowledgement,
        'a token names another entry': lambda case: case.change(
            'first', token='forge-0:1:3'
        ),
        'a session read misses its write': lambda case: case.change(
            'read', sequences={'a': 1, 'b': 1}, sent_s=5.5, data_age_ms=1000
        ),
        'a token read misses its write': lambda case: case.change(
            'token_read', sequences={'a': 1, 'b': 1}
        ),
        'a survived write is reported lost': _report_false_loss,
        'a read is too old': lambda case: case.change(
            'stranger', max_age_ms=3000, data_age_ms=4000
        ),
        'a read states a wrong age': lambda case: case.change(
            'stranger', data_age_ms=100
        ),
        'two transactions are mixed': _mix,
        'a transaction is incomplete': _shorten,
        'a read shows half a transaction': lambda case: case.change(
            'stranger', pair=('a.1', 'b.1')
        ),
        'a read shows a refused write': lambda case: case.change(
            'stranger', pair=('b.2', 'b.2')
        ),
        'a read gets another answer': lambda case: case.change(
            'read', nonces=('c.1',)
        ),
        'a read has no answer': lambda case: case.change('read', nonces=()),
        'a cancelled write ran': _cancel_run,
        'a settled write is missing': lambda case: _settle(
            case, Result.COMPLETED, None
        ),
        'a leaving target serves reads': _serve_leaving,
        'a stopping host breaks a request': _interrupt,
        'a host reverts its document': _revert,
    }
)
