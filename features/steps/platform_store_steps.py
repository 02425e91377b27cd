"""Steps of platform_store.feature."""

import asyncio
import base64
import json
import math
from collections.abc import Coroutine
from typing import Any, Final

from behave import given, then, when

from features.group_builders import parse_position
from features.shared_state_builders import build_directory
from features.store_fakes import SlowStore
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration_follower import (
    ConfigurationFollower,
)
from mimosapond.configuration.configuration_source import (
    SourceGap,
    SourceState,
)
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.failover.claim_port import DutyClaim, DutyTaken
from mimosapond.failover.lead_record import LeadRecording, NoLead
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.registration_source import Registrations
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_source import Peers, PeersUnavailable
from mimosapond.peers.shared_state import SharedState
from mimosapond.peers.state_publisher import StatePublisher
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_configuration import StoreConfiguration
from mimosapond.platform.store_claims import StoreClaims
from mimosapond.platform.store_peers import StorePeers
from mimosapond.platform.store_registrations import StoreRegistrations
from standins.platform_services.store_fault import StoreFault
from standins.platform_services.table_store import TableStore

_GROUP: Final = 'orders'
# Delay of late writes; longer than the adapter's timeout of claim calls.
_LATE_S: Final = 1.0
_WAIT_S: Final = 0.2
_FEED_S: Final = 1.0
_APPLY_S: Final = 5.0
_MS_PER_S: Final = 1000


def _run(context: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    return context.loop.run_until_complete(coroutine)


def _encode(content: str) -> str:
    return base64.b64encode(content.encode()).decode()


@given('a table store and the hosts a and b')
def start_store(context: Any) -> None:
    """Start the stand-in, and create the claims of each host."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.store = _run(context, _build_store())
    context.add_cleanup(context.store.close)
    client = _run(context, _connect(context.store))
    context.client = client
    context.claims = {
        host: StoreClaims(client, host, boot_time_s) for host in 'ab'
    }
    context.outcomes = []
    context.group_name = _GROUP


async def _build_store() -> TableStore:
    return TableStore(_LATE_S)


async def _connect(store: TableStore) -> StoreClient:
    return StoreClient(store.listen())


@when('host {host} claims the group')
def claim(context: Any, host: str) -> None:
    """Claim the group and record the outcome."""
    outcome = _run(context, context.claims[host].claim(_GROUP))
    context.outcomes.append(outcome)


@when('host {host} releases the group')
def release(context: Any, host: str) -> None:
    """Release the claim of the host."""
    _run(context, context.claims[host].release(_GROUP))


@when("{age_ms:d} ms pass on the store's clock")
def pass_time(context: Any, age_ms: int) -> None:
    """Advance the clock on which claims and announcements expire."""
    context.store.rows.clock_offset_ms += age_ms


@when('the table store {fault}')
def set_fault(context: Any, fault: str) -> None:
    """Set the fault of the stand-in, or end it."""
    if fault == 'truncates its history':
        context.store.forget_history()
        return
    name = 'none' if fault == 'works again' else fault
    context.store.fault = StoreFault(name)


@when('the delayed write is applied')
def await_delayed_write(context: Any) -> None:
    """Wait until the stand-in applies the write."""
    _run(context, asyncio.sleep(_LATE_S))


@then('the claims are {expected}')
def check_claims(context: Any, expected: str) -> None:
    """Compare the outcomes of all claims, in order."""
    found = ', '.join(_outcome_word(outcome) for outcome in context.outcomes)
    assert found == expected, context.outcomes


def _outcome_word(outcome: Any) -> str:
    match outcome:
        case DutyClaim():
            return 'held'
        case DutyTaken():
            return 'taken'
        case _:
            return 'unknown'


@when('host {host} records the lead of {member} from {begin}')
def record_lead(context: Any, host: str, member: str, begin: str) -> None:
    """Record a lead under the first claim of the host that was held."""
    held = [each for each in context.outcomes if isinstance(each, DutyClaim)]
    context.recording = _run(
        context,
        context.claims[host].record_lead(
            _GROUP, held[0], _build_lead(member, begin)
        ),
    )


def _build_lead(member: str, begin: str) -> Lead:
    position = parse_position(begin)
    return Lead(member, position, position.term)


@when('host {host} records requests to resume {names}')
def record_resumes(context: Any, host: str, names: str) -> None:
    """Record requests as before they are sent, under the first claim."""
    held = [each for each in context.outcomes if isinstance(each, DutyClaim)]
    context.recording = _run(
        context,
        context.claims[host].record_resumes(_GROUP, held[0], _processes(names)),
    )


@when('host {host} forgets its requests to resume {names}')
def forget_resumes(context: Any, host: str, names: str) -> None:
    """Forget requests as after their answers."""
    _run(
        context, context.claims[host].forget_resumes(_GROUP, _processes(names))
    )


@then('the last claim has requests to resume {names}')
def check_resumes(context: Any, names: str) -> None:
    """Compare the processes whose pauses may end."""
    resumable = context.outcomes[-1].resumable
    found = ','.join(sorted(each.member_id for each in resumable))
    assert (found or 'none') == names, resumable


def _processes(names: str) -> frozenset[MemberProcess]:
    return frozenset(MemberProcess(name) for name in names.split(','))


@then('recording the lead gave {result}')
def check_recording(context: Any, result: str) -> None:
    """Compare the result of the last recording."""
    assert context.recording is LeadRecording(result), context.recording


@then('the last claim has no lead')
def check_no_lead(context: Any) -> None:
    """Check that no lead was ever recorded."""
    assert context.outcomes[-1].lead == NoLead(), context.outcomes[-1]


@then('the last claim has the lead of {member} from {begin}')
def check_lead(context: Any, member: str, begin: str) -> None:
    """Compare the lead that came with the claim."""
    found = context.outcomes[-1]
    assert found.lead == _build_lead(member, begin), found


@then('each token is higher than all earlier tokens')
def check_tokens(context: Any) -> None:
    """Check that the tokens of the held claims increase strictly."""
    tokens = [
        outcome.token
        for outcome in context.outcomes
        if isinstance(outcome, DutyClaim)
    ]
    assert len(tokens) > 1 and tokens == sorted(set(tokens)), tokens


@then('host a and host b reserve different tokens')
def check_reserved(context: Any) -> None:
    """Reserve two tokens for each host."""
    tokens = [_run(context, context.claims[host].reserve()) for host in 'abab']
    assert None not in tokens
    assert len(set(tokens)) == len(tokens), tokens


@when('host {host} announces itself')
def announce(context: Any, host: str) -> None:
    """Announce the host and keep the result."""
    own = Peer(host, f'10.0.0.1:{ord(host)}', 'centre')
    announcement = StorePeers(context.client).announce(own)
    context.peers_answer = _run(context, announcement)


@then('host {host} knows {names}')
def check_known(context: Any, host: str, names: str) -> None:
    """Compare the hosts that had announced themselves before."""
    assert isinstance(context.peers_answer, Peers), context.peers_answer
    found = ','.join(peer.host for peer in context.peers_answer.peers)
    expected = '' if names == 'nobody' else names
    assert found == expected, found


@then('host {host} learns that the store is unavailable')
def check_unavailable(context: Any, host: str) -> None:
    """Check that the last announcement failed."""
    assert isinstance(context.peers_answer, PeersUnavailable), (
        context.peers_answer
    )


@given('the announcement of {host} is {content}')
def write_announcement(context: Any, host: str, content: str) -> None:
    """Write an announcement, as another program may do."""
    context.store.put('mimosapond-hosts', host, _encode(content))


@when('the operator writes version {version:d}')
def write_configuration(context: Any, version: int) -> None:
    """Write a configuration of the version."""
    body = {
        'version': version,
        'routes': [],
        'services': [],
        'limits': {'tx_idle_ms': 3000},
    }
    context.store.put('op', 'config', _encode(json.dumps(body)))


@then('the follower reads version {version:d}')
def check_read(context: Any, version: int) -> None:
    """Read the current configuration."""
    source = StoreConfiguration(context.client)
    _check_version(context, _run(context, source.read()), version)


@then('the follower is notified of version {version:d}')
def check_followed(context: Any, version: int) -> None:
    """Wait for a change since the last answer."""
    source = StoreConfiguration(context.client)
    answer = _run(context, source.follow(context.mark, _FEED_S))
    _check_version(context, answer, version)


def _check_version(context: Any, answer: Any, version: int) -> None:
    assert isinstance(answer, SourceState), answer
    assert answer.configuration is not None
    assert answer.configuration.version == version, answer
    context.mark = answer.cursor


@given(
    'a store that begins to answer after {begin_ms:d} ms and takes '
    '{transfer_ms:d} ms',
)
def start_slow_store(context: Any, begin_ms: int, transfer_ms: int) -> None:
    """Start a store on a slow link."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    store = SlowStore(begin_ms / _MS_PER_S, transfer_ms / _MS_PER_S)
    address = _run(context, store.listen())
    context.add_cleanup(lambda: _run(context, store.close()))
    context.client = _run(context, _connect_to(address))


@given('a store that takes {transfer_ms:d} ms for {byte_count:d} bytes')
def start_large_store(context: Any, transfer_ms: int, byte_count: int) -> None:
    """Start a store with a large table on a slow link."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    store = SlowStore(0, transfer_ms / _MS_PER_S, byte_count)
    context.address = _run(context, store.listen())
    context.add_cleanup(lambda: _run(context, store.close()))


@when('a reader has read its configuration for {wait_ms:d} ms')
def read_as_reader(context: Any, wait_ms: int) -> None:
    """Read as a host that was in contact before, and on which others rely."""
    context.state = _run(
        context, _read_as_reader(context.address, wait_ms / _MS_PER_S)
    )


async def _read_as_reader(address: str, wait_s: float) -> SharedState | None:
    contact = SourceContact(boot_time_s)
    contact.record_call()
    contact.record_answer()
    directory = build_directory()
    publisher = StatePublisher(directory, contact, boot_time_s)
    follower = ConfigurationFollower(
        StoreConfiguration(StoreClient(address)),
        ActiveConfiguration(),
        lambda _: None,
        _APPLY_S,
        contact,
    )
    reading = asyncio.create_task(follower.run())
    asking = asyncio.create_task(
        publisher.wait_for_state(directory.read_count, '')
    )
    await asyncio.wait((asking,), timeout=wait_s)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    if not asking.done():
        asking.cancel()
        return None
    return asking.result()


@then('the hosts that rely on the reader read the store')
def check_outdated(context: Any) -> None:
    """Check that they were told that the reader is not up to date."""
    assert context.state is not None
    assert context.state.configuration_answered_s == -math.inf


@then('the hosts that rely on the reader go on to rely on it')
def check_current(context: Any) -> None:
    """Check that they were told nothing."""
    assert context.state is None, context.state


async def _connect_to(address: str) -> StoreClient:
    return StoreClient(address)


@then('the {call} of the configuration gives {expected}')
def check_slow_answer(context: Any, call: str, expected: str) -> None:
    """Read or follow the configuration, and compare what arrived."""
    source = StoreConfiguration(context.client)
    request = source.read() if call == 'read' else source.follow(1, _WAIT_S)
    answer = _run(context, request)
    found = 'nothing'
    if isinstance(answer, SourceState) and answer.configuration is not None:
        found = f'version {answer.configuration.version}'
    assert found == expected, answer


@then('the follower has to read the whole configuration again')
def check_gap(context: Any) -> None:
    """Follow from a version that the truncated history does not hold."""
    source = StoreConfiguration(context.client)
    answer = _run(context, source.follow(context.mark, _WAIT_S))
    assert isinstance(answer, SourceGap), answer


@when('member {member} registers as {state}')
def register(context: Any, member: str, state: str) -> None:
    """Write the registration of a member."""
    entry = {
        'service': _GROUP,
        'addr': '10.0.0.1:80',
        'zone': 'centre',
        'state': state,
    }
    context.store.put('servers', member, _encode(json.dumps(entry)))


@when('the registration of member {member} is removed')
def remove_registration(context: Any, member: str) -> None:
    """Remove the row of the registration."""
    context.store.drop('servers', member)


@then('the registered members are {names}')
def check_registered(context: Any, names: str) -> None:
    """Compare the ids of the members that are read."""
    found = _run(context, StoreRegistrations(context.client).read(_WAIT_S))
    assert isinstance(found, Registrations), found
    listed = ','.join(record.member_id for record in found.records)
    assert listed == names, listed
