"""Statements of a caller, decoded."""

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
    """End of a transaction that keeps its writes."""


@final
@attrs.frozen
class Rollback:
    """End of a transaction that keeps nothing."""


@final
@attrs.frozen
class DirectStatement:
    """A read or a write given in full.

    Parameters
    ----------
    text
        Passed on unchanged.
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
    """What a prepared name stands for; equal for equal statements."""

    text: str
    is_write: bool


@final
@attrs.frozen
class Prepare:
    """Definition of a prepared name."""

    name: str
    shape: Shape


@final
@attrs.frozen
class Execute:
    """Run of a prepared name.

    Parameters
    ----------
    arguments
        Passed on unchanged.
    """

    name: str
    arguments: str


@final
@attrs.frozen
class Deallocate:
    """Removal of a prepared name."""

    name: str


@final
@attrs.frozen
class MalformedStatement:
    """A text that is no statement."""

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
