"""Log output of the daemon: one flat JSON object per line on standard output.

A custom sink writes compact lines. ``python -m loadtool.log_bench`` compares it
with loguru's ``serialize=True``; docs/logs.md has the figures and the reason.
"""

import functools
import json
import logging
import sys
import traceback
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final, TextIO, final

from loguru import logger

from mimosapond.options import Options

_FIXED_FIELDS: Final = frozenset(('time', 'level', 'event', 'exception'))
_SECRET_WORDS: Final = ('secret', 'password')
_NAME_CACHE_SIZE: Final = 512
_REDACTED: Final = '***'
_ENCODE_JSON: Final[Callable[[object], str]] = json.JSONEncoder(
    separators=(',', ':'),
    default=str,
).encode


@final
class JsonLineSink:
    """Writes loguru messages as JSON lines, without secrets.

    Parameters
    ----------
    stream
        Each line is flushed, so a crash loses none.
    secrets
        Texts to hide wherever they occur in a line.
    """

    def __init__(self, stream: TextIO, secrets: Sequence[str]) -> None:
        """Prepare the JSON forms of the secrets."""
        self._stream = stream
        self._secrets = tuple(
            _ENCODE_JSON(text)[1:-1] for text in secrets if text
        )

    def __call__(self, message: Any) -> None:
        """Write one line."""
        line = _ENCODE_JSON(flat_record(message.record))
        for secret in self._secrets:
            line = line.replace(secret, _REDACTED)
        self._stream.write(f'{line}\n')
        self._stream.flush()


@final
class _LibraryHandler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).bind(
            library=record.name,
            text=record.getMessage(),
        ).log(record.levelname, 'library_message')


def set_up_logging(options: Options, stream: TextIO = sys.stdout) -> None:
    """Replace loguru's handlers with the JSON lines of this product."""
    secrets = (options.peer_secret, options.operator_secret)
    logger.remove()
    # Backtraces with values (diagnose) would show secrets in variables.
    logger.add(
        JsonLineSink(stream, secrets),
        level=options.log_level,
        format='',
        backtrace=False,
        diagnose=False,
    )


def set_up_library_logging(level: str) -> None:
    """Send the lines of libraries through the same sink.

    Without it, they go to standard error as plain text with their secrets.
    """
    logging.basicConfig(handlers=(_LibraryHandler(),), level=level, force=True)


def flat_record(record: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields of a line.

    A bound field that has the name of a fixed one gets the prefix ``field_``;
    a bound mapping becomes one field for each key, joined by dots.
    """
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
    }
    for name, bound in record['extra'].items():
        safe_name = _unambiguous_name(name)
        if isinstance(bound, Mapping):
            fields.update(_flat_fields(safe_name, bound))
        else:
            fields[safe_name] = _REDACTED if _is_secret(name) else bound
    if record['exception'] is not None:
        fields['exception'] = ''.join(
            traceback.format_exception(*record['exception'])
        )
    return fields


def _flat_fields(
    name: str,
    bound: Mapping[str, object],
) -> Iterator[tuple[str, object]]:
    for key, inner in bound.items():
        if isinstance(inner, Mapping):
            yield from _flat_fields(f'{name}.{key}', inner)
        else:
            hidden = _is_secret(name) or _is_secret(str(key))
            yield f'{name}.{key}', _REDACTED if hidden else inner


# Field names are few and repeat on every line.
@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _is_secret(name: str) -> bool:
    return any(word in name for word in _SECRET_WORDS)


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _unambiguous_name(name: str) -> str:
    return f'field_{name}' if name in _FIXED_FIELDS else name
