"""Steps of cli.feature."""

import contextlib
import io
import json
import os
import tempfile
from typing import Any
from unittest import mock

from behave import given, then, when

from features.operator_fakes import (
    FakeOperatorActions,
    build_caller_application,
    serve,
)
from features.product_builders import FORGE_DOCUMENT, OPERATOR_SECRET, ROOT
from mimosapond.cli import run
from mimosapond.cli_connection import SECRET_VARIABLE
from mimosapond.operator_handlers import operator_application


@given('listeners for the tool')
def start_listeners(context: Any) -> None:
    """Serve the operator and caller listeners until the scenario ends."""
    context.actions = FakeOperatorActions()
    context.requests = []
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    operator = operator_application(context.actions, OPERATOR_SECRET)
    context.host = stack.enter_context(serve(operator))
    caller = build_caller_application(context.requests)
    context.caller = stack.enter_context(serve(caller))
    wrong_secret = stack.enter_context(tempfile.NamedTemporaryFile('w'))
    wrong_secret.write('another-operator-secret\n')
    wrong_secret.flush()
    context.file_paths = {
        'FORGE': str(FORGE_DOCUMENT),
        'GEMLAB': str(ROOT / 'examples' / 'gemlab' / 'service.yaml'),
        'WRONG': wrong_secret.name,
    }


def run_tool(context: Any, arguments: list[str]) -> None:
    """Run the tool in this process and store its output and exit code."""
    for option, address in (
        ('--host', context.host),
        ('--caller', context.caller),
    ):
        if option not in arguments:
            arguments = [*arguments, option, address]
    environment = {SECRET_VARIABLE: OPERATOR_SECRET}
    context.output = io.StringIO()
    context.error = io.StringIO()
    with (
        mock.patch.dict(os.environ, environment),
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(context.error),
    ):
        context.code = run(arguments)


@when('the tool runs "{command}"')
def run_command(context: Any, command: str) -> None:
    """Run a command line; words in capitals stand for paths of files."""
    words = command.split()
    run_tool(context, [context.file_paths.get(word, word) for word in words])


@when('the tool runs a statement with every option')
def run_statement(context: Any) -> None:
    """Run a statement; some of its text options look like numbers."""
    sql = 'INSERT INTO t VALUES (?, ?)'
    options = (
        '--mode write --request_id 1.25 --work_class batch --deadline_ms 500 '
        '--max_age_ms 0 --repeatable --is_long=False --token g:1:2 '
        '--session_id 12 --durability primary --parameters'
    )
    run_tool(
        context, ['statement', 's', 'w', sql, *options.split(), '[1, "a"]']
    )


@then('the tool exits with {code:d}, printing "{output}" and the error ""')
def check_success(context: Any, code: int, output: str) -> None:
    """Check the exit code and the output; there must be no error output."""
    shown = context.output.getvalue()
    assert context.code == code, (context.code, context.error.getvalue())
    assert output in shown, shown
    assert not context.error.getvalue(), context.error.getvalue()


@then('the tool exits with {code:d}, printing "" and the error "{error}"')
def check_failure(context: Any, code: int, error: str) -> None:
    """Check the exit code and the error; standard output must be empty."""
    shown = context.error.getvalue()
    assert context.code == code, (context.code, shown)
    assert error in shown, shown
    assert not context.output.getvalue(), context.output.getvalue()
    assert 'Traceback' not in shown, shown
    assert OPERATOR_SECRET not in shown, shown


@then('the listeners received "{actions}" from the tool')
def check_actions(context: Any, actions: str) -> None:
    """Compare the requests that both listeners received."""
    requests = [f'ask {body["request_id"]}' for body in context.requests]
    found = [*context.actions.calls, *requests]
    expected = [actions] if actions else []
    assert found == expected, found


@then('the listeners received "" from the tool')
def check_no_actions(context: Any) -> None:
    """Check that neither listener received a request."""
    check_actions(context, '')


@then('the tool sent these fields')
def check_fields(context: Any) -> None:
    """Compare the body that the caller listener received."""
    assert context.code == 0, context.error.getvalue()
    assert context.requests == [json.loads(context.text)], context.requests
