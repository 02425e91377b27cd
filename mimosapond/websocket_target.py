"""Adapter of the target port for members that use JSON over WebSocket.

The address of a removed member may be assigned to a member of another group,
which may be at the same term. A connection is therefore used only after the
member at the other end has sent its name.
"""

from collections.abc import Mapping
from typing import Any, Final, final

from mimosapond import codec
from mimosapond.address_translator import AddressTranslator
from mimosapond.clock import MS_PER_S
from mimosapond.json_link import PING_OPERATION, JsonLink
from mimosapond.link_cache import LinkCache
from mimosapond.member_address import MemberAddress
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerUnavailable
from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult, TargetSilent
from mimosapond.websocket_connection import (
    WebsocketConnection,
    decode_rejection,
)

# Lets the member's own answer at the end of the wait arrive first.
_AWAIT_MARGIN_S: Final = 0.1


@final
class WebsocketTarget:
    """Opens data connections and shares one control link per member."""

    def __init__(
        self,
        connect_timeout_s: float,
        addresses: AddressTranslator,
    ) -> None:
        """Start without connections.

        Parameters
        ----------
        connect_timeout_s
            Timeout for opening a control link.
        addresses
            Resolves the addresses of members.
        """
        self._addresses = addresses
        self._control_links = LinkCache(
            '/control',
            {},
            connect_timeout_s,
            addresses,
        )

    async def connect(
        self,
        member: MemberAddress,
        timeout_s: float,
    ) -> WebsocketConnection | TargetSilent:
        """Open a data connection and check that ``member`` accepted it."""
        url = f'ws://{self._addresses.resolve(member.address)}/data'
        link = await JsonLink.open(url, {}, timeout_s)
        if isinstance(link, PeerUnavailable):
            return TargetSilent(link.problem, sent=False)
        problem: str | None = 'the check was cancelled'
        try:
            problem = await _find_problem(link, member, timeout_s)
        finally:
            if problem is not None:
                link.close()
        if problem is not None:
            return TargetSilent(problem, sent=False)
        return WebsocketConnection(link)

    async def status(
        self,
        member: MemberAddress,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        """Return the standing of ``member``."""
        return await self._call(member, 'status', {}, timeout_s, fresh=fresh)

    async def adopt(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask ``member`` to adopt ``term`` and grant it to host ``asker``."""
        body = {'term': term, 'asker': asker}
        return await self._call(member, 'adopt', body, timeout_s)

    async def promote(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Promote ``member`` to the primary of a term granted to ``asker``."""
        body = {'term': term, 'asker': asker}
        return await self._call(member, 'promote', body, timeout_s)

    async def await_position(
        self,
        member: MemberAddress,
        term: int,
        position: int,
        timeout_s: float,
    ) -> ControlResult:
        """Wait until ``member`` has the log of ``term`` up to ``position``."""
        body = {
            'term': term,
            'position': position,
            'timeout_ms': int(timeout_s * MS_PER_S),
        }
        call_timeout_s = timeout_s + _AWAIT_MARGIN_S
        return await self._call(member, 'await_position', body, call_timeout_s)

    def disconnect(self, member: MemberAddress) -> None:
        """Close the shared control connection."""
        self._control_links.disconnect(member.address)

    def close(self) -> None:
        """Close all control connections."""
        self._control_links.close()

    async def _call(
        self,
        member: MemberAddress,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        answer = await self._control_links.call(
            member.address,
            operation,
            body,
            timeout_s,
            fresh=fresh,
        )
        match answer:
            case PeerAnswered(body=answer_body):
                standing = codec.decode(Standing, answer_body)
                return _check_name(member, standing, standing)
            case PeerRejected(body=answer_body):
                rejected = decode_rejection(answer_body)
                return _check_name(member, rejected, rejected.standing)
            case PeerUnavailable(problem, sent):
                return TargetSilent(problem, sent)


async def _find_problem(
    link: JsonLink,
    member: MemberAddress,
    timeout_s: float,
) -> str | None:
    """Return why a new connection is unusable, None when it is usable."""
    answer = await link.call(PING_OPERATION, {}, timeout_s)
    if isinstance(answer, PeerUnavailable):
        return f'{answer.problem}, close code {link.close_code}'
    named = answer.body.get('member')
    return None if named == member.name else _describe_other_member(named)


def _check_name(
    member: MemberAddress,
    answer: ControlResult,
    standing: Standing | None,
) -> ControlResult:
    """Discard an answer of another member.

    That member may belong to another group, whose terms are unrelated.
    """
    if standing is None or standing.member == member.name:
        return answer
    return TargetSilent(_describe_other_member(standing.member), sent=True)


def _describe_other_member(named: str | None) -> str:
    return f'the address is in use by {named or "no known member"}'
