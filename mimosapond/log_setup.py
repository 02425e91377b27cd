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
    """Writes loguru messages as JSON lines, with secrets redacted.

    Parameters
    ----------
    stream
        Flushed after each line, so that a crash loses no lines.
    secrets
        Texts that are redacted wherever they occur in a line.
    """

    def __init__(self, stream: TextIO, secrets: Sequence[str]) -> None:
        """Encode the secrets as they appear in JSON text."""
        self._stream = stream
        self._secrets = tuple(
            _ENCODE_JSON(text)[1:-1] for text in secrets if text
        )

    def __call__(self, message: Any) -> None:
        """Write one message as a line."""
        line = _ENCODE_JSON(flatten_record(message.record))
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
    """Replace loguru's handlers with one that writes JSON lines."""
    secrets = (options.peer_secret, options.operator_secret)
    logger.remove()
    # Diagnose adds the values of variables to backtraces, which may be secrets.
    logger.add(
        JsonLineSink(stream, secrets),
        level=options.log_level,
        format='',
        backtrace=False,
        diagnose=False,
    )


def set_up_library_logging(level: str) -> None:
    """Route the log records of libraries through loguru.

    Otherwise they would be written to standard error as plain text, with any
    secrets that they contain.

    Parameters
    ----------
    level
        Name of the lowest level that is logged.
    """
    logging.basicConfig(handlers=(_LibraryHandler(),), level=level, force=True)


def flatten_record(record: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields of the log line for a loguru record.

    A bound field with the name of a fixed field gets the prefix ``field_``. A
    bound mapping becomes one field per key; its name and the key are joined by
    a dot. Values of fields whose names suggest a secret are redacted.
    """
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
    }
    for name, value in record['extra'].items():
        safe_name = _unambiguous_name(name)
        if isinstance(value, Mapping):
            fields.update(_flatten_fields(safe_name, value))
        else:
            fields[safe_name] = _REDACTED if _is_secret(name) else value
    if record['exception'] is not None:
        fields['exception'] = ''.join(
            traceback.format_exception(*record['exception'])
        )
    return fields


def _flatten_fields(
    name: str,
    mapping: Mapping[str, object],
) -> Iterator[tuple[str, object]]:
    for key, value in mapping.items():
        if isinstance(value, Mapping):
            yield from _flatten_fields(f'{name}.{key}', value)
        else:
            is_hidden = _is_secret(name) or _is_secret(str(key))
            yield f'{name}.{key}', _REDACTED if is_hidden else value


# Cached, because the same few field names occur in every line.
@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _is_secret(name: str) -> bool:
    return any(word in name for word in _SECRET_WORDS)


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _unambiguous_name(name: str) -> str:
    return f'field_{name}' if name in _FIXED_FIELDS else name
