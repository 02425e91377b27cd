"""Reads mappings of a YAML file and records each problem with its line.

This module reads PyYAML's nodes instead of its constructed values, since only
the nodes have line numbers and show keys that occur twice.
"""

import difflib
import re
from collections.abc import Iterator
from typing import Final, final

import yaml

from mimosapond.field_check import InvalidField, ValidField, check_field
from mimosapond.field_rule import FieldRule
from mimosapond.file_problem import FileProblem

# PyYAML quotes parts of the file in its messages, which may be a secret.
_QUOTED_TEXT: Final = re.compile("'[^']{2,}'")
_UNREADABLE: Final = FileProblem(
    1,
    '',
    'the file has a control character, or is nested too deeply.',
    'Remove the character or reduce the nesting.',
)


@final
class YamlMapping:
    """One mapping of the file.

    The mapping remembers the names of the fields that were asked for, so that
    ``report_unknown`` can report all other keys.

    Parameters
    ----------
    node
        Node of the mapping, as composed by PyYAML.
    path
        Field path of the mapping; empty for the top level of the file.
    problems
        List to which the problems are appended.
    """

    def __init__(
        self,
        node: yaml.MappingNode,
        path: str,
        problems: list[FileProblem],
    ) -> None:
        """Index the fields by name, and report names that occur twice."""
        self.line_number = _line_of(node)
        self.path = path
        self._problems = problems
        self._known_names: set[str] = set()
        self._fields = self._index(node)

    def has(self, name: str) -> bool:
        """Return whether the field is present, and mark its name as known."""
        self._known_names.add(name)
        return name in self._fields

    def is_list(self, name: str) -> bool:
        """Return whether the field is present and a list."""
        is_present = self.has(name)
        return is_present and isinstance(self._fields[name], yaml.SequenceNode)

    def line_of(self, name: str) -> int:
        """Return the line of a field, or of the mapping if it is absent."""
        node = self._fields.get(name)
        return self.line_number if node is None else _line_of(node)

    def text(self, name: str, rule: FieldRule, default: str = '') -> str:
        """Return a text field; ``default`` if it is absent or invalid."""
        content = self.read(name, rule)
        return content if isinstance(content, str) else default

    def whole_number(self, name: str, rule: FieldRule, default: int = 0) -> int:
        """Return an integer field; ``default`` if it is absent or invalid."""
        content = self.read(name, rule)
        return content if isinstance(content, int) else default

    def read(self, name: str, rule: FieldRule) -> str | int | float | None:
        """Return the value of a field.

        Returns
        -------
        str, int, float or None
            None if the field is absent or invalid. An invalid field is
            reported.
        """
        if not self.has(name):
            return None
        match check_field(self._fields[name], rule):
            case ValidField(content=content):
                return content
            case InvalidField(problem=problem, remedy=remedy):
                self.report(name, problem, remedy)
        return None

    def require(self, *names: str) -> None:
        """Report each field of ``names`` that is absent."""
        for name in names:
            if not self.has(name):
                self.report(name, 'the field is missing.', 'Add it.')

    def texts(self, name: str, rule: FieldRule) -> tuple[str, ...]:
        """Return the valid entries of a list of texts; report the others."""
        texts = []
        for index, node in enumerate(self._sequence(name)):
            match check_field(node, rule):
                case ValidField(content=str() as content):
                    texts.append(content)
                case InvalidField(problem=problem, remedy=remedy):
                    entry_name = f'{name}[{index}]'
                    self.report(entry_name, problem, remedy, _line_of(node))
        return tuple(texts)

    def mappings(self, name: str) -> Iterator['YamlMapping']:
        """Yield the mappings of a list; report entries that are none."""
        for index, node in enumerate(self._sequence(name)):
            entry_name = f'{name}[{index}]'
            if isinstance(node, yaml.MappingNode):
                yield YamlMapping(
                    node, self._path_of(entry_name), self._problems
                )
            else:
                self.report(
                    entry_name,
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
        """Record a problem of a field.

        Parameters
        ----------
        name
            Name of the field within this mapping.
        problem, remedy
            Full sentences for operators; they must not quote a secret.
        line_number
            None for the line of the field.
        """
        file_problem = FileProblem(
            line_number or self.line_of(name),
            self._path_of(name),
            problem,
            remedy,
        )
        # Checks across fields read some fields a second time, but each
        # problem is reported once.
        if file_problem not in self._problems:
            self._problems.append(file_problem)

    def report_unknown(self) -> None:
        """Report each key that is not the name of a known field."""
        for name in self._fields:
            if name not in self._known_names:
                similar = difflib.get_close_matches(name, self._known_names, 1)
                remedy = (
                    f'Did you mean {similar[0]}?' if similar else 'Remove it.'
                )
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
    """Parse the text of a file whose top level is a mapping.

    Returns
    -------
    YamlMapping or None
        None if the text is not valid; the reason is added to ``problems``.
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
        f'the YAML is malformed: {_QUOTED_TEXT.sub("...", message)}.',
        'Check indentation, quotes and colons near this line.',
    )


def _line_of(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1
