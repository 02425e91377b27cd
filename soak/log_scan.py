"""Finds errors in the logs of hosts."""

import json
import pathlib
from collections.abc import Iterator

_LEVELS = frozenset(('ERROR', 'CRITICAL'))


def find_errors(path: pathlib.Path) -> Iterator[str]:
    """Yield the lines of a log that tell of an error."""
    for line in path.read_text(errors='replace').splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            # A host writes nothing but JSON unless it fails.
            yield line
            continue
        if isinstance(fields, dict) and fields.get('level') in _LEVELS:
            yield line
