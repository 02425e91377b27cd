"""Finds the faulty fields of a JSON body that cattrs refused.

A caller can correct a request only if the answer names the field, and not just
the object that contains it.
"""

import difflib
from collections.abc import Iterator
from typing import Final, final

import attrs
import cattrs

BODY_FIELD: Final = 'body'


@final
@attrs.frozen
class FieldFault:
    """Path of one field, such as ``statements[0].sql``, and its problem."""

    field: str
    problem: str


def field_faults(error: BaseException) -> tuple[FieldFault, ...]:
    """Return all faults of a body, in the order of the fields.

    Parameters
    ----------
    error
        Error that ``codec.decode`` raised.
    """
    return tuple(_find_faults(error, ''))


def _find_faults(error: BaseException, path: str) -> Iterator[FieldFault]:
    match error:
        case cattrs.ClassValidationError():
            named, others = error.group_exceptions()
            for inner, note in named:
                yield from _find_faults(inner, f'{path}.{note.name}')
        case cattrs.IterableValidationError():
            indexed, others = error.group_exceptions()
            for fault, item_note in indexed:
                yield from _find_faults(fault, f'{path}[{item_note.index}]')
        case cattrs.ForbiddenExtraKeysError(extra_fields=names):
            for name in sorted(names):
                problem = _describe_extra(name, error.cl)
                yield _fault(f'{path}.{name}', problem)
            return
        case _:
            yield _fault(path, _describe(error))
            return
    for unnamed in others:
        yield from _find_faults(unnamed, path)


def _fault(path: str, problem: str) -> FieldFault:
    return FieldFault(path.lstrip('.') or BODY_FIELD, problem)


def _describe(error: BaseException) -> str:
    if isinstance(error, KeyError):
        return 'it is required'
    if isinstance(error, (TypeError, ValueError)):
        return str(error)
    return f'it does not have the expected form ({type(error).__name__})'


def _describe_extra(name: str, model: type) -> str:
    known = [field.name for field in attrs.fields(model)]
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f'there is no such field, did you mean {close[0]}?'
    return 'there is no such field'
