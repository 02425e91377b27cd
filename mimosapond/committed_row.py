"""A ledger row that is committed at the primary but not acknowledged."""

from typing import final

import attrs

from mimosapond.ledger_row import LedgerRow


@final
@attrs.frozen
class CommittedRow:
    """The row and a log position at or after its commit.

    Attributes
    ----------
    is_replayed
        Whether an earlier attempt committed the row.
    """

    position: int
    row: LedgerRow
    is_replayed: bool = False
