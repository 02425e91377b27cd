"""Results of calls to a peer host."""

import dataclasses
from collections.abc import Mapping
from typing import Any, TypeAlias, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """The peer answered with a JSON object."""

    body: Mapping[str, Any]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerRejected:
    """The peer refused the call and it had no effect.

    Attributes
    ----------
    reason
        Fixed word.
    message
        For people.
    body
        The whole rejection, with operation specific fields.
    """

    reason: str
    message: str
    body: Mapping[str, Any]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """No answer; the call may have had its effect if it was sent."""

    problem: str
    sent: bool


PeerResult: TypeAlias = PeerAnswered | PeerRejected | PeerUnavailable
