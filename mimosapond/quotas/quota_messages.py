"""Messages about quotas between hosts."""

from typing import Protocol, TypeAlias, final

import attrs

from mimosapond.peers.peer import Peer


@final
@attrs.frozen
class TakeTokens:
    """A request for tokens of a workspace.

    Parameters
    ----------
    host
        Host that sends the request.
    waiting_count
        How many of the tokens operations wait for; the others are taken in
        advance.
    version
        Configuration version of the host that needs the tokens.
    is_forwarded
        Whether a former home passes the request on.
    """

    host: str
    workspace: str
    count: int
    waiting_count: int
    version: int
    is_forwarded: bool = False


@final
@attrs.frozen
class ClaimBucket:
    """A request for the bucket of a workspace, by its new home.

    Parameters
    ----------
    host, address, data_centre
        The new home. Its announcement may be unknown to the receiver, which
        nevertheless passes requests on to it.
    is_retry
        Whether the first try got no answer.
    """

    host: str
    address: str
    data_centre: str
    workspace: str
    is_retry: bool = False


@final
@attrs.frozen
class Greeting:
    """A request that shows that the data centre of its sender is reached."""

    host: str


QuotaRequest: TypeAlias = TakeTokens | ClaimBucket | Greeting


@final
@attrs.frozen
class TokensGranted:
    """Tokens of a workspace, and the time until there are more.

    Parameters
    ----------
    home
        Name of the host that has the bucket.
    """

    granted_count: int
    retry_after_ms: float
    home: str


@final
@attrs.frozen
class BucketYielded:
    """A host gives up its bucket of a workspace.

    Parameters
    ----------
    level_count
        Tokens in the bucket; None if the host had none.
    is_claiming
        Whether the host does not yield, because it claims the bucket itself.
    """

    level_count: float | None = None
    is_claiming: bool = False


@final
@attrs.frozen
class Greeted:
    """Answer to a greeting."""


QuotaAnswer: TypeAlias = TokensGranted | BucketYielded | Greeted


class QuotaPeers(Protocol):
    """Sends requests about quotas to other hosts."""

    async def ask(
        self, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        """Return the answer of a peer; None without one within the limit."""
