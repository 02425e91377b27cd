"""Builds the holder of a term that this host acquired."""

from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.held_term import HeldTerm
from mimosapond.member_address import MemberAddress
from mimosapond.slot_source import SlotSources
from mimosapond.standing import Standing
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry


@final
class HolderInstaller:
    """Creates holders with the primary's queue and registers them."""

    def __init__(
        self,
        parts: TermParts,
        slots: SlotSources,
        registry: TermRegistry,
    ) -> None:
        """Create holders that are registered in ``registry``."""
        self._parts = parts
        self._slots = slots
        self._registry = registry

    def install(
        self,
        group: GroupSpec,
        view: GroupView,
        primary: MemberAddress,
        standing: Standing,
    ) -> TermHolder:
        """Create and register the holder of a term.

        Parameters
        ----------
        primary
            Member that leads the term.
        standing
            State that the primary reported when it was promoted.
        """
        first_positions = dict(standing.history)
        held = HeldTerm(
            self._parts,
            group,
            view,
            first_positions.get(view.term, standing.position),
            self._slots.ensure(primary),
        )
        holder = TermHolder(held)
        self._registry.install(holder)
        return holder
