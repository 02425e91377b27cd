"""Decodes JSON objects that other programs wrote.

Any content is possible: nested too deeply, with numbers of any size, or in
another encoding. It must never raise beyond the caller that decodes it.
"""

import json
import math
from typing import Any, Final, final

import attrs

_MAX_BYTES: Final = 16 * 1024 * 1024
# Digits of a 64-bit integer with its sign.
_MAX_INTEGER_CHARS: Final = 20


@final
@attrs.frozen
class UndecodableJson:
    """The content is not a JSON object within the limits."""

    problem: str


def decode_json_object(content: bytes) -> dict[str, Any] | UndecodableJson:
    """Return the JSON object in some bytes, or why there is none.

    Integers of more than 64 bits and numbers that are not finite are problems,
    because a later conversion of them could raise.
    """
    if len(content) > _MAX_BYTES:
        return UndecodableJson(f'it is longer than {_MAX_BYTES} bytes')
    try:
        decoded = _DECODER.decode(content.decode())
    except ValueError as error:
        return UndecodableJson(f'it is not JSON: {error}')
    except RecursionError:
        return UndecodableJson('it is nested too deeply')
    if isinstance(decoded, dict):
        return decoded
    return UndecodableJson('it is not a JSON object')


def _decode_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_CHARS:
        raise ValueError('an integer is too large')
    return int(text)


def _decode_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError('a number is too large')
    return number


def _reject_constant(text: str) -> float:
    raise ValueError(f'{text} is not a number of JSON')


_DECODER: Final = json.JSONDecoder(
    parse_int=_decode_integer,
    parse_float=_decode_float,
    parse_constant=_reject_constant,
)
