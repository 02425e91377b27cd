"""Problems of a file that an operator wrote.

All problems of a file are collected and reported together, so that operators
can correct them at once instead of one per run.
"""

import dataclasses
import pathlib
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """One problem of the file, its place and its remedy.

    Attributes
    ----------
    line_number
        Line of the problem; the first line is 1.
    field
        Path such as ``groups[0].members[1].address``; empty for the whole
        file.
    problem, remedy
        Full sentences for operators; they never quote a secret.
    """

    line_number: int
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the message that operators see."""
        where = f'field {self.field}: ' if self.field else ''
        return f'line {self.line_number}: {where}{self.problem} {self.remedy}'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class InvalidFile:
    """The file was not loaded; ``problems`` are sorted by line."""

    problems: tuple[FileProblem, ...]


def invalid_file(problems: list[FileProblem]) -> InvalidFile:
    """Return the result for a file with problems, sorted by line."""
    ordered = sorted(problems, key=lambda problem: problem.line_number)
    return InvalidFile(tuple(ordered))


def unreadable_file(path: pathlib.Path, error: Exception) -> FileProblem:
    """Return the problem for a file that could not be read or decoded."""
    reason = getattr(error, 'strerror', None) or 'it is not UTF-8 text'
    return FileProblem(
        1,
        '',
        f'{path} could not be read: {reason}.',
        'Check the path, the permissions and the encoding.',
    )
