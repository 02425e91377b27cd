"""Interface of the registry of members."""

from typing import Protocol, final

import attrs

from mimosapond.groups.member_record import MemberRecord


@final
@attrs.frozen
class Registrations:
    """All members that are registered at one point in time."""

    records: tuple[MemberRecord, ...]


@final
@attrs.frozen
class RegistrationsUnavailable:
    """The registry did not answer."""

    reason: str


class RegistrationSource(Protocol):
    """Reads the registrations of members."""

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the members that are registered now, within ``limit_s``."""
