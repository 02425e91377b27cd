"""One entry of the platform's host list."""

from typing import final

import attrs


@final
@attrs.frozen
class ListedHost:
    """A host or target as the platform lists it, which may be out of date.

    Attributes
    ----------
    state
        ``live`` or ``leaving``.
    """

    host_id: str
    address: str
    data_centre: str
    state: str = 'live'
