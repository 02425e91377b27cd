"""One entry of the platform's host list."""

from typing import final

import attrs


@final
@attrs.frozen
class ListedHost:
    """A host as the platform lists it; the list lags behind reality.

    Attributes
    ----------
    state
        ``live`` or ``leaving``.
    """

    host_id: str
    address: str
    data_centre: str
    state: str = 'live'
