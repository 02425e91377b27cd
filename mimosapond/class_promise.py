"""What a service promises for one work class."""

from typing import final

import attrs

from mimosapond.work_class import WorkClass


@final
@attrs.frozen
class ClassPromise:
    """Defaults for requests that don't state their own limits.

    Attributes
    ----------
    work_class
        The class these values apply to.
    deadline_ms
        Longest time a request may take.
    max_age_ms
        Oldest data that a read may return.
    """

    work_class: WorkClass
    deadline_ms: int
    max_age_ms: int
