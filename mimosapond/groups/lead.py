"""How the lead of a primary began."""

from typing import Final, final

import attrs

from mimosapond.groups.log_position import LogPosition

# Term of a lead that nobody has seen.
UNKNOWN_TERM: Final = 0


@final
@attrs.frozen
class Lead:
    """A change of primary, or the first sight of a primary.

    Parameters
    ----------
    member_id
        The member that leads, or was about to.
    begin
        Position of its log with which the lead began, or a later one.
    newest_term
        Newest term that may have begun before; the lead has a newer one. For a
        primary that was only seen to lead, the term of ``begin``.
    term
        Term of the lead; ``UNKNOWN_TERM`` until its member was seen to lead.
    """

    member_id: str
    begin: LogPosition
    newest_term: int
    term: int = UNKNOWN_TERM

    @property
    def latest_term(self) -> int:
        """The latest term that the lead may have."""
        return self.term or self.newest_term + 1

    def began_in(self, term: int) -> 'Lead':
        """Return the lead once its term is known."""
        newest_term = max(term - 1, self.begin.term)
        return attrs.evolve(self, newest_term=newest_term, term=term)

    def of(self, member_id: str, term: int) -> 'Lead':
        """Return the lead of a primary that leads on in place of this one.

        This one cannot begin. Its member was chosen with all that the lead of
        the primary began with.

        Parameters
        ----------
        term
            Term in which the primary leads.
        """
        return attrs.evolve(self, member_id=member_id).began_in(term)

    def is_in_log(self, received: LogPosition) -> bool:
        """Return whether a log up to a position is certain to have the begin.

        It is if both positions are of one term, or if the log has a commit of
        the lead or of a later one.
        """
        return received.includes(self.begin) or received.term > self.newest_term
