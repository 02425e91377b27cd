"""One fault of a file that an operator wrote.

All faults of a file are collected and reported together, since correcting them
one run at a time is slow.
"""

import dataclasses
import pathlib
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """What is wrong, where, and what to do.

    Attributes
    ----------
    line_number
        First line is 1.
    field
        Path such as ``groups[0].members[1].address``; empty for the file.
    problem, remedy
        For people; they never quote a secret.
    """

    line_number: int
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        where = f'field {self.field}: ' if self.field else ''
        return f'line {self.line_number}: {where}{self.problem} {self.remedy}'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class InvalidFile:
    """The file was not loaded; ``problems`` are in the order of the lines."""

    problems: tuple[FileProblem, ...]


def invalid_file(problems: list[FileProblem]) -> InvalidFile:
    """Return the outcome for ``problems``, sorted by line."""
    ordered = sorted(problems, key=lambda problem: problem.line_number)
    return InvalidFile(tuple(ordered))


def unreadable_file(path: pathlib.Path, error: Exception) -> FileProblem:
    """Return the problem of a file that can't be read."""
    reason = getattr(error, 'strerror', None) or 'it is not UTF-8 text'
    return FileProblem(
        1,
        '',
        f'{path} could not be read: {reason}.',
        'Check the path, the permissions and the encoding.',
    )
