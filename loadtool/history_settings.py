"""Limits of the invariants (design section 1) that checks and runs share."""

from typing import Final

LEAVING_LIMIT_S: Final = 3
DOCUMENT_LIMIT_S: Final = 5
