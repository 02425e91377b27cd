"""One row of the platform's table service."""

from typing import Any, final

import attrs


@final
@attrs.frozen
class PlatformRow:
    """A stored row; revision 0 and no value stand for a missing row."""

    key: str
    revision: int = 0
    value: Any = None
