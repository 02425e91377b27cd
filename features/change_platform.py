"""The platform of a group in memory: its store, and its promotions."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from features.change_group import ChangeGroup
from mimosapond.failover.promotion_port import (
    Promoted,
    PromotionOutcome,
    PromotionRefused,
    PromotionUnknown,
)
from mimosapond.groups.registration_source import (
    Registrations,
    RegistrationsUnavailable,
)
from mimosapond.platform.store_rows import (
    ConditionFailed,
    StoredRow,
    StoredRows,
    Unavailable,
)

_MS_PER_S: Final = 1000
_STORE_S: Final = 0.003
_CALL_S: Final = 0.005
# Versions of the store are fencing tokens, and so have to exceed all terms.
_FIRST_VERSION: Final = 1000
# Time until an accepted promotion takes effect.
_EFFECTS_S: Final = (0.1, 0.3, 1.0)
# Share of the promotion calls without an answer, and the time until these are
# carried out; the last time stands for never.
_UNANSWERED_RATIO: Final = 0.2
_MANY_UNANSWERED_RATIO: Final = 0.85
_NEVER_S: Final = 1e9
_LATE_S: Final = (0, 2, 5, 12, _NEVER_S)


@final
class ChangeStore:
    """Rows that all hosts share; some hosts may get no answers."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Create a store without rows."""
        self._now = now
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._version = _FIRST_VERSION
        self.silent_hosts: set[str] = set()

    def read(self, table: str, row_key: str) -> StoredRows:
        """Return a row, if it exists."""
        row = self._rows.get((table, row_key))
        return self._answer(() if row is None else (row,))

    def write(self, table: str, row: StoredRow) -> StoredRows | ConditionFailed:
        """Write a row if it has the version."""
        known = self._rows.get((table, row.key))
        known_version = 0 if known is None else known.version
        if row.version != known_version:
            return ConditionFailed()
        self._version += 1
        self._rows[table, row.key] = StoredRow(
            row.key, row.content, self._version
        )
        return self._answer(())

    def _answer(self, rows: tuple[StoredRow, ...]) -> StoredRows:
        return StoredRows(rows, self._version, round(self._now() * _MS_PER_S))


@final
class HostStore:
    """The store as one host reaches it.

    It has the methods of ``StoreClient`` that claims use, and is a
    ``RegistrationSource``.
    """

    def __init__(
        self, store: ChangeStore, group: ChangeGroup, host: str
    ) -> None:
        """Call a store in the name of a host."""
        self._store = store
        self._group = group
        self._host = host

    async def read_row(
        self, table: str, row_key: str, limit_s: float
    ) -> StoredRows | Unavailable:
        """Return one row of a table."""
        await asyncio.sleep(_STORE_S)
        if self._is_silent:
            await asyncio.sleep(limit_s)
            return Unavailable('no answer')
        return self._store.read(table, row_key)

    async def compare_and_set(
        self, table: str, row: StoredRow, limit_s: float
    ) -> StoredRows | ConditionFailed | Unavailable:
        """Write a row if its stored version is still ``row.version``."""
        await asyncio.sleep(_STORE_S)
        if self._is_silent:
            await asyncio.sleep(limit_s)
            return Unavailable('no answer')
        return self._store.write(table, row)

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the registered members."""
        await asyncio.sleep(_STORE_S)
        if self._is_silent:
            await asyncio.sleep(limit_s)
            return RegistrationsUnavailable('no answer')
        return Registrations(self._group.records)

    @property
    def _is_silent(self) -> bool:
        return self._host in self._store.silent_hosts


@final
class ChangePromotions:
    """Promotions of the platform; see ``PromotionPort``.

    Attributes
    ----------
    pending_ids
        Members whose promotion was accepted and has not taken effect.
    called_ids
        Members whose promotion is carried out later.
    is_silent
        Whether no call gets an answer.
    """

    def __init__(
        self,
        group: ChangeGroup,
        draws: random.Random,
        *,
        are_late: bool,
        are_lost: bool,
    ) -> None:
        """Promote members of a group.

        Parameters
        ----------
        are_late
            Whether promotions take effect some time after the call, and calls
            without an answer may be carried out later.
        are_lost
            Whether most calls get no answer.
        """
        self._group = group
        self._draws = draws
        self._are_late = are_late
        self._unanswered_ratio = _unanswered_ratio(are_late, are_lost)
        self._newest_token = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.pending_ids: list[str] = []
        self.called_ids: list[str] = []
        self.is_silent = False

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make the member the primary some time later."""
        await asyncio.sleep(_CALL_S)
        is_lost = (
            self._unanswered_ratio > 0
            and self._draws.random() < self._unanswered_ratio
        )
        if self.is_silent or is_lost:
            late_s = self._draws.choice(_LATE_S)
            self._group.note(f'call for {member_id}, {token}, lost: {late_s}')
            self._start(late_s, member_id, token)
            await asyncio.sleep(limit_s)
            return PromotionUnknown('no answer')
        return self._accept(member_id, token)

    def _start(self, late_s: float, member_id: str, token: int) -> None:
        if late_s != _NEVER_S:
            self._tasks.add(
                asyncio.create_task(self._carry_out(late_s, member_id, token))
            )

    async def _carry_out(
        self, late_s: float, member_id: str, token: int
    ) -> None:
        self.called_ids.append(member_id)
        await asyncio.sleep(late_s)
        self.called_ids.remove(member_id)
        self._accept(member_id, token)

    def _accept(self, member_id: str, token: int) -> PromotionOutcome:
        """Check the fence and the member, and let it lead later."""
        process = self._group.processes[member_id]
        is_fenced = token < self._newest_token
        self._newest_token = max(token, self._newest_token)
        if is_fenced or not process.is_running:
            self._group.note(f'call for {member_id}, {token}, is refused')
            return PromotionRefused('409')
        self._group.note(f'call for {member_id}, {token}, is accepted')
        if process.is_primary:
            return Promoted()
        self.pending_ids.append(member_id)
        self._tasks.add(asyncio.create_task(self._take_effect(member_id)))
        return Promoted()

    async def _take_effect(self, member_id: str) -> None:
        called_s = asyncio.get_running_loop().time()
        if self._are_late:
            await asyncio.sleep(self._draws.choice(_EFFECTS_S))
        self.pending_ids.remove(member_id)
        self._group.lead(member_id, called_s)


def _unanswered_ratio(are_late: bool, are_lost: bool) -> float:
    if are_lost:
        return _MANY_UNANSWERED_RATIO
    return _UNANSWERED_RATIO if are_late else 0
