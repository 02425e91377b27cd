"""Sends requests to other hosts and judges their answers."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.entry.memory_lanes import MemoryLanes
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers import peer_paths
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_frame import MAX_BODY_BYTES, PeerFrame
from mimosapond.peers.peer_link import LinkFailure
from mimosapond.peers.peer_links import PeerLinks
from mimosapond.peers.peer_versions import VERSION_FIELD, PeerVersions
from mimosapond.routing.work_outcome import WorkUnanswered

Body: TypeAlias = Mapping[str, Any]

# Statuses of answers which say that nothing ran.
_NOT_RUN_STATUSES: Final = frozenset(
    str(status.value)
    for status in (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_PATIENT_PATHS: Final = frozenset((peer_paths.PRIMARY, peer_paths.QUOTA))
_OK: Final = str(HTTPStatus.OK.value)
_NOT_FOUND: Final = str(HTTPStatus.NOT_FOUND.value)


@final
class PeerCaller:
    """Calls peers over connections that stay open, and records who answers."""

    def __init__(
        self,
        directory: PeerDirectory,
        now: Now,
        versions: PeerVersions | None = None,
        lanes: MemoryLanes | None = None,
    ) -> None:
        """Create a caller without connections.

        Parameters
        ----------
        directory
            Records which peers answer.
        versions
            Is told which version of the configuration each answer names.
        lanes
            Memory for answers; by default, that of a host whose settings name
            none.
        """
        self._versions = versions
        self._directory = directory
        self._links = PeerLinks(now, lanes)
        # A connection with a request in flight counts as silent after a short
        # time, so requests that wait for news have connections of their own.
        self._waiting_links = PeerLinks(now, lanes)

    async def call(
        self, peer: Peer, path: str, body: Body, limit_s: float
    ) -> Body | WorkUnanswered:
        """Send a request and return the body of its answer."""
        content = json.dumps(body).encode()
        if len(content) > MAX_BODY_BYTES:
            return WorkUnanswered('the work is too large', was_sent=False)
        links = self._links
        if path == peer_paths.STATE:
            links = self._waiting_links
        answer = await links.call(peer, path, content, limit_s)
        if isinstance(answer, LinkFailure):
            return self._judge_failure(peer, path, answer)
        return self._decode(peer, path, answer)

    def record_unanswered(
        self, peer: Peer, path: str, reason: str, *, was_sent: bool
    ) -> WorkUnanswered:
        """Record that a peer gave no usable answer."""
        if self._directory.record_failure(peer):
            logger.bind(
                peer=peer.host, path=path, reason=reason, was_sent=was_sent
            ).info('peer_unanswered')
        return WorkUnanswered(reason, was_sent=was_sent)

    def _judge_failure(
        self, peer: Peer, path: str, failure: LinkFailure
    ) -> WorkUnanswered:
        # A peer that probes a silent primary answers the question for it late,
        # and is not at fault. Requests about quotas have short limits, which a
        # busy peer may miss.
        is_at_fault = failure.was_silent and path not in _PATIENT_PATHS
        if is_at_fault or not failure.was_sent:
            return self.record_unanswered(
                peer, path, failure.reason, was_sent=failure.was_sent
            )
        return WorkUnanswered(failure.reason, was_sent=failure.was_sent)

    def _decode(
        self, peer: Peer, path: str, answer: PeerFrame
    ) -> Body | WorkUnanswered:
        if answer.word == _NOT_FOUND:
            # A host of an earlier version of the product lacks the path, and is
            # fit for other requests.
            return WorkUnanswered('the path is unknown', was_sent=False)
        if answer.word != _OK:
            was_sent = answer.word not in _NOT_RUN_STATUSES
            return self.record_unanswered(
                peer, path, f'status {answer.word}', was_sent=was_sent
            )
        decoded = decode_json_object(answer.body)
        if isinstance(decoded, UndecodableJson):
            return self.record_unanswered(
                peer, path, decoded.problem, was_sent=True
            )
        self._directory.record_answer(peer)
        if self._versions is not None:
            self._versions.record(peer, decoded.get(VERSION_FIELD))
        return decoded
