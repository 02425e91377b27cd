"""Lets every host write at the newest known term, for the baseline policy.

One host per group still acquires the terms. All hosts then send the term with
their writes, and confirm it at the members as the holder does.
"""

import asyncio
from collections.abc import Mapping
from typing import Any, final

from mimosapond import codec
from mimosapond.age_trackers import AgeTrackers
from mimosapond.clock import MS_PER_S
from mimosapond.direct_pools import DirectPools
from mimosapond.document_store import DocumentStore
from mimosapond.floor import Floor
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.held_term import HeldTerm
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts


@final
class DirectTerms:
    """Local holders, one for the newest view of each group."""

    def __init__(
        self,
        parts: TermParts,
        store: DocumentStore,
        views: GroupViews,
        members: DirectPools,
        ages: AgeTrackers,
    ) -> None:
        """Start without holders."""
        self._parts = parts
        self._store = store
        self._views = views
        self._members = members
        self._ages = ages
        self._holders: dict[str, TermHolder] = {}

    def holder(self, group_name: str) -> TermHolder | None:
        """Return the open holder of the newest known term."""
        view = self._views.get(group_name)
        if view is None:
            return None
        known = self._holders.get(group_name)
        if known is None or known.view.term < view.term:
            if known is not None:
                known.close()
            known = self._build(view)
        if known is None or known.is_closed:
            return None
        return known

    async def floor(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return the primary's position as the floor of any session.

        No host knows the writes that a session made through other hosts, so
        only the newest entry is certain to include them.
        """
        holder = self.holder(body['group'])
        deadline_s = self._parts.deadline_after(body['timeout_ms'])
        beacon = None if holder is None else await holder.beacon(deadline_s)
        if beacon is None:
            raise RejectedCallError('not_holder', 'no term is confirmed')
        return codec.encode(Floor(beacon.view.term, beacon.position))

    async def run(self) -> None:
        """Update the data age of all groups, since every host reads them."""
        interval_s = self._parts.options.beacon_interval_ms / MS_PER_S
        while True:
            groups = [view.group for view in self._views.all()]
            await asyncio.gather(*map(self.refresh, groups))
            await self._parts.clock.sleep(interval_s)

    async def refresh(self, group_name: str) -> None:
        """Update the data age of one group."""
        holder = self.holder(group_name)
        if holder is None:
            return
        asked_s = self._parts.clock.monotonic_s()
        beacon = await holder.beacon(asked_s + self._parts.check_timeout_s)
        if beacon is not None:
            self._ages.tracker(group_name).note(asked_s, beacon)

    def _build(self, view: GroupView) -> TermHolder | None:
        group = self._store.group(view.group)
        if group is None:
            return None
        for member in group.members:
            if member.name == view.primary:
                slots = self._members.ensure(member)
                held = HeldTerm(self._parts, group, view, 0, slots)
                self._holders[view.group] = TermHolder(held)
        return self._holders.get(view.group)
