"""Hands on what this host read from the platform's store to other hosts."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.peers.shared_state import SharedState
from mimosapond.peers.shared_state_codec import digest_records

# Longest time that a request waits for the next read; other hosts take a
# longer silence for a failure.
MAX_WAIT_S: Final = 1.7
# Time since the last request of another host for which this host goes on to
# read the store as often as a host that needs the registrations itself.
_ASKED_RETENTION_S: Final = 5.0


@final
class StatePublisher:
    """Answers other hosts when there is something new."""

    def __init__(
        self,
        directory: GroupDirectory,
        contact: SourceContact,
        now: Now,
    ) -> None:
        """Create a publisher of the registrations of ``directory``.

        Parameters
        ----------
        contact
            Says up to when the version of the configuration, which every
            answer names, is known to be current.
        """
        self._directory = directory
        self._contact = contact
        self._now = now
        self._asked_s: float | None = None
        self._changed = asyncio.Event()
        self._digest_read_number = -1
        self._digest = ''
        directory.on_read = self.notify
        # Hosts that rely on this one follow the source themselves then.
        contact.on_outdated = self.notify

    @property
    def is_asked(self) -> bool:
        """Whether other hosts rely on what this host reads."""
        return (
            self._asked_s is not None
            and self._now() - self._asked_s < _ASKED_RETENTION_S
        )

    def notify(self) -> None:
        """Answer the requests that wait, as something was read."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_state(
        self, known_read_number: int, known_digest: str
    ) -> SharedState:
        """Return the state as soon as it is newer than what is known.

        Parameters
        ----------
        known_read_number
            Read number of the last answer; -1 for none.
        known_digest
            Digest of the registrations that the other host has.

        Returns
        -------
        SharedState
            The present state at the latest after ``MAX_WAIT_S``.
        """
        self._asked_s = self._now()
        if known_read_number == self._directory.read_count:
            changed = self._changed
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    await changed.wait()
            except TimeoutError:
                pass  # noqa: WPS420 -- the present state is the answer
        return self._state(known_digest)

    def _state(self, known_digest: str) -> SharedState:
        directory = self._directory
        digest = self._current_digest()
        records = None if digest == known_digest else directory.records
        return SharedState(
            read_number=directory.read_count,
            registrations_read_s=directory.read_s,
            unlisting_wait_s=directory.unlisting_wait_s,
            configuration_answered_s=self._contact.current_s,
            records_digest=digest,
            records=records,
        )

    def _current_digest(self) -> str:
        if self._digest_read_number != self._directory.read_count:
            self._digest_read_number = self._directory.read_count
            self._digest = digest_records(self._directory.records)
        return self._digest
