"""Command-line tool for operators.

``main`` is the entry point of the program ``mimosapond``. Fire parses the
command line; a command runs only after all of its arguments were accepted.
"""

import sys
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

import fire

from mimosapond.cli_connection import CliConnection, url_path
from mimosapond.cli_report import (
    CliReport,
    Deferred,
    bad_usage,
    pretty_json,
    report_outcome,
    run_deferred,
)
from mimosapond.cli_commands import (
    GroupCommands,
    HostCommands,
    SettingsCommands,
    TargetCommands,
)
from mimosapond.clock import MS_PER_S, SystemClock
from mimosapond.codec import decode
from mimosapond.document_commands import DocumentCommands
from mimosapond.exit_code import ExitCode
from mimosapond.host_status import HostStatus
from mimosapond.statement_body import BadOptionError, statement_body
from mimosapond.status_tables import status_text
from mimosapond.text_arguments import text_arguments

# Added to the deadline of a statement, so that the answer of the host, such as
# a refusal at the deadline, arrives before the tool times out.
_ANSWER_MARGIN_S: Final = 2
_MAX_TIMEOUT_S: Final = 3600


@final
class RootCommands:
    """Operate mimosapond. docs/cli.md describes commands and exit codes.

    Parameters
    ----------
    host
        ip:port of the operator listener.
    caller
        ip:port of the caller listener, used by outcome and statement.
    secret_file
        File that contains the operator secret. Without it, the secret is read
        from the environment variable MIMOSAPOND_OPERATOR_SECRET.
    timeout_s
        Timeout for an answer, in seconds.
    """

    def __init__(
        self,
        host: str = '127.0.0.1:17003',
        caller: str = '127.0.0.1:17001',
        secret_file: str = '',
        timeout_s: float = 10,
    ) -> None:
        """Build the command groups."""
        self._connection = CliConnection(
            str(host),
            str(caller),
            str(secret_file),
            _parse_timeout_s(timeout_s),
        )
        self.document = DocumentCommands(self._connection)
        self.settings = SettingsCommands()
        self.target = TargetCommands(self._connection)
        self.group = GroupCommands(self._connection)
        self.host = HostCommands(self._connection)

    def status(self, *, json: bool = False) -> Deferred:
        """Show hosts, groups, owned members, documents and degraded paths.

        With --json, the answer of the host is printed as JSON.
        """
        show = pretty_json if json else _show_status
        return Deferred(
            lambda: self._connection.operate(
                'GET', url_path('status'), None, show
            )
        )

    @text_arguments
    def outcome(
        self, service: str, workspace: str, request_id: str
    ) -> Deferred:
        """Settle the outcome of an earlier request.

        A request that has not run yet is cancelled and never runs.
        """
        body = {
            'service': service,
            'workspace': workspace,
            'request_id': request_id,
        }
        return Deferred(lambda: self._ask('outcomes', body))

    @text_arguments
    def statement(
        self,
        service: str,
        workspace: str,
        sql: str,
        **options: str,
    ) -> Deferred:
        """Run one statement, for experiments and troubleshooting.

        The options are the fields of POST /v1/statements, such as --mode write,
        --parameters '[1, "a"]', --deadline_ms 500 or --repeatable.
        """
        target = {'service': service, 'workspace': workspace}
        return Deferred(lambda: self._run_statement(target, sql, options))

    def _run_statement(
        self,
        target: Mapping[str, str],
        sql: str,
        options: Mapping[str, str],
    ) -> CliReport:
        now_unix_ms = SystemClock().unix_ms()
        try:
            body = statement_body(target, sql, options, now_unix_ms)
        except BadOptionError as error:
            return bad_usage(f'{error}.', 'See mimosapond statement --help.')
        return self._ask('statements', body)

    def _ask(self, name: str, body: Mapping[str, Any]) -> CliReport:
        deadline_s = body.get('deadline_ms', 0) / MS_PER_S
        timeout_s = max(
            self._connection.timeout_s, deadline_s + _ANSWER_MARGIN_S
        )
        answer = self._connection.ask(url_path(name), body, timeout_s)
        if isinstance(answer, CliReport):
            report = answer
        else:
            report = report_outcome(answer, pretty_json)
        if report.exit_code is ExitCode.UNKNOWN_OUTCOME:
            return _append_outcome_command(report, body)
        return report


def main() -> None:
    """Run the command that the arguments of the process name."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Run one command.

    Parameters
    ----------
    arguments
        The command line without the name of the program.

    Returns
    -------
    int
        The exit code, see ``ExitCode``.
    """
    try:
        command = fire.Fire(
            RootCommands,
            command=list(arguments),
            name='mimosapond',
            serialize=_hide_deferred,
        )
    except fire.core.FireExit as error:
        return int(error.code)
    except ValueError as error:
        # The constructor could not convert an option, such as --timeout_s abc.
        command = Deferred(_usage_report(error))
    if not isinstance(command, Deferred):
        return int(ExitCode.BAD_USAGE)
    report = run_deferred(command)
    _print(report)
    return int(report.exit_code)


def _parse_timeout_s(option: object) -> float:
    timeout_s = float(str(option))
    if 0 < timeout_s <= _MAX_TIMEOUT_S:
        return timeout_s
    raise ValueError(
        f'--timeout_s {option} is not above 0 and at most {_MAX_TIMEOUT_S}'
    )


def _usage_report(error: ValueError) -> Any:
    report = bad_usage(f'{error}.', 'See mimosapond --help.')
    return lambda: report


def _print(report: CliReport) -> None:
    if report.output:
        sys.stdout.write(f'{report.output}\n')
    if report.error:
        sys.stderr.write(f'{report.error}\n')


def _hide_deferred(component: object) -> object:
    return None if isinstance(component, Deferred) else component


def _append_outcome_command(
    report: CliReport, body: Mapping[str, Any]
) -> CliReport:
    names = ' '.join(
        str(body[name]) for name in ('service', 'workspace', 'request_id')
    )
    return CliReport(
        report.exit_code,
        error=f'{report.error}\nto settle it: mimosapond outcome {names}',
    )


def _show_status(body: Mapping[str, Any]) -> str:
    fields = {name: body[name] for name in body if name != 'outcome'}
    return status_text(decode(HostStatus, fields))


if __name__ == '__main__':
    main()
