"""A request that ends the pause of a replica."""

from typing import Final, final

import attrs

from mimosapond.groups.member_process import MemberProcess

# Time after which a request that got no answer is not carried out any more. It
# covers the claim under which the request was sent.
RESUME_LIFETIME_MS: Final = 25_000


@final
@attrs.frozen
class ResumeRequest:
    """A request to resume that may still be carried out.

    It has no token, so it ends any pause, also one under a newer claim.

    Parameters
    ----------
    process
        The paused process.
    recorded_ms
        Time of the store at which it was recorded, before it was sent.
    """

    process: MemberProcess
    recorded_ms: int

    def may_take_effect(self, now_ms: int) -> bool:
        """Return whether it may still be carried out at a time of the store."""
        return now_ms - self.recorded_ms <= RESUME_LIFETIME_MS
