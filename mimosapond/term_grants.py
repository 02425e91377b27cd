"""Rules for the grants of a term: quorum and choice of the new primary."""

from collections.abc import Callable

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.invariant_error import Invariant, InvariantError
from mimosapond.standing import Standing


def has_quorum(
    group: GroupSpec,
    known: tuple[Standing, ...],
    needed: frozenset[str],
) -> bool:
    """Return whether ``known`` covers a majority and all needed members.

    Parameters
    ----------
    group
        The group with its members.
    known
        Standings of the members that answered, or that granted the term.
    needed
        Names of members that have to be among them.
    """
    names = {standing.member for standing in known}
    return needed <= names and len(names) >= group.majority_count


def view_of_primary(known: tuple[Standing, ...], term: int) -> GroupView | None:
    """Return the view of the member that leads ``term``; None if none does."""
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
    """Return the grant of the member with the newest log.

    Among equally new members the member to keep comes first, then members that
    are not leaving. If the member to keep is not the newest, it was replaced
    unnoticed or has not caught up, and promoting it would lose acknowledged
    writes. A member that is leaving is chosen only if it is newer than all
    others or is the member to keep.

    Parameters
    ----------
    grants
        Standings of the members that granted the term; at least one.
    keep
        Name of the member to prefer, or None.
    is_leaving
        Tells for the name of a member whether it is leaving.
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
    """Return ``promoted`` if the member leads ``term`` with its whole log.

    Parameters
    ----------
    promoted
        Standing that the member reported after its promotion.
    chosen
        Standing of the same member before its promotion.
    term
        Term that it was promoted for.

    Raises
    ------
    InvariantError
        The member leads another term, or lacks log entries that it had
        before.
    """
    is_leading = promoted.is_primary and promoted.term == term
    if not is_leading or _log_end(promoted) < _log_end(chosen):
        raise InvariantError(
            Invariant.NEWEST_PROMOTED,
            promoted=promoted,
            chosen=chosen,
        )
    return promoted
