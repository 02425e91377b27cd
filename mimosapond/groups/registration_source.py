"""Where the registrations of members come from."""

from typing import Protocol, final

import attrs

from mimosapond.groups.member_record import MemberRecord


@final
@attrs.frozen
class Registrations:
    """All members that are registered at one moment."""

    records: tuple[MemberRecord, ...]


@final
@attrs.frozen
class RegistrationsUnavailable:
    """The registry did not answer."""

    reason: str


class RegistrationSource(Protocol):
    """Reads registrations."""

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the members that are registered now."""
