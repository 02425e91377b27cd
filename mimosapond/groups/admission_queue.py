"""Queue of the requests that wait for admission to one member.

It decides the order only: by priority, in it first the statements of open
transactions, then fairly over workspaces by virtual time. A priority that has
not been served for long is raised, so that none is starved. Entries are few, so
each operation orders all of them.
"""

import collections
from typing import Final, final

import attrs

from mimosapond.groups.admission_request import AdmissionRequest

# A priority is raised by one for each such time in which none of its waiting
# entries was served. Single entries are not raised by their age: those of a
# workspace with a long backlog are old, and would pass those of the others.
_RAISE_AFTER_S: Final = 0.5
# Multiple of the expected time that must be left until the deadline. With less,
# a member whose queue is full serves many statements just after their deadline.
LATENCY_MARGIN: Final = 2.0


@final
@attrs.define(eq=False)
class AdmissionEntry:
    """A waiting request.

    Parameters
    ----------
    expected_s
        Time that the member is expected to take for the statement.
    """

    request: AdmissionRequest
    arrived_s: float
    expected_s: float

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return self.request.statement_class.priority

    def is_too_late(self, now_s: float) -> bool:
        """Return whether the statement could not be answered in time.

        One of an open transaction is tried until its deadline, as its refusal
        costs the caller the whole transaction.
        """
        needed_s = self.expected_s * LATENCY_MARGIN
        if self.request.is_in_transaction:
            needed_s = 0
        return now_s + needed_s > self.request.deadline_s


@final
class AdmissionQueue:
    """Waiting requests of one member, with a bounded number."""

    def __init__(self, max_length_count: int) -> None:
        """Create an empty queue with a bound on its length."""
        self._max_length_count = max_length_count
        # In order of arrival.
        self._entries: dict[AdmissionEntry, None] = {}
        self._virtual_s: float = 0
        # Virtual time up to which a workspace was served. Only what is served
        # counts: a workspace is not set back for requests that were refused.
        self._served_tags: dict[str, float] = {}
        self._priority_served_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def add(self, entry: AdmissionEntry, now_s: float) -> AdmissionEntry | None:
        """Add an entry.

        Returns
        -------
        AdmissionEntry | None
            The entry that has to give way because the queue is full: the last
            one in order, which may be the new one. Statements of open
            transactions do not give way; their number is bounded by that of
            the connections.
        """
        self._entries[entry] = None
        if len(self._entries) <= self._max_length_count:
            return None
        for last in reversed(self._ordered(now_s)):
            if not last.request.is_in_transaction:
                self.remove(last)
                return last
        return None

    def work_ahead_s(self, entry: AdmissionEntry, now_s: float) -> float:
        """Return the expected time of the work that is served before it."""
        ordered = self._ordered(now_s)
        ahead = ordered[: ordered.index(entry)]
        return sum(each.expected_s for each in ahead)

    def remove(self, entry: AdmissionEntry) -> None:
        """Remove an entry whose caller waits no longer."""
        self._entries.pop(entry, None)
        self._forget()

    def pop(
        self, now_s: float, *, only_in_transaction: bool = False
    ) -> AdmissionEntry | None:
        """Remove and return the entry that is served next; None without one.

        Parameters
        ----------
        only_in_transaction
            Consider only statements of open transactions.
        """
        for entry in self._ordered(now_s):
            if entry.request.is_in_transaction or not only_in_transaction:
                self._entries.pop(entry)
                self._record_service(entry, now_s)
                self._forget()
                return entry
        return None

    def pop_too_late(self, now_s: float) -> tuple[AdmissionEntry, ...]:
        """Remove and return the entries that can no longer be served in time."""
        late = tuple(
            entry for entry in self._entries if entry.is_too_late(now_s)
        )
        for entry in late:
            self.remove(entry)
        return late

    def pop_all(self) -> tuple[AdmissionEntry, ...]:
        """Remove and return all entries."""
        entries = tuple(self._entries)
        self._entries.clear()
        self._forget()
        return entries

    def _record_service(self, entry: AdmissionEntry, now_s: float) -> None:
        workspace = entry.request.workspace
        start_tag = self._start_tag(workspace)
        self._virtual_s = start_tag
        self._served_tags[workspace] = start_tag + entry.expected_s
        self._priority_served_s[entry.priority] = now_s

    def _start_tag(self, workspace: str) -> float:
        return max(self._virtual_s, self._served_tags.get(workspace, 0))

    def _forget(self) -> None:
        """Forget the history once nobody waits, as nobody competes then.

        While entries wait, the history holds one number for each workspace
        that was served and is ahead of the others.
        """
        if not self._entries:
            self._served_tags.clear()
            self._priority_served_s.clear()
            self._virtual_s = 0
            return
        for workspace, tag in tuple(self._served_tags.items()):
            if tag < self._virtual_s:
                self._served_tags.pop(workspace)

    def _levels(self, now_s: float) -> dict[int, int]:
        """Return the priority that each priority is raised to."""
        waiting_since_s: dict[int, float] = {}
        for entry in self._entries:
            served_s = self._priority_served_s.get(entry.priority, 0)
            waiting_since_s.setdefault(
                entry.priority, max(entry.arrived_s, served_s)
            )
        return {
            priority: priority - int((now_s - since_s) / _RAISE_AFTER_S)
            for priority, since_s in waiting_since_s.items()
        }

    def _ordered(self, now_s: float) -> list[AdmissionEntry]:
        levels = self._levels(now_s)
        # Sorting is stable, so entries stay in order of arrival otherwise.
        by_priority = sorted(
            self._entries,
            key=lambda entry: (
                levels[entry.priority],
                not entry.request.is_in_transaction,
            ),
        )
        tags: dict[str, float] = collections.defaultdict(float)
        keys: dict[AdmissionEntry, tuple[int, bool, float]] = {}
        for entry in by_priority:
            workspace = entry.request.workspace
            tag = max(tags[workspace], self._start_tag(workspace))
            tags[workspace] = tag + entry.expected_s
            keys[entry] = (
                levels[entry.priority],
                not entry.request.is_in_transaction,
                tag,
            )
        return sorted(by_priority, key=keys.__getitem__)
