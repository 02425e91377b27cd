"""Adapter of the target port: members that speak JSON over WebSocket.

The address of a member that is gone may be used again by a member of another
group, which may be at the same term. Each connection is therefore used only
after the member has named itself.
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

# Leaves the member time to answer that the wait ended.
_AWAIT_MARGIN_S: Final = 0.1


@final
class WebsocketTarget:
    """Opens data connections and keeps one control link per member."""

    def __init__(
        self,
        connect_timeout_s: float,
        addresses: AddressTranslator,
    ) -> None:
        """Set the limit for opening a control link."""
        self._addresses = addresses
        self._control = LinkCache(
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
        """Open a data connection and check that the target accepted it."""
        url = f'ws://{self._addresses.resolve(member.address)}/data'
        link = await JsonLink.open(url, {}, timeout_s)
        if isinstance(link, PeerUnavailable):
            return TargetSilent(link.problem, sent=False)
        problem: str | None = 'the check was cancelled'
        try:
            problem = await _problem(link, member, timeout_s)
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
        """Ask for the member's standing."""
        return await self._call(member, 'status', {}, timeout_s, fresh=fresh)

    async def adopt(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask the member to adopt ``term`` and grant it to ``asker``."""
        body = {'term': term, 'asker': asker}
        return await self._call(member, 'adopt', body, timeout_s)

    async def promote(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Make the member the primary of a term granted to ``asker``."""
        body = {'term': term, 'asker': asker}
        return await self._call(member, 'promote', body, timeout_s)

    async def await_position(
        self,
        member: MemberAddress,
        term: int,
        position: int,
        timeout_s: float,
    ) -> ControlResult:
        """Wait until the member holds ``position`` of ``term``'s primary."""
        body = {
            'term': term,
            'position': position,
            'timeout_ms': int(timeout_s * MS_PER_S),
        }
        limit_s = timeout_s + _AWAIT_MARGIN_S
        return await self._call(member, 'await_position', body, limit_s)

    def disconnect(self, member: MemberAddress) -> None:
        """Close the kept control connection."""
        self._control.disconnect(member.address)

    def close(self) -> None:
        """Close all control connections."""
        self._control.close()

    async def _call(
        self,
        member: MemberAddress,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        answer = await self._control.call(
            member.address,
            operation,
            body,
            timeout_s,
            fresh=fresh,
        )
        match answer:
            case PeerAnswered(body=answer_body):
                standing = codec.decode(Standing, answer_body)
                return _checked(member, standing, standing)
            case PeerRejected(body=answer_body):
                rejected = decode_rejection(answer_body)
                return _checked(member, rejected, rejected.standing)
            case PeerUnavailable(problem, sent):
                return TargetSilent(problem, sent)


async def _problem(
    link: JsonLink,
    member: MemberAddress,
    timeout_s: float,
) -> str | None:
    """Tell why a new connection can't be used; None when it can."""
    answer = await link.call(PING_OPERATION, {}, timeout_s)
    if isinstance(answer, PeerUnavailable):
        return f'{answer.problem}, close code {link.close_code}'
    named = answer.body.get('member')
    return None if named == member.name else _other_member(named)


def _checked(
    member: MemberAddress,
    answer: ControlResult,
    standing: Standing | None,
) -> ControlResult:
    """Drop an answer of another member, whose terms are of another group."""
    if standing is None or standing.member == member.name:
        return answer
    return TargetSilent(_other_member(standing.member), sent=True)


def _other_member(named: str | None) -> str:
    return f'the address is in use by {named or "no known member"}'
