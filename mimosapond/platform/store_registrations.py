"""Reads the registrations of members in the platform's store."""

from typing import Final, final

from loguru import logger

from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.registration_source import (
    Registrations,
    RegistrationsUnavailable,
)
from mimosapond.platform.registration_codec import decode_registration
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_rows import (
    StoredRow,
    Unavailable,
)

_TABLE: Final = 'servers'


@final
class StoreRegistrations:
    """Source of registrations; implements ``RegistrationSource``."""

    def __init__(self, store: StoreClient) -> None:
        """Create a source that reads from ``store``."""
        self._store = store
        # Last logged problem by member id, so that it is logged only once.
        self._logged_problems: dict[str, str] = {}

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the members that are registered now.

        Entries that cannot be decoded are logged and left out.
        """
        found = await self._store.read_table(_TABLE, limit_s)
        if isinstance(found, Unavailable):
            return RegistrationsUnavailable(found.reason)
        decoded = [self._decode(row) for row in found.rows]
        return Registrations(
            tuple(record for record in decoded if record is not None),
        )

    def _decode(self, row: StoredRow) -> MemberRecord | None:
        decoded = decode_registration(row.key, row.content or b'')
        if isinstance(decoded, MemberRecord):
            return decoded
        if self._logged_problems.get(row.key) != decoded:
            self._logged_problems[row.key] = decoded
            logger.bind(member=row.key, problem=decoded).warning(
                'registration_unreadable',
            )
        return None
