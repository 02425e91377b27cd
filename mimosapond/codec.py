"""JSON structure of the project's data classes.

cattrs checks types; unknown fields are refused, so a misspelt limit is never
silently ignored.
"""

import enum
import json
import reprlib
from collections.abc import Mapping
from typing import Any, Final, TypeVar, cast

import attrs
import cattrs

from mimosapond.outcome import Outcome

_Model = TypeVar('_Model')

CONVERTER: Final = cattrs.Converter(forbid_extra_keys=True)


def _structure_scalar(raw: object, _type: object) -> Any:
    if raw is None or isinstance(raw, (str, int, float)):
        return raw
    raise TypeError(f'expected a string, number or null, got {_short(raw)}')


def _structure_int(raw: object, model: type[int]) -> int:
    if isinstance(raw, int) and not isinstance(raw, bool):
        return model(raw)
    raise TypeError(f'expected an integer, got {_short(raw)}')


def _structure_text(raw: object, model: type[str]) -> str:
    # String enums are dispatched here as well, and build themselves.
    if not isinstance(raw, str):
        raise TypeError(f'expected a string, got {_short(raw)}')
    if issubclass(model, enum.Enum) and raw not in set(model):
        words = ', '.join(model)
        raise ValueError(f'expected one of {words}, got {_short(raw)}')
    return model(raw)


def _structure_flag(raw: object, _model: object) -> bool:
    if isinstance(raw, bool):
        return raw
    raise TypeError(f'expected true or false, got {_short(raw)}')


def _short(raw: object) -> str:
    # A whole body in an answer or a log line would help no one.
    return reprlib.repr(raw)


CONVERTER.register_structure_hook(int, _structure_int)
CONVERTER.register_structure_hook(str, _structure_text)
CONVERTER.register_structure_hook(bool, _structure_flag)
CONVERTER.register_structure_hook(str | int | float | None, _structure_scalar)


def decode(model: type[_Model], payload: object) -> _Model:
    """Build ``model`` from parsed JSON.

    Raises
    ------
    cattrs.BaseValidationError
        When a field is missing, unknown or of another type.
    """
    if attrs.has(model) and not isinstance(payload, Mapping):
        error = TypeError(f'expected a JSON object, got {_short(payload)}')
        raise cattrs.ClassValidationError('not an object', [error], model)
    return CONVERTER.structure(payload, model)


def encode(instance: object) -> dict[str, Any]:
    """Return the JSON structure of a data class instance."""
    return cast(dict[str, Any], CONVERTER.unstructure(instance))


def describe_errors(error: BaseException) -> list[str]:
    """Return one line per faulty field: path and problem."""
    return cattrs.transform_error(error)


def dump_json(payload: Mapping[str, Any]) -> str:
    """Serialize a JSON object compactly."""
    return json.dumps(payload, separators=(',', ':'))


def decode_outcome(payload: object) -> Outcome:
    """Build one of the three outcomes from its tagged JSON structure."""
    return cast(Outcome, CONVERTER.structure(payload, cast(Any, Outcome)))
