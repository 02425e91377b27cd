"""The commits of a group that this host acknowledged last.

A line for each commit would cost processor time on every commit. The record
stays in memory, and one line has it when the primary of the group changes.
"""

from collections import deque
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_log import process_label
from mimosapond.groups.member_process import MemberProcess

# Bounds the log line to about 1 kB. A change of primary can lose only the last
# commits before it.
_KEPT_COUNT: Final = 64
_MS_PER_S: Final = 1000
_NO_WITNESS: Final = 'none'


@final
@attrs.frozen
class _Acknowledgement:
    """A commit that was acknowledged to a caller."""

    position: LogPosition
    primary: MemberProcess
    witness: MemberProcess | None
    time_s: float


@final
class AcknowledgementRecord:
    """Keeps the last acknowledgements until the primary changes."""

    def __init__(self, now: Now) -> None:
        """Create an empty record; the clock gives the age of each entry."""
        self._now = now
        self._entries: deque[_Acknowledgement] = deque(maxlen=_KEPT_COUNT)

    def add(
        self,
        position: LogPosition,
        primary: MemberProcess,
        witness: MemberProcess | None,
    ) -> None:
        """Add a commit that is acknowledged now; the oldest may be dropped.

        Parameters
        ----------
        position
            Position of the log of the primary after the commit.
        primary
            The process that made the commit.
        witness
            The process that was seen to have it; None in a group whose members
            acknowledge without a replica.
        """
        self._entries.append(
            _Acknowledgement(position, primary, witness, self._now())
        )

    def log_before_change(self, group: str, primary_id: str) -> None:
        """Log the commits that were acknowledged under the former primary.

        Nothing is logged without commits. The record is empty afterwards, so
        that each commit is logged once.

        Parameters
        ----------
        primary_id
            Id of the member that leads now.
        """
        if not self._entries:
            return
        logger.bind(
            group=group,
            member=primary_id,
            count=len(self._entries),
            commits=self._texts(),
        ).info('acknowledged_before_change')
        self._entries.clear()

    def _texts(self) -> dict[str, list[str]]:
        """Return position and age in ms, by primary and witness."""
        now_s = self._now()
        texts: dict[str, list[str]] = {}
        for entry in self._entries:
            age_ms = (now_s - entry.time_s) * _MS_PER_S
            texts.setdefault(_path(entry), []).append(
                f'{entry.position} {age_ms:.0f}'
            )
        return texts


def _path(entry: _Acknowledgement) -> str:
    """Return the way of a commit, from its primary to its witness."""
    witness = process_label(entry.witness) if entry.witness else _NO_WITNESS
    return f'{process_label(entry.primary)}>{witness}'
