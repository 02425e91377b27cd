"""Output and exit codes of the command-line tool."""

import json
from collections.abc import Callable, Mapping
from typing import Any, final

import attrs

from mimosapond.exit_code import ExitCode
from mimosapond.file_problem import InvalidFile


@final
@attrs.frozen
class CliReport:
    """Exit code of a command and its texts for standard output and error."""

    exit_code: ExitCode
    output: str = ''
    error: str = ''


@final
@attrs.frozen
class Deferred:
    """A command that was parsed but has not run.

    Fire calls the function of a command before it reports surplus arguments.
    The command itself runs afterwards, so a usage error changes nothing.
    """

    _action: Callable[[], CliReport]


def run_deferred(deferred: Deferred) -> CliReport:
    """Run a parsed command."""
    return deferred._action()


def done(output: str) -> CliReport:
    """Report success."""
    return CliReport(ExitCode.DONE, output)


def failed(exit_code: ExitCode, message: str, remedy: str) -> CliReport:
    """Report an error with its remedy."""
    return CliReport(exit_code, error=f'error: {message}\nremedy: {remedy}')


def bad_usage(message: str, remedy: str) -> CliReport:
    """Report invalid arguments."""
    return failed(ExitCode.BAD_USAGE, message, remedy)


def invalid(path: str, invalid_file: InvalidFile) -> CliReport:
    """Report every problem of a file, one in each line."""
    lines = '\n'.join(f'{path}: {each}' for each in invalid_file.problems)
    return CliReport(ExitCode.BAD_USAGE, error=lines)


def report_outcome(
    body: Mapping[str, Any],
    show: Callable[[Mapping[str, Any]], str],
) -> CliReport:
    """Report the answer of a host by its field ``outcome``.

    Parameters
    ----------
    body
        The answer.
    show
        Formats a completed answer.

    Returns
    -------
    CliReport
        An answer without a known outcome is reported as an unknown outcome,
        because the change may have been made.
    """
    match body.get('outcome'):
        case 'completed':
            return done(show(body))
        case 'refused':
            return failed(
                ExitCode.REFUSED,
                f'{body.get("message")} ({body.get("reason")})',
                str(body.get('remedy')),
            )
        case _:
            return failed(
                ExitCode.UNKNOWN_OUTCOME,
                str(body.get('message', 'the answer has no known outcome.')),
                'Check the state with mimosapond status before you repeat it.',
            )


def pretty_json(body: Mapping[str, Any]) -> str:
    """Return indented JSON."""
    return json.dumps(body, indent=2)
