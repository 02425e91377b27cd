"""Results of calls to the platform."""

import dataclasses
from collections.abc import Mapping
from typing import Any, TypeAlias, final

JsonValue: TypeAlias = Any


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; revision 0 stands for an absent row."""

    key: str
    revision: int
    payload: Mapping[str, JsonValue] | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The compare-and-set took effect at ``revision``."""

    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RowConflict:
    """The row has another revision; ``current`` is the row."""

    current: Row


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """No answer; a write may have taken effect."""

    problem: str


ReadRowResult: TypeAlias = Row | PlatformUnavailable
WriteRowResult: TypeAlias = RowWritten | RowConflict | PlatformUnavailable
