"""Rules that the value of a field in a YAML file must satisfy."""

import re
from typing import Final, TypeAlias, final

import attrs

NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')


@final
@attrs.frozen
class NameRule:
    """A name that is valid in session tokens, URLs and metric names."""


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
    """``ip:port``; host names are rejected, since no names are resolved."""


@final
@attrs.frozen
class ChoiceRule:
    """One of the values in ``choices``."""

    choices: tuple[str, ...]


@final
@attrs.frozen
class TextRule:
    """Any non-empty text."""


@final
@attrs.frozen
class SecretRule:
    """A secret; problems are reported without quoting it."""


FieldRule: TypeAlias = (
    NameRule
    | WholeNumberRule
    | NumberRule
    | AddressRule
    | ChoiceRule
    | TextRule
    | SecretRule
)
