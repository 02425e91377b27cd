"""Limits that a service promises for the requests of one work class."""

from typing import final

import attrs

from mimosapond.work_class import WorkClass


@final
@attrs.frozen
class ClassPromise:
    """Defaults for requests that do not set their own limits.

    Attributes
    ----------
    work_class
        Work class that the limits apply to.
    deadline_ms
        Time within which a request must be answered.
    max_age_ms
        Maximum age of the data that a read may return; 0 sends all reads to
        the primary.
    """

    work_class: WorkClass
    deadline_ms: int
    max_age_ms: int
