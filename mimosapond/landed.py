"""A ledger row that a target committed, not yet acknowledged."""

from typing import final

import attrs

from mimosapond.ledger_row import LedgerRow


@final
@attrs.frozen
class Landed:
    """Row and a log position at or after its commit.

    Attributes
    ----------
    is_replayed
        True when an earlier try committed the row.
    """

    position: int
    row: LedgerRow
    is_replayed: bool = False
