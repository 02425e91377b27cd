"""Conversion between data classes and their JSON structure.

cattrs checks the types. Unknown fields are refused, so that a misspelt limit is
never silently ignored.
"""

import enum
import functools
import json
import reprlib
from collections.abc import Mapping
from typing import Any, Final, TypeVar, cast, get_args, get_origin

import attrs
import cattrs
from cattrs.cols import homogenous_tuple_structure_factory

from mimosapond.outcome import Outcome

_Model = TypeVar('_Model')

CONVERTER: Final = cattrs.Converter(forbid_extra_keys=True)


def _structure_scalar(raw: object, _type: object) -> Any:
    if raw is None or isinstance(raw, (str, int, float)):
        return raw
    raise TypeError(f'expected a string, number or null, got {_shorten(raw)}')


def _structure_int(raw: object, model: type[int]) -> int:
    if isinstance(raw, int) and not isinstance(raw, bool):
        return model(raw)
    raise TypeError(f'expected an integer, got {_shorten(raw)}')


def _structure_text(raw: object, model: type[str]) -> str:
    # cattrs dispatches string enums to this hook as well.
    if not isinstance(raw, str):
        raise TypeError(f'expected a string, got {_shorten(raw)}')
    if issubclass(model, enum.Enum) and raw not in set(model):
        choices = ', '.join(model)
        raise ValueError(f'expected one of {choices}, got {_shorten(raw)}')
    return model(raw)


def _structure_bool(raw: object, _model: object) -> bool:
    if isinstance(raw, bool):
        return raw
    raise TypeError(f'expected true or false, got {_shorten(raw)}')


def _shorten(raw: object) -> str:
    # Answers and log lines must not repeat a whole body.
    return reprlib.repr(raw)


def _is_sequence(model: object) -> bool:
    arguments = get_args(model)
    return get_origin(model) is tuple and arguments[-1] is Ellipsis


def _sequence_hook(model: Any, converter: cattrs.BaseConverter) -> Any:
    structure = homogenous_tuple_structure_factory(model, converter)
    return functools.partial(_structure_sequence, structure)


def _structure_sequence(structure: Any, raw: object, model: Any) -> Any:
    # Strings and objects are iterable too, but they are not lists.
    if isinstance(raw, (list, tuple)):
        return structure(raw, model)
    raise TypeError(f'expected a list, got {_shorten(raw)}')


CONVERTER.register_structure_hook_factory(_is_sequence, _sequence_hook)
CONVERTER.register_structure_hook(int, _structure_int)
CONVERTER.register_structure_hook(str, _structure_text)
CONVERTER.register_structure_hook(bool, _structure_bool)
CONVERTER.register_structure_hook(str | int | float | None, _structure_scalar)


def decode(model: type[_Model], payload: object) -> _Model:
    """Build an instance of ``model`` from parsed JSON.

    Raises
    ------
    cattrs.BaseValidationError
        When a field is missing, unknown or of the wrong type.
    """
    if attrs.has(model) and not isinstance(payload, Mapping):
        error = TypeError(f'expected a JSON object, got {_shorten(payload)}')
        raise cattrs.ClassValidationError('not an object', [error], model)
    return CONVERTER.structure(payload, model)


def encode(instance: object) -> dict[str, Any]:
    """Return the JSON structure of a data class instance."""
    return cast(dict[str, Any], CONVERTER.unstructure(instance))


def describe_errors(error: BaseException) -> list[str]:
    """Return one line per faulty field, with its path and its problem.

    Parameters
    ----------
    error
        Error that ``decode`` raised.
    """
    return cattrs.transform_error(error)


def dump_json(payload: Mapping[str, Any]) -> str:
    """Serialize a JSON object compactly."""
    return json.dumps(payload, separators=(',', ':'))


def decode_outcome(payload: object) -> Outcome:
    """Build one of the three outcomes from its tagged JSON structure."""
    return cast(Outcome, CONVERTER.structure(payload, cast(Any, Outcome)))
