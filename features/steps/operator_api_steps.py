"""Steps of operator_api.feature."""

import asyncio
import json
from typing import Any

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient

from features.operator_fakes import FakeOperatorActions, serve
from features.product_builders import OPERATOR_SECRET, build_document
from mimosapond.document_body import document_body
from mimosapond.secret_check import SECRET_HEADER
from mimosapond.operator_handlers import operator_application


async def fetch(context: Any, method: str, path: str, **options: Any) -> None:
    """Send one request and store the status and body of the answer."""
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(
        f'http://{context.operator_address}{path}',
        method=method,
        raise_error=False,
        **options,
    )
    client.close()
    context.status = response.code
    context.answer = json.loads(response.body)


def start_listener(context: Any, secret: str) -> None:
    """Serve the operator interface until the scenario ends."""
    context.actions = FakeOperatorActions()
    listener = serve(operator_application(context.actions, secret))
    context.operator_address = listener.__enter__()
    context.add_cleanup(listener.__exit__, None, None, None)


def build_body(text: str) -> str | None:
    """Build the request body that a table cell describes."""
    fields = document_body(build_document())
    if text.startswith('revision '):
        revision = int(text.removeprefix('revision '))
        return json.dumps({'expected_revision': revision, 'document': fields})
    if text == 'faulty document':
        fields['workspaces'][0]['group'] = 'absent'
        return json.dumps({'expected_revision': 4, 'document': fields})
    return text or None


@given('an operator listener')
def start_with_secret(context: Any) -> None:
    """Serve with the operator secret of the tests."""
    start_listener(context, OPERATOR_SECRET)


@given('an operator listener without a secret')
def start_without_secret(context: Any) -> None:
    """Serve with an empty operator secret."""
    start_listener(context, '')


@when('the operator sends {method} "{path}" with body "{body}"')
def send(context: Any, method: str, path: str, body: str) -> None:
    """Send a request with the secret."""
    headers = {SECRET_HEADER: OPERATOR_SECRET}
    sent = build_body(body)
    asyncio.run(fetch(context, method, path, headers=headers, body=sent))


@when('the operator sends {method} "{path}" with body ""')
def send_empty(context: Any, method: str, path: str) -> None:
    """Send a request without a body."""
    send(context, method, path, '')


@when(
    'an unauthorized client sends {method} "{path}" '
    'with the operator secret "{secret}"'
)
def send_unauthorized(
    context: Any, method: str, path: str, secret: str
) -> None:
    """Send a request with a wrong secret, or without one if it is empty."""
    headers = {SECRET_HEADER: secret} if secret else {}
    sent = '{}' if method == 'POST' else None
    asyncio.run(fetch(context, method, path, headers=headers, body=sent))


@when(
    'an unauthorized client sends {method} "{path}" with the operator secret ""'
)
def send_without_secret(context: Any, method: str, path: str) -> None:
    """Send a request without a secret."""
    send_unauthorized(context, method, path, '')


@then(
    'the operator answer is {status:d} "{outcome}" '
    'and the actions were "{actions}"'
)
def check_answer(context: Any, status: int, outcome: str, actions: str) -> None:
    """Check the status, the outcome or refusal reason, and the actions."""
    found = context.answer.get('reason', context.answer['outcome'])
    assert (context.status, found) == (status, outcome), context.answer
    expected = [actions] if actions else []
    assert context.actions.calls == expected, context.actions.calls
    if 'reason' in context.answer:
        assert context.answer['remedy'], context.answer


@then('the operator answer is {status:d} "{outcome}" and the actions were ""')
def check_no_action(context: Any, status: int, outcome: str) -> None:
    """Check the status and the outcome, and that no action was run."""
    check_answer(context, status, outcome, '')
