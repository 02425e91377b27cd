"""Reasons for which a connection of the wire protocol cannot be used further.

Each class is raised by ``LineStream`` and ends the connection.
"""

from typing import final


class LineStreamError(Exception):
    """A line could not be read or written."""


@final
class LineTooLongError(LineStreamError):
    """The other side sent a line longer than ``MAX_LINE_BYTES``."""


@final
class LineUnreadableError(LineStreamError):
    """The other side sent a line that is not valid UTF-8."""


@final
class LineStalledError(LineStreamError):
    """The rest of a line did not come in time."""


@final
class MemoryRefusedError(LineStreamError):
    """There was no memory for the rest of a line in time."""


@final
class AnswerUnreadError(LineStreamError):
    """The other side did not take what was written in time."""
