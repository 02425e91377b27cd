"""Commands of the group ``mimosapond document``."""

import difflib
import functools
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, Final, final

import yaml

from mimosapond.cli_connection import CliConnection, url_path
from mimosapond.cli_report import (
    CliReport,
    Deferred,
    bad_usage,
    done,
    invalid,
    report_outcome,
)
from mimosapond.document_body import document_body, document_text
from mimosapond.document_loader import load_document
from mimosapond.file_problem import InvalidFile
from mimosapond.refusal_reason import RefusalReason
from mimosapond.service_document import ServiceDocument
from mimosapond.text_arguments import text_arguments

_GET: Final = 'GET'


@final
class DocumentCommands:
    """Validate, compare, show and apply service documents."""

    def __init__(self, connection: CliConnection) -> None:
        """Create the commands for the hosts that ``connection`` reaches."""
        self._connection = connection

    @text_arguments
    def validate(self, path: str) -> Deferred:
        """Check a service document without contacting a host."""
        return Deferred(lambda: _with_document(path, _report_valid))

    @text_arguments
    def apply(self, path: str, *, expected_revision: str = '') -> Deferred:
        """Apply a service document.

        Without expected_revision, the document replaces the current revision,
        which is read first.
        """
        action = functools.partial(self._apply, expected=expected_revision)
        return Deferred(lambda: _with_document(path, action))

    @text_arguments
    def show(self, service: str) -> Deferred:
        """Print the current document of a service as YAML."""
        return Deferred(
            lambda: self._connection.operate(
                _GET, url_path('documents', service), None, _show_document
            )
        )

    @text_arguments
    def diff(self, path: str) -> Deferred:
        """Print a unified diff from the current document to a file."""
        return Deferred(lambda: _with_document(path, self._diff))

    def _apply(self, document: ServiceDocument, expected: str) -> CliReport:
        if expected and not (expected.isascii() and expected.isdecimal()):
            return bad_usage(
                f'--expected_revision {expected} is not a revision.',
                'Give a whole number; 0 for a new service.',
            )
        revision = int(expected) if expected else self._fetch_revision(document)
        if isinstance(revision, CliReport):
            return revision
        return self._connection.operate(
            'PUT',
            url_path('documents', document.service),
            {
                'expected_revision': revision,
                'document': document_body(document),
            },
            _show_applied,
        )

    def _fetch_revision(self, document: ServiceDocument) -> int | CliReport:
        current = self._fetch_current(document.service)
        if isinstance(current, CliReport):
            return current
        return int(current.get('revision', 0))

    def _fetch_current(self, service: str) -> Mapping[str, Any] | CliReport:
        """Return the response for a service; empty if it has no document."""
        found = self._connection.fetch(_GET, url_path('documents', service))
        if isinstance(found, CliReport):
            return found
        if found.get('reason') == RefusalReason.UNKNOWN_SERVICE:
            return {}
        report = report_outcome(found, _show_document)
        return report if report.error else found

    def _diff(self, document: ServiceDocument) -> CliReport:
        current = self._fetch_current(document.service)
        if isinstance(current, CliReport):
            return current
        lines = difflib.unified_diff(
            _show_document(current).splitlines() if current else [],
            document_text(document).splitlines(),
            f'{document.service} in force',
            f'{document.service} in the file',
            lineterm='',
        )
        return done('\n'.join(lines) or 'no difference')


def _with_document(
    path: str,
    action: Callable[[ServiceDocument], CliReport],
) -> CliReport:
    found = load_document(pathlib.Path(path))
    if isinstance(found, InvalidFile):
        return invalid(path, found)
    return action(found)


def _report_valid(document: ServiceDocument) -> CliReport:
    return done(f'the document of {document.service} is valid')


def _show_document(body: Mapping[str, Any]) -> str:
    return str(yaml.safe_dump(body['document'], sort_keys=False)).rstrip()


def _show_applied(body: Mapping[str, Any]) -> str:
    return f'{body["service"]} is at revision {body["revision"]}'
