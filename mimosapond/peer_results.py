"""Results of calls to a peer host."""

import dataclasses
from collections.abc import Mapping
from typing import Any, TypeAlias, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """The peer processed the call and answered with a JSON object."""

    body: Mapping[str, Any]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerRejected:
    """The peer refused the call, which had no effect.

    Attributes
    ----------
    reason
        Machine-readable reason.
    message
        Explanation in plain English.
    body
        The whole rejection, including fields of the operation.
    """

    reason: str
    message: str
    body: Mapping[str, Any]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """The peer did not answer.

    Attributes
    ----------
    problem
        Why there is no answer, for the log.
    sent
        Whether the call may have been sent, and so may have had its effect.
    """

    problem: str
    sent: bool


PeerResult: TypeAlias = PeerAnswered | PeerRejected | PeerUnavailable
