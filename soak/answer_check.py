"""Checks whether a success is the answer to its request, and whole."""

from collections.abc import Mapping
from typing import Final

from soak.caller_link import Done
from standins.database_group.signature import is_answer_to

# Hosts may answer all other statements themselves.
_SIGNED: Final = frozenset(('READ', 'WRITE', 'EXECUTE', 'COMMIT'))


def mixed_problem(
    request_id: str, text: str, shapes: Mapping[str, str], answer: Done
) -> str:
    """Return what is wrong with a success; empty if nothing is.

    Parameters
    ----------
    shapes
        What the caller prepared, by name.
    """
    if text.partition(' ')[0] not in _SIGNED:
        return ''
    if is_answer_to(request_id, text, shapes, answer.rows, answer.signature):
        return ''
    return f'{text} was answered with {answer.rows} {answer.signature}'
