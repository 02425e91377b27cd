"""Finds the names of metrics and log events in the source of the product.

A manually maintained list would miss the names that a change adds.
"""

import ast
import itertools
import pathlib
import re
from collections.abc import Iterator
from typing import Final

_METRIC_CALLS: Final = ('count', 'gauge', 'timing_ms')
_DECISION_CALLS: Final = ('record', '_record')
_LOG_CALLS: Final = ('debug', 'info', 'warning', 'error', 'exception', 'log')
# Class that logs the loss and the return of a dependency, under the event name
# that its first argument gives.
_DEPENDENCY_CLASS: Final = 'DependencyMonitor'
_PLACEHOLDER: Final = '<>'


def find_names(folder: pathlib.Path, kind: str) -> frozenset[str]:
    """Return the names of a kind; computed parts of a name become ``<>``.

    Parameters
    ----------
    folder
        Folder of the package to search, including its subfolders.
    kind
        ``metric``, ``decision`` or ``log event``.
    """
    trees = [
        ast.parse(path.read_text(encoding='utf-8'))
        for path in sorted(folder.rglob('*.py'))
    ]
    nodes = itertools.chain.from_iterable(map(ast.walk, trees))
    calls = [node for node in nodes if isinstance(node, ast.Call)]
    return frozenset(name for call in calls for name in _names(call, kind))


def read_rows(page: str) -> frozenset[str]:
    """Return the names in tables whose first column is "event" or "name"."""
    tables = re.findall(
        r'^\| (?:event|name) \|(?:.*\n\|)+.*', page, re.MULTILINE
    )
    cells = re.findall(
        r'^\| ((?:`[^`]+`(?:, )?)+) \|',
        '\n'.join(tables),
        re.MULTILINE,
    )
    return frozenset(
        name for cell in cells for name in re.findall('`([^`]+)`', cell)
    )


def is_listed(name: str, rows: frozenset[str]) -> bool:
    """Tell whether a row matches the name; placeholders match any text."""
    parts = (re.escape(part) for part in name.split(_PLACEHOLDER))
    pattern = re.compile('[a-z_<>]+'.join(parts))
    return any(pattern.fullmatch(row) for row in rows)


def _names(call: ast.Call, kind: str) -> Iterator[str]:
    if not call.args:
        return
    if isinstance(call.func, ast.Name):
        if kind == 'log event' and call.func.id == _DEPENDENCY_CLASS:
            yield _text(call.args[0])
        return
    if not isinstance(call.func, ast.Attribute):
        return
    receiver = ast.unparse(call.func.value)
    if not _is_kind(call.func.attr, receiver, kind):
        return
    # The first argument of ``log`` is the level.
    index = 1 if call.func.attr == 'log' else 0
    name = _text(call.args[index])
    if name and name != _PLACEHOLDER:
        yield name


def _is_kind(method: str, receiver: str, kind: str) -> bool:
    match kind:
        case 'metric':
            return method in _METRIC_CALLS and receiver.endswith('metrics')
        case 'decision':
            return method in _DECISION_CALLS
        case _:
            return method in _LOG_CALLS and receiver.startswith('logger')


def _text(node: ast.expr) -> str:
    match node:
        case ast.Constant(value=str() as text):
            return text
        case ast.JoinedStr(values=parts):
            return ''.join(_text(part) for part in parts)
        case ast.FormattedValue():
            return _PLACEHOLDER
        case _:
            return ''
