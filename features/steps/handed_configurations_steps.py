"""Steps of workspaces.feature for configurations that hosts hand on."""

import asyncio
import json
from typing import Any, Final, final

import attrs
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.group_builders import (
    DATA_CENTRE,
    GROUP,
    build_route,
    build_world,
)
from features.peer_fakes import FakePeer
from features.relay_builders import build_relayed_work_services, serve_handler
from features.workspace_builders import build_workspace_configuration
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration, GroupLimits
from mimosapond.configuration.configuration_follower import (
    ConfigurationFollower,
)
from mimosapond.configuration.configuration_source import (
    Progress,
    SourceAnswer,
    SourceState,
    SourceUnavailable,
)
from mimosapond.configuration.route import Freshness, Route
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.configuration.workspace import Workspace
from mimosapond.peers.configuration_requester import ConfigurationRequester
from mimosapond.peers.configuration_transfer import (
    decode_configuration,
    encode_configuration,
)
from mimosapond.peers.hand_over_gate import HandOverGate
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_versions import VERSION_FIELD, PeerVersions
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler

_MS_PER_S: Final = 1000
_APPLY_S: Final = 10.0
_LIMIT_S: Final = 0.5
_POLL_S: Final = 0.01


@given('a host with version {own} whose source {answers}')
def describe_host(context: Any, own: str, answers: str) -> None:
    """Set the version of the first host and the contact to its source."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context.loop)
    context.active = ActiveConfiguration()
    if own != 'no':
        context.active.activate(_build_version(int(own)))
    context.now_s = 0
    context.contact = SourceContact(lambda: context.now_s)
    context.contact.record_answer()
    match answers:
        case 'does not answer':
            context.contact.record_failure()
        case 'did not answer 2 s ago':
            context.contact.record_failure()
            context.now_s = 2
        case 'does not answer for 2 s':
            context.contact.record_failure()
            context.now_s = 2
            context.contact.record_failure()
        case 'answered a long time ago':
            context.now_s = _APPLY_S


def _close(loop: asyncio.AbstractEventLoop) -> None:
    loop.run_until_complete(_cancel_all())
    loop.close()


async def _cancel_all() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def _build_version(version: int) -> Configuration:
    return build_workspace_configuration(version, ['k1'])


@given('another host with version {other:d}')
def describe_other(context: Any, other: int) -> None:
    """Let the other host hand over its configuration."""
    context.open_other = lambda: _serve_version(other)


@given('another host with version {other:d} and {count:d} routes')
def describe_large(context: Any, other: int, count: int) -> None:
    """Let the other host have a configuration with many routes."""
    configuration = _build_routes(other, count)
    context.open_other = lambda: _serve_configuration(configuration)


def _build_routes(version: int, count: int) -> Configuration:
    template = build_route()
    routes = {
        name: attrs.evolve(template, database=name)
        for name in map('database-{}'.format, range(count))
    }
    return attrs.evolve(_build_version(version), routes=routes)


@then(
    'a configuration of {count:d} routes is handed over at {handed} of '
    '{asked} ms',
)
def check_gate(context: Any, count: int, handed: str, asked: str) -> None:
    """Ask a gate at these times, and compare when it admits."""
    configuration = _build_routes(3, count)
    now_ms = [0]
    gate = HandOverGate(lambda: now_ms[0] / _MS_PER_S)
    admitted = []
    for time_ms in map(int, asked.split(', ')):
        now_ms[0] = time_ms
        if gate.admit(configuration, accepts_large=True):
            admitted.append(str(time_ms))
    assert ', '.join(admitted) == handed, admitted


@given('another host with version {other:d} that leaves request 2 unanswered')
def describe_hesitant(context: Any, other: int) -> None:
    """Let each answer name a version and hand it over, but the second."""
    body = {
        VERSION_FIELD: other,
        'position': None,
        'configuration': encode_configuration(_build_version(other)),
    }
    context.open_other = lambda: _serve_content(
        json.dumps(body).encode(), unanswered_number=2
    )


@given('another host that names version {other:d} and hands over nothing')
def describe_silent(context: Any, other: int) -> None:
    """Let each answer of the other host name a version."""
    body = json.dumps({VERSION_FIELD: other, 'position': None})
    context.open_other = lambda: _serve_content(body.encode())


async def _serve_version(version: int) -> str:
    return await _serve_configuration(_build_version(version))


async def _serve_configuration(configuration: Configuration) -> str:
    world = build_world()
    services = world.services
    active = ActiveConfiguration()
    active.activate(configuration)
    world.services = attrs.evolve(services, configuration=active)
    handler = RelayedWorkHandler(build_relayed_work_services(world))
    return serve_handler(handler, world)[1]


@given('another host that hands over {body} as its configuration')
def describe_faulty(context: Any, body: str) -> None:
    """Let the other host answer with this body."""
    context.open_other = lambda: _serve_body(body)


@given('another host that knows no requests for configurations')
def describe_earlier(context: Any) -> None:
    """Let the other host answer as one of an earlier version does."""
    context.open_other = lambda: _serve_body('{}', '404')


async def _serve_body(body: str, status: str = '200') -> str:
    content = json.dumps({'configuration': json.loads(body)})
    return await _serve_content(content.encode(), status)


async def _serve_content(
    content: bytes, status: str = '200', unanswered_number: int = 0
) -> str:
    fake = FakePeer(is_first_connection_silent=False)
    fake.unanswered_number = unanswered_number
    fake.status = status
    fake.answer = content
    return fake.open_port()


@when('the first host {asks} and {wait_ms:d} ms pass for it')
def run_requester(context: Any, asks: str, wait_ms: int) -> None:
    """Run the requests of the first host; it may ask for a primary, too."""
    context.changes = []
    context.loop.run_until_complete(
        _run_requester(context, asks == 'asks for the primary', wait_ms)
    )


async def _run_requester(context: Any, asks: bool, wait_ms: int) -> None:
    peer = Peer('far', await context.open_other(), DATA_CENTRE)
    directory = PeerDirectory(Peer('near', '', DATA_CENTRE), boot_time_s)
    directory.update([peer])
    context.is_other_available = lambda: directory.is_available(peer)
    versions = PeerVersions(context.active)
    client = PeerClient(directory, boot_time_s, versions)
    context.task = asyncio.create_task(
        ConfigurationRequester(
            context.active,
            context.changes.append,
            context.contact,
            versions,
            client,
            directory,
            _APPLY_S,
        ).run()
    )
    if asks:
        await client.ask_primary(peer, GROUP, 1, _LIMIT_S)
    await asyncio.sleep(wait_ms / _MS_PER_S)


@when('the store gives it version {version:d} and {wait_ms:d} ms pass for it')
def load_first(context: Any, version: int, wait_ms: int) -> None:
    """Put the first version in force, as the follower does."""
    assert not context.active.is_loaded
    context.active.activate(_build_version(version))
    context.loop.run_until_complete(asyncio.sleep(wait_ms / _MS_PER_S))


@then('the first host has version {found}')
def check_version(context: Any, found: str) -> None:
    """Check the version in force, and that each change was announced."""
    assert not context.task.done()
    expected = -1 if found == 'no' else int(found)
    assert context.active.version == expected, context.active.version
    if context.changes:
        announced = [each.version for each in context.changes]
        assert announced == [expected], announced


@then('the first host was asked to read its source: {answer}')
def check_read(context: Any, answer: str) -> None:
    """Check whether the follower of the first host was told to read."""
    is_asked = context.contact.read_requested.is_set()
    assert is_asked == (answer == 'yes'), is_asked


@then('the other host may be asked for other work')
def check_available(context: Any) -> None:
    """Check that its answers do not count as failures."""
    assert context.is_other_available()


_WORDS: Final = st.text(min_size=1, max_size=9)
_AMOUNTS: Final = st.floats(min_value=0, max_value=1e9)
_ROUTES: Final = st.builds(
    Route,
    _WORDS,
    _WORDS,
    st.sampled_from(Freshness),
    _AMOUNTS,
    _AMOUNTS,
    st.integers(0, 9),
    st.booleans(),
)
_WORKSPACES: Final = st.builds(
    Workspace,
    _WORDS,
    st.frozensets(_WORDS),
    st.integers(0, 9),
    _AMOUNTS,
    _AMOUNTS,
)
_LIMITS: Final = st.builds(GroupLimits, _WORDS, st.integers(0, 99))


@settings(derandomize=True, deadline=None)
@for_all(
    st.builds(
        Configuration,
        st.integers(0),
        st.dictionaries(_WORDS, _ROUTES),
        st.dictionaries(_WORDS, _LIMITS),
        _AMOUNTS,
        st.none() | st.dictionaries(_WORDS, _WORKSPACES),
    )
)
def _check_round_trip(configuration: Configuration) -> None:
    content = json.dumps(encode_configuration(configuration))
    assert decode_configuration(json.loads(content)) == configuration


@then('any configuration is unchanged after it was handed to another host')
def check_any_configuration(context: Any) -> None:
    """Check generated examples, and that a key is not in the body."""
    _check_round_trip()
    configuration = build_workspace_configuration(1, ['secretkey'])
    assert 'secretkey' not in json.dumps(encode_configuration(configuration))


@final
class _PollSource:
    """Records the waits of polls; see ``ConfigurationSource``."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.read_count = 0
        self.answer_count = 0
        self.is_answering = True
        # Time from the first call within which each call fails.
        self.fail_s: float = 0
        self._started_s: float = 0

    async def read(self, *_progress: Progress) -> SourceAnswer:
        """Return a state without a configuration, or fail."""
        self.read_count += 1
        return await self._answer()

    async def follow(
        self, cursor: int, wait_s: float, *_progress: Progress
    ) -> SourceAnswer:
        """Record the wait, and return without a change or fail."""
        self.waits_s.append(wait_s)
        return await self._answer()

    async def _answer(self) -> SourceAnswer:
        started_s = self._started_s = self._started_s or boot_time_s()
        await asyncio.sleep(_POLL_S)
        if self.is_answering and boot_time_s() - started_s >= self.fail_s:
            self.answer_count += 1
            return SourceState(None, 1)
        return SourceUnavailable('silent')


@given('a source that answers each poll')
def build_source(context: Any) -> None:
    """Build a source without a configuration."""
    context.source = _PollSource()


@given('a source that fails for {fail_ms:d} ms')
def build_failing_source(context: Any, fail_ms: int) -> None:
    """Build a source that answers some time after its first call."""
    context.source = _PollSource()
    context.source.fail_s = fail_ms / _MS_PER_S


@when('the follower of a host with an apply time of {apply_ms:d} ms polls')
def run_follower(context: Any, apply_ms: int) -> None:
    """Run the follower for several polls."""
    context.contact = SourceContact(boot_time_s)
    context.follower = ConfigurationFollower(
        context.source,
        ActiveConfiguration(),
        lambda _: None,
        apply_ms / _MS_PER_S,
        context.contact,
    )
    asyncio.run(_poll(context.follower))


@when('the follower of a covered host is asked to read and {wait_ms:d} ms pass')
def run_covered(context: Any, wait_ms: int) -> None:
    """Run the follower of a host to which another one hands new versions."""
    asyncio.run(_run_covered(context.source, wait_ms))


async def _run_covered(source: _PollSource, wait_ms: int) -> None:
    active = ActiveConfiguration()
    active.activate(_build_version(1))
    contact = SourceContact(boot_time_s)
    contact.is_covered = lambda: True
    follower = ConfigurationFollower(
        source, active, lambda _: None, _APPLY_S, contact
    )
    task = asyncio.create_task(follower.run())
    contact.read_requested.set()
    await asyncio.sleep(wait_ms / _MS_PER_S)
    task.cancel()


@then('the source answered one read after others that failed')
def check_repeated_reads(context: Any) -> None:
    """Check that reads were repeated, but not after the answer."""
    assert context.source.answer_count == 1, context.source.answer_count
    assert context.source.read_count > 1, context.source.read_count


@then('the source was read once')
def check_read_count(context: Any) -> None:
    """Count the reads and the polls."""
    assert context.source.read_count == 1, context.source.read_count
    assert not context.source.waits_s


@when('the source answers no poll')
def fail_source(context: Any) -> None:
    """Run the follower against a source that fails."""
    context.source.is_answering = False
    asyncio.run(_poll(context.follower))


async def _poll(follower: ConfigurationFollower) -> None:
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(_POLL_S * 10)
    task.cancel()


@then('its polls wait for {wait_ms:d} ms, and the source counts as in contact')
def check_waits(context: Any, wait_ms: int) -> None:
    """Check the wait of each poll, and the contact."""
    assert set(context.source.waits_s) == {wait_ms / _MS_PER_S}
    assert not context.contact.is_silent(_LIMIT_S)


@then('the source counts as silent')
def check_silent(context: Any) -> None:
    """Check the contact after a failed poll."""
    assert context.contact.is_silent(_LIMIT_S)
