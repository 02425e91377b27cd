"""Reads mappings of a YAML file and records each fault with its line.

PyYAML's nodes are used instead of its constructed values, since only the nodes
carry line numbers and show keys that occur twice.
"""

import difflib
import re
from collections.abc import Iterator
from typing import Final, final

import yaml

from mimosapond.field_check import InvalidField, ValidField, check_field
from mimosapond.field_rule import FieldRule
from mimosapond.file_problem import FileProblem

# PyYAML quotes parts of the file in its messages; they may hold a secret.
_QUOTED: Final = re.compile("'[^']{2,}'")
_UNREADABLE: Final = FileProblem(
    1,
    '',
    'the file has a control character, or is nested too deeply.',
    'Remove it.',
)


@final
class YamlMapping:
    """One mapping; each key that is read counts as known.

    Parameters
    ----------
    node
        The mapping, as composed by PyYAML.
    path
        Field path of the mapping; empty for the file.
    problems
        Faults are appended here.
    """

    def __init__(
        self,
        node: yaml.MappingNode,
        path: str,
        problems: list[FileProblem],
    ) -> None:
        """Index the mapping by key."""
        self.line_number = _line_of(node)
        self.path = path
        self._problems = problems
        self._known: set[str] = set()
        self._fields = self._index(node)

    def has(self, name: str) -> bool:
        """Tell whether the field is there; it counts as known."""
        self._known.add(name)
        return name in self._fields

    def is_list(self, name: str) -> bool:
        """Tell whether the field is there and a list."""
        is_there = self.has(name)
        return is_there and isinstance(self._fields[name], yaml.SequenceNode)

    def line_of(self, name: str) -> int:
        """Return the line of a field, or of the mapping without it."""
        node = self._fields.get(name)
        return self.line_number if node is None else _line_of(node)

    def text(self, name: str, rule: FieldRule, default: str = '') -> str:
        """Read a field with a rule for texts."""
        content = self.read(name, rule)
        return content if isinstance(content, str) else default

    def whole_number(self, name: str, rule: FieldRule, default: int = 0) -> int:
        """Read a field with a rule for whole numbers."""
        content = self.read(name, rule)
        return content if isinstance(content, int) else default

    def read(self, name: str, rule: FieldRule) -> str | int | float | None:
        """Return a field's value; None when absent or faulty."""
        if not self.has(name):
            return None
        match check_field(self._fields[name], rule):
            case ValidField(content=content):
                return content
            case InvalidField(problem=problem, remedy=remedy):
                self.report(name, problem, remedy)
        return None

    def require(self, *names: str) -> None:
        """Report each of ``names`` that is absent."""
        for name in names:
            if not self.has(name):
                self.report(name, 'the field is missing.', 'Add it.')

    def texts(self, name: str, rule: FieldRule) -> tuple[str, ...]:
        """Read a list of texts."""
        texts = []
        for index, node in enumerate(self._sequence(name)):
            match check_field(node, rule):
                case ValidField(content=str() as content):
                    texts.append(content)
                case InvalidField(problem=problem, remedy=remedy):
                    where = f'{name}[{index}]'
                    self.report(where, problem, remedy, _line_of(node))
        return tuple(texts)

    def mappings(self, name: str) -> Iterator['YamlMapping']:
        """Read a list of mappings."""
        for index, node in enumerate(self._sequence(name)):
            where = f'{name}[{index}]'
            if isinstance(node, yaml.MappingNode):
                yield YamlMapping(node, self._path_of(where), self._problems)
            else:
                self.report(
                    where,
                    'this is not a mapping.',
                    'Write fields as "name: value".',
                    _line_of(node),
                )

    def report(
        self,
        name: str,
        problem: str,
        remedy: str,
        line_number: int | None = None,
    ) -> None:
        """Record a fault of a field."""
        fault = FileProblem(
            line_number or self.line_of(name),
            self._path_of(name),
            problem,
            remedy,
        )
        # Cross checks read fields again; a fault is reported once.
        if fault not in self._problems:
            self._problems.append(fault)

    def report_unknown(self) -> None:
        """Report each key that was not read."""
        for name in self._fields:
            if name not in self._known:
                close = difflib.get_close_matches(name, self._known, 1)
                remedy = f'Did you mean {close[0]}?' if close else 'Remove it.'
                self.report(name, 'there is no such field.', remedy)

    def _index(self, mapping: yaml.MappingNode) -> dict[str, yaml.Node]:
        fields: dict[str, yaml.Node] = {}
        for key, node in mapping.value:
            name = str(key.value)
            if name in fields:
                self._report_duplicate(name, _line_of(key))
            fields[name] = node
        return fields

    def _report_duplicate(self, name: str, line_number: int) -> None:
        self.report(
            name,
            'the field occurs twice.',
            'Keep one of them.',
            line_number,
        )

    def _sequence(self, name: str) -> tuple[yaml.Node, ...]:
        if not self.has(name):
            return ()
        node = self._fields[name]
        if isinstance(node, yaml.SequenceNode):
            return tuple(node.value)
        self.report(name, 'this is not a list.', 'Write one entry per "-".')
        return ()

    def _path_of(self, name: str) -> str:
        return f'{self.path}.{name}' if self.path else name


def compose_mapping(
    text: str,
    problems: list[FileProblem],
) -> YamlMapping | None:
    """Parse a file whose top level is a mapping.

    Returns
    -------
    YamlMapping or None
        None when the text is no such file; the fault is in ``problems``.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        problems.append(_syntax_problem(error))
        return None
    except (yaml.YAMLError, RecursionError):
        problems.append(_UNREADABLE)
        return None
    if isinstance(node, yaml.MappingNode):
        return YamlMapping(node, '', problems)
    problems.append(
        FileProblem(
            1,
            '',
            'the file is empty or not a mapping.',
            'Write fields as "name: value".',
        )
    )
    return None


def _syntax_problem(error: yaml.MarkedYAMLError) -> FileProblem:
    mark = error.problem_mark or error.context_mark
    line_number = 1 if mark is None else mark.line + 1
    parts = (error.context, error.problem)
    message = ', '.join(part for part in parts if part)
    return FileProblem(
        line_number,
        '',
        f'the YAML is malformed: {_QUOTED.sub("...", message)}.',
        'Check indentation, quotes and colons near this line.',
    )


def _line_of(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1
