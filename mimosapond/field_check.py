"""Checks one YAML scalar against the rule of its field.

YAML 1.1 reads ``1:30`` as 90 and ``010`` as 8. This module therefore parses
numbers from the text of the scalar and rejects such forms.
"""

import dataclasses
import ipaddress
import re
from typing import Final, TypeAlias, final

import yaml

from mimosapond.field_rule import (
    NAME_PATTERN,
    AddressRule,
    ChoiceRule,
    FieldRule,
    NameRule,
    NumberRule,
    SecretRule,
    WholeNumberRule,
)

MIN_SECRET_LENGTH: Final = 16
_MAX_PORT: Final = 65_535
_TEXT_TAG: Final = 'tag:yaml.org,2002:str'
_WHOLE_NUMBER_TAG: Final = 'tag:yaml.org,2002:int'
_NUMBER_TAGS: Final = frozenset((_WHOLE_NUMBER_TAG, 'tag:yaml.org,2002:float'))
_WHOLE_NUMBER_PATTERN: Final = re.compile('-?(0|[1-9][0-9_]*)')
_NUMBER_PATTERN: Final = re.compile(r'-?(0|[1-9][0-9_]*)(\.[0-9]+)?')
# Secrets are sent in an HTTP header, so spaces and control characters are not
# allowed.
_SECRET_PATTERN: Final = re.compile('[!-~]+')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ValidField:
    """The value of a field that satisfies its rule."""

    content: str | int | float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class InvalidField:
    """What is wrong with a field, and how to correct it."""

    problem: str
    remedy: str


FieldResult: TypeAlias = ValidField | InvalidField


def check_field(node: yaml.Node, rule: FieldRule) -> FieldResult:
    """Return the value of ``node``, or the reason why it is invalid."""
    match rule:
        case WholeNumberRule(minimum=minimum, maximum=maximum):
            return _check_whole_number(node, minimum, maximum)
        case NumberRule(minimum=minimum, maximum=maximum):
            return _check_number(node, minimum, maximum)
        case SecretRule():
            return _check_secret(node)
        case _:
            return _check_text(node, rule)


def check_secret_text(text: str) -> FieldResult:
    """Check a secret from the file, the environment or a secret file."""
    if len(text) < MIN_SECRET_LENGTH:
        return InvalidField(
            'the secret is too short.',
            f'Use at least {MIN_SECRET_LENGTH} characters.',
        )
    if _SECRET_PATTERN.fullmatch(text) is None:
        return InvalidField(
            'the secret has a character that an HTTP header cannot carry.',
            'Use printable ASCII characters without spaces.',
        )
    return ValidField(text)


def _check_whole_number(
    node: yaml.Node, minimum: int, maximum: int
) -> FieldResult:
    is_whole_number = (
        node.tag == _WHOLE_NUMBER_TAG
        and _WHOLE_NUMBER_PATTERN.fullmatch(node.value)
    )
    if not is_whole_number:
        return InvalidField(
            f'{_describe(node)} is not a whole number.',
            f'Use a whole number from {minimum} to {maximum}.',
        )
    return _check_range(int(node.value), minimum, maximum)


def _check_number(
    node: yaml.Node, minimum: float, maximum: float
) -> FieldResult:
    is_number = node.tag in _NUMBER_TAGS and _NUMBER_PATTERN.fullmatch(
        node.value
    )
    if not is_number:
        return InvalidField(
            f'{_describe(node)} is not a number.',
            f'Use a number from {minimum} to {maximum}.',
        )
    return _check_range(float(node.value), minimum, maximum)


def _check_range(
    number: float,
    minimum: float,
    maximum: float,
) -> FieldResult:
    if minimum <= number <= maximum:
        return ValidField(number)
    return InvalidField(
        f'{number} is out of range.',
        f'Use a value from {minimum} to {maximum}.',
    )


def _check_secret(node: yaml.Node) -> FieldResult:
    if node.tag == _TEXT_TAG:
        return check_secret_text(node.value)
    return InvalidField('the secret is not text.', 'Put it in quotes.')


def _check_text(node: yaml.Node, rule: FieldRule) -> FieldResult:
    if node.tag != _TEXT_TAG or not node.value:
        return InvalidField(
            f'{_describe(node)} is not text.',
            'Write a text that is not empty, in quotes if it looks like '
            'a number.',
        )
    match rule:
        case AddressRule():
            return _check_address(node.value)
        case ChoiceRule(choices=choices):
            return _check_choice(node.value, choices)
        case NameRule():
            return _check_name(node.value)
        case _:
            return ValidField(node.value)


def _check_address(text: str) -> FieldResult:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return _invalid_address(text)
    is_port = port.isascii() and port.isdecimal()
    if is_port and 0 < int(port) <= _MAX_PORT:
        return ValidField(text)
    return _invalid_address(text)


def _invalid_address(text: str) -> InvalidField:
    return InvalidField(
        f'{text!r} is not an address.',
        f'Write an IP number and a port from 1 to {_MAX_PORT}, '
        'such as 127.0.0.1:7001.',
    )


def _check_choice(text: str, choices: tuple[str, ...]) -> FieldResult:
    if text in choices:
        return ValidField(text)
    listed = ', '.join(choices)
    return InvalidField(f'{text!r} is not known.', f'Use one of {listed}.')


def _check_name(text: str) -> FieldResult:
    if NAME_PATTERN.fullmatch(text):
        return ValidField(text)
    return InvalidField(
        f'{text!r} is not a name.',
        'Use 1 to 63 letters, digits, dots, hyphens and underscores, '
        'beginning with a letter or digit.',
    )


def _describe(node: yaml.Node) -> str:
    match node:
        case yaml.ScalarNode(value=text):
            return repr(text) if text else 'an empty value'
        case yaml.SequenceNode():
            return 'a list'
        case _:
            return 'a mapping'
