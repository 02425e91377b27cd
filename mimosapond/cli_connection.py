"""Calls of the command-line tool to the listeners of a host."""

import os
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, Final, final
from urllib.parse import quote

import attrs

from mimosapond.cli_report import (
    CliReport,
    bad_usage,
    failed,
    report_outcome,
)
from mimosapond.exit_code import ExitCode
from mimosapond.operator_client import (
    Answered,
    AnswerLost,
    CallResult,
    HttpCall,
    NotSent,
    run_call,
)

SECRET_VARIABLE: Final = 'MIMOSAPOND_OPERATOR_SECRET'
_GET: Final = 'GET'

AnswerFormatter = Callable[[Mapping[str, Any]], str]


@final
@attrs.frozen
class CliConnection:
    """Addresses, secret and timeout that all commands share.

    Attributes
    ----------
    host
        ``ip:port`` of the operator listener.
    caller
        ``ip:port`` of the caller listener.
    secret_file
        Path of the file that contains the operator secret; if empty, the
        secret is read from the environment.
    timeout_s
        Timeout for an answer of the operator listener.
    """

    host: str
    caller: str
    secret_file: str
    timeout_s: float

    def operate(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        show: AnswerFormatter,
    ) -> CliReport:
        """Call the operator listener and report the answer.

        Parameters
        ----------
        method, path, body
            The HTTP request; the body is sent as JSON, or omitted if None.
        show
            Formats a completed answer.
        """
        answer = self.fetch(method, path, body)
        if isinstance(answer, CliReport):
            return answer
        return report_outcome(answer, show)

    def fetch(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> Mapping[str, Any] | CliReport:
        """Call the operator listener.

        Returns
        -------
        Mapping or CliReport
            The JSON object that was received; a report if the secret could
            not be read or no answer was received.
        """
        secret = self._secret()
        if isinstance(secret, CliReport):
            return secret
        call = HttpCall(
            self.host, method, path, body, secret, timeout_s=self.timeout_s
        )
        return _unwrap_answer(run_call(call), call)

    def ask(
        self,
        path: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> Mapping[str, Any] | CliReport:
        """Send a POST request to the caller listener.

        Returns
        -------
        Mapping or CliReport
            The JSON object that was received; a report if no answer was
            received within ``timeout_s``.
        """
        call = HttpCall(self.caller, 'POST', path, body, timeout_s=timeout_s)
        return _unwrap_answer(run_call(call), call)

    def _secret(self) -> str | CliReport:
        try:
            secret = self._read_secret()
        except (OSError, UnicodeDecodeError):
            return bad_usage(
                f'{self.secret_file} could not be read.',
                'Check the path and the permissions.',
            )
        if secret and secret.isascii() and secret.isprintable():
            return secret
        return bad_usage(
            'there is no usable operator secret.',
            f'Set {SECRET_VARIABLE}, or give --secret_file.',
        )

    def _read_secret(self) -> str:
        if self.secret_file:
            return pathlib.Path(self.secret_file).read_text('utf-8').strip()
        return os.environ.get(SECRET_VARIABLE, '').strip()


def url_path(*parts: str) -> str:
    """Return a path below ``/v1`` from unquoted parts."""
    quoted = '/'.join(quote(part, safe='') for part in parts)
    return f'/v1/{quoted}'


def _unwrap_answer(
    answer: CallResult,
    call: HttpCall,
) -> Mapping[str, Any] | CliReport:
    match answer:
        case Answered(body=body):
            return body
        case AnswerLost(problem=problem) if call.method != _GET:
            return failed(
                ExitCode.UNKNOWN_OUTCOME,
                f'the answer of {call.address} was lost: {problem}',
                'The change may have been made. Check with mimosapond status, '
                'document show or outcome before you repeat it.',
            )
        case AnswerLost(problem=problem) | NotSent(problem=problem):
            return failed(
                ExitCode.UNREACHABLE,
                f'{call.address} did not answer: {problem}',
                'Nothing was changed. Check the address, or try another host.',
            )
