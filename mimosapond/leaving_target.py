"""A target that gets no new work."""

from typing import final

import attrs


@final
@attrs.frozen
class LeavingTarget:
    """Name of a member that is leaving."""

    name: str
