"""Steps of platform_store.feature."""

import asyncio
import base64
import json
from collections.abc import Coroutine
from typing import Any, Final

from behave import given, then, when

from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.configuration_source import (
    SourceGap,
    SourceState,
)
from mimosapond.failover.claim_port import DutyClaim, DutyTaken
from mimosapond.groups.registration_source import Registrations
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_source import Peers, PeersUnavailable
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_configuration import StoreConfiguration
from mimosapond.platform.store_duties import StoreDuties
from mimosapond.platform.store_peers import StorePeers
from mimosapond.platform.store_registrations import StoreRegistrations
from standins.platform_services.store_fault import StoreFault
from standins.platform_services.table_store import TableStore

_GROUP: Final = 'orders'
# Longer than the adapter waits for a claim's calls.
_LATE_S: Final = 1.0
_WAIT_S: Final = 0.2
_FEED_S: Final = 1.0


def _run(context: Any, work: Coroutine[Any, Any, Any]) -> Any:
    return context.loop.run_until_complete(work)


def _text(content: str) -> str:
    return base64.b64encode(content.encode()).decode()


@given('a table store and the hosts a and b')
def start_store(context: Any) -> None:
    """Start the stand-in, and a client for each host."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.store = _run(context, _listen())
    context.add_cleanup(context.store.close)
    client = _run(context, _connect(context.store))
    context.client = client
    context.duties = {
        host: StoreDuties(client, host, boot_time_s) for host in 'ab'
    }
    context.outcomes = []


async def _listen() -> TableStore:
    return TableStore(_LATE_S)


async def _connect(store: TableStore) -> StoreClient:
    return StoreClient(store.listen())


@when('host {host} claims the group')
def claim(context: Any, host: str) -> None:
    """Claim once."""
    outcome = _run(context, context.duties[host].claim(_GROUP))
    context.outcomes.append(outcome)


@when('host {host} releases the group')
def release(context: Any, host: str) -> None:
    """Release the claim."""
    _run(context, context.duties[host].release(_GROUP))


@when("{age_ms:d} ms pass on the store's clock")
def pass_time(context: Any, age_ms: int) -> None:
    """Move the clock that claims and announcements go by."""
    context.store.rows.clock_offset_ms += age_ms


@when('the table store {fault}')
def set_fault(context: Any, fault: str) -> None:
    """Let it misbehave, or behave again."""
    if fault == 'forgets its history':
        context.store.forget_history()
        return
    name = 'none' if fault == 'is well' else fault
    context.store.fault = StoreFault(name)


@when('the late call is applied')
def await_late(context: Any) -> None:
    """Let the delay pass."""
    _run(context, asyncio.sleep(_LATE_S))


@then('the claims are {expected}')
def check_claims(context: Any, expected: str) -> None:
    """Compare the outcomes in order."""
    found = ', '.join(_named(outcome) for outcome in context.outcomes)
    assert found == expected, context.outcomes


def _named(outcome: Any) -> str:
    match outcome:
        case DutyClaim():
            return 'held'
        case DutyTaken():
            return 'taken'
        case _:
            return 'unknown'


@then('each token is higher than those before')
def check_tokens(context: Any) -> None:
    """Compare the tokens of the claims that were held."""
    tokens = [
        outcome.token
        for outcome in context.outcomes
        if isinstance(outcome, DutyClaim)
    ]
    assert len(tokens) > 1 and tokens == sorted(set(tokens)), tokens


@then('host a and host b reserve different tokens')
def check_reserved(context: Any) -> None:
    """Reserve twice for each."""
    tokens = [_run(context, context.duties[host].reserve()) for host in 'abab']
    assert None not in tokens
    assert len(set(tokens)) == len(tokens), tokens


@when('host {host} announces itself')
def announce(context: Any, host: str) -> None:
    """Announce and keep what the store said."""
    own = Peer(host, f'10.0.0.1:{ord(host)}', 'centre')
    work = StorePeers(context.client).announce(own)
    context.announced = _run(context, work)


@then('host {host} knows {names}')
def check_known(context: Any, host: str, names: str) -> None:
    """Compare the hosts that were there before the announcement."""
    assert isinstance(context.announced, Peers), context.announced
    found = ','.join(peer.host for peer in context.announced.peers)
    expected = '' if names == 'nobody' else names
    assert found == expected, found


@then('host {host} learns that the store is unavailable')
def check_unavailable(context: Any, host: str) -> None:
    """Check the outcome."""
    assert isinstance(context.announced, PeersUnavailable), context.announced


@given('the announcement of {host} is {content}')
def write_announcement(context: Any, host: str, content: str) -> None:
    """Write a row as another program might."""
    context.store.put('mimosapond-hosts', host, _text(content))


@when('the operator writes version {version:d}')
def write_configuration(context: Any, version: int) -> None:
    """Write a configuration."""
    body = {
        'version': version,
        'routes': [],
        'services': [],
        'limits': {'tx_idle_ms': 3000},
    }
    context.store.put('op', 'config', _text(json.dumps(body)))


@then('the follower reads version {version:d}')
def check_read(context: Any, version: int) -> None:
    """Read the whole state."""
    source = StoreConfiguration(context.client)
    _check_version(context, _run(context, source.read()), version)


@then('the follower hears of version {version:d}')
def check_followed(context: Any, version: int) -> None:
    """Follow from the state that was read last."""
    source = StoreConfiguration(context.client)
    answer = _run(context, source.follow(context.mark, _FEED_S))
    _check_version(context, answer, version)


def _check_version(context: Any, answer: Any, version: int) -> None:
    assert isinstance(answer, SourceState), answer
    assert answer.configuration is not None
    assert answer.configuration.version == version, answer
    context.mark = answer.cursor


@then('the follower has to read again')
def check_gap(context: Any) -> None:
    """Follow from a version that is forgotten."""
    source = StoreConfiguration(context.client)
    answer = _run(context, source.follow(context.mark, _WAIT_S))
    assert isinstance(answer, SourceGap), answer


@when('member {member} registers as {state}')
def register(context: Any, member: str, state: str) -> None:
    """Write a registration."""
    entry = {
        'service': _GROUP,
        'addr': '10.0.0.1:80',
        'zone': 'centre',
        'state': state,
    }
    context.store.put('servers', member, _text(json.dumps(entry)))


@when('member {member} vanishes')
def vanish(context: Any, member: str) -> None:
    """Remove its registration."""
    context.store.drop('servers', member)


@then('the registered members are {names}')
def check_registered(context: Any, names: str) -> None:
    """Read all registrations."""
    found = _run(context, StoreRegistrations(context.client).read(_WAIT_S))
    assert isinstance(found, Registrations), found
    listed = ','.join(record.member_id for record in found.records)
    assert listed == names, listed
