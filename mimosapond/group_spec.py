"""A database group as a service document declares it."""

from typing import final

import attrs

from mimosapond.member_address import MemberAddress


@final
@attrs.frozen
class GroupSpec:
    """Name and members of one group."""

    name: str
    members: tuple[MemberAddress, ...]

    @property
    def majority_count(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1

    def member(self, name: str) -> MemberAddress | None:
        """Return the member ``name``; None if it is not in the group."""
        for member in self.members:
            if member.name == name:
                return member
        return None
