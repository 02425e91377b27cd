"""Rules for one field of a YAML file."""

import re
from typing import Final, TypeAlias, final

import attrs

NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')


@final
@attrs.frozen
class NameRule:
    """Names that fit in session tokens, URLs and metric names."""


@final
@attrs.frozen
class WholeNumberRule:
    """A whole number within inclusive bounds."""

    minimum: int
    maximum: int


@final
@attrs.frozen
class NumberRule:
    """A number within inclusive bounds."""

    minimum: float
    maximum: float


@final
@attrs.frozen
class AddressRule:
    """``ip:port``; host names are refused, processes are found by number."""


@final
@attrs.frozen
class ChoiceRule:
    """One of some fixed words."""

    words: tuple[str, ...]


@final
@attrs.frozen
class TextRule:
    """Any text that is not empty."""


@final
@attrs.frozen
class SecretRule:
    """A secret; its faults are reported without quoting it."""


FieldRule: TypeAlias = (
    NameRule
    | WholeNumberRule
    | NumberRule
    | AddressRule
    | ChoiceRule
    | TextRule
    | SecretRule
)
