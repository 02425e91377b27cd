"""Checks whether an answer belongs to its request and is complete."""

from collections.abc import Mapping
from typing import Final

from soak.caller_connection import Success
from standins.database_group.signature import is_answer_to

# Commands that a member answers and signs. A host may answer all others.
_SIGNED: Final = frozenset(('READ', 'WRITE', 'EXECUTE', 'COMMIT'))


def find_answer_problem(
    request_id: str, text: str, shapes: Mapping[str, str], answer: Success
) -> str:
    """Describe why a successful answer does not match its request.

    Parameters
    ----------
    shapes
        Prepared statements of the caller by name.

    Returns
    -------
    str
        Description of the problem; empty if the answer is right.
    """
    if text.partition(' ')[0] not in _SIGNED:
        return ''
    if is_answer_to(request_id, text, shapes, answer.rows, answer.signature):
        return ''
    return f'{text} was answered with {answer.rows} {answer.signature}'
