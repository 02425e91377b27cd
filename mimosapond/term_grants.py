"""Judges the grants of a term: whether they suffice, and who is to lead."""

from collections.abc import Callable

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.invariant_error import Invariant, InvariantError
from mimosapond.standing import Standing


def is_enough(
    group: GroupSpec,
    known: tuple[Standing, ...],
    needed: frozenset[str],
) -> bool:
    """Return whether a majority is known, and with it the needed members."""
    names = {standing.member for standing in known}
    return needed <= names and len(names) >= group.majority_count


def led_view(known: tuple[Standing, ...], term: int) -> GroupView | None:
    """Return the view of the member that leads a term, if one is known."""
    for standing in known:
        if standing.term == term and standing.is_primary:
            return GroupView(
                group=standing.group,
                term=term,
                primary=standing.member,
                holder=standing.granted_to or '',
            )
    return None


def _log_end(standing: Standing) -> tuple[int, int]:
    return (standing.last_term, standing.position)


def choose_grant(
    grants: tuple[Standing, ...],
    keep: str | None,
    is_leaving: Callable[[str], bool],
) -> Standing:
    """Return the newest member; among equals the one to keep.

    A member to keep that is not the newest was replaced unnoticed, or has not
    caught up, and choosing it would lose acknowledged writes. A member that
    is leaving is chosen only when it is newer than all others.
    """
    return max(
        grants,
        key=lambda grant: (
            _log_end(grant),
            grant.member == keep,
            not is_leaving(grant.member),
            grant.member,
        ),
    )


def verify_promoted(
    promoted: Standing, chosen: Standing, term: int
) -> Standing:
    """Return what a promoted member reported, if it leads with its log.

    Raises
    ------
    InvariantError
        It leads another term or lacks entries that it had.
    """
    is_leading = promoted.is_primary and promoted.term == term
    if not is_leading or _log_end(promoted) < _log_end(chosen):
        raise InvariantError(
            Invariant.NEWEST_PROMOTED,
            promoted=promoted,
            chosen=chosen,
        )
    return promoted
