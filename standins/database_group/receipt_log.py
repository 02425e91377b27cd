"""Record of the callers' requests that reached the members of a group."""

import collections
import time
from collections.abc import Iterable
from typing import Any, Final, final

import attrs

from mimosapond.clock import MS_PER_S


@final
@attrs.frozen
class Receipt:
    """A request that reached a member.

    Attributes
    ----------
    draining_ms
        Time since the store accepted that the member drains; 0 if it does not.
    """

    request_id: str
    member_id: str
    draining_ms: float
    at_ms: int = attrs.field(factory=lambda: int(time.time() * MS_PER_S))


@final
class ReceiptLog:
    """Receipts by request id, and those that came too late in a drain."""

    def __init__(self, drain_ms: float) -> None:
        """Create an empty record.

        Parameters
        ----------
        drain_ms
            Time after which new work must not reach a draining member.
        """
        self._drain_ms = drain_ms
        self._receipts: Final[dict[str, list[Receipt]]] = (
            collections.defaultdict(list)
        )
        self._late: Final[list[Receipt]] = []

    def add(self, receipt: Receipt, *, is_new_work: bool) -> None:
        """Record a receipt.

        Parameters
        ----------
        is_new_work
            Whether it is a single statement or the first of a transaction.
        """
        self._receipts[receipt.request_id].append(receipt)
        if is_new_work and receipt.draining_ms > self._drain_ms:
            self._late.append(receipt)

    def find(self, request_ids: Iterable[str]) -> list[dict[str, Any]]:
        """Return the receipts of some requests."""
        return [
            attrs.asdict(receipt)
            for request_id in request_ids
            for receipt in self._receipts.get(request_id, ())
        ]

    def late(self) -> list[dict[str, Any]]:
        """Return the receipts that came later than ``drain_ms`` allows."""
        return [attrs.asdict(receipt) for receipt in self._late]
