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
    """Serve both listeners until the scenario ends."""
    context.actions = FakeOperatorActions()
    context.asked = []
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    operator = operator_application(context.actions, OPERATOR_SECRET)
    context.host = stack.enter_context(serve(operator))
    caller = build_caller_application(context.asked)
    context.caller = stack.enter_context(serve(caller))
    wrong = stack.enter_context(tempfile.NamedTemporaryFile('w'))
    wrong.write('another-operator-secret\n')
    wrong.flush()
    context.words = {
        'FORGE': str(FORGE_DOCUMENT),
        'GEMLAB': str(ROOT / 'examples' / 'gemlab' / 'service.yaml'),
        'WRONG': wrong.name,
    }


def run_tool(context: Any, arguments: list[str]) -> None:
    """Run the tool in this process and keep what it printed."""
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
    """Run one command line."""
    words = command.split()
    run_tool(context, [context.words.get(word, word) for word in words])


@when('the tool runs a statement with every option')
def run_statement(context: Any) -> None:
    """Run a statement whose texts look like numbers."""
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
def check_done(context: Any, code: int, output: str) -> None:
    """Compare code and output."""
    shown = context.output.getvalue()
    assert context.code == code, (context.code, context.error.getvalue())
    assert output in shown, shown
    assert not context.error.getvalue(), context.error.getvalue()


@then('the tool exits with {code:d}, printing "" and the error "{error}"')
def check_failed(context: Any, code: int, error: str) -> None:
    """Compare code and error; nothing goes to standard output."""
    shown = context.error.getvalue()
    assert context.code == code, (context.code, shown)
    assert error in shown, shown
    assert not context.output.getvalue(), context.output.getvalue()
    assert 'Traceback' not in shown, shown
    assert OPERATOR_SECRET not in shown, shown


@then('the tool caused "{actions}"')
def check_actions(context: Any, actions: str) -> None:
    """Compare what both listeners received."""
    asked = [f'ask {body["request_id"]}' for body in context.asked]
    found = [*context.actions.calls, *asked]
    expected = [actions] if actions else []
    assert found == expected, found


@then('the tool caused ""')
def check_no_actions(context: Any) -> None:
    """Nothing was received."""
    check_actions(context, '')


@then('the tool sent these fields')
def check_fields(context: Any) -> None:
    """Compare the body that the caller listener received."""
    assert context.code == 0, context.error.getvalue()
    assert context.asked == [json.loads(context.text)], context.asked
