"""Builders of test data."""

from mimosapond.standing import PRIMARY_ROLE, Standing


def build_standing(
    history: tuple[tuple[int, int], ...] = ((1, 1),),
    position: int = 1,
    role: str = PRIMARY_ROLE,
    member: str = 'forge-a-1',
) -> Standing:
    """Build a standing whose whole log is matched."""
    return Standing(
        member=member,
        group='forge-a',
        role=role,
        term=history[-1][0],
        granted_to=None,
        position=position,
        last_term=history[-1][0],
        matched_position=position,
        history=history,
    )
