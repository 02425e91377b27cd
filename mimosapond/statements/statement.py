"""Decoded statements of a caller."""

from typing import TypeAlias, final

import attrs


@final
@attrs.frozen
class Begin:
    """Start of a transaction."""

    is_read_only: bool


@final
@attrs.frozen
class Commit:
    """End of a transaction whose writes are kept."""


@final
@attrs.frozen
class Rollback:
    """End of a transaction whose writes are discarded."""


@final
@attrs.frozen
class DirectStatement:
    """A read or a write that is not prepared.

    Parameters
    ----------
    text
        Passed to the member unchanged.
    """

    text: str
    is_write: bool


@final
@attrs.frozen
class SetValue:
    """Assignment of a session value."""

    name: str
    value: str


@final
@attrs.frozen
class Shape:
    """Statement that is prepared under a name.

    Two of them are equal if text and access are equal, whatever their names.
    """

    text: str
    is_write: bool


@final
@attrs.frozen
class Prepare:
    """Preparation of a statement under a name."""

    name: str
    shape: Shape


@final
@attrs.frozen
class Execute:
    """Execution of a prepared statement.

    Parameters
    ----------
    arguments
        Passed to the member unchanged.
    """

    name: str
    arguments: str


@final
@attrs.frozen
class Deallocate:
    """Removal of a prepared statement."""

    name: str


@final
@attrs.frozen
class MalformedStatement:
    """A text that cannot be decoded as a statement.

    Parameters
    ----------
    problem
        What is wrong with it, as told to the caller.
    """

    problem: str


Statement: TypeAlias = (
    Begin
    | Commit
    | Rollback
    | DirectStatement
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | MalformedStatement
)
