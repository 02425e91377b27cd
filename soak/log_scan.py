"""Finds errors in the logs of hosts."""

import json
import pathlib
from collections.abc import Iterator

_LEVELS = frozenset(('ERROR', 'CRITICAL'))


def find_errors(path: pathlib.Path) -> Iterator[str]:
    """Yield error entries and lines that are not JSON."""
    for line in path.read_text(errors='replace').splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            # A host writes only JSON, so this is output of a crash.
            yield line
            continue
        if isinstance(fields, dict) and fields.get('level') in _LEVELS:
            yield line
