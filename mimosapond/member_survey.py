"""Asks all members of a group at once and stops at a sufficient answer."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeAlias

from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult

Answers: TypeAlias = Mapping[str, ControlResult]
LateCall: TypeAlias = asyncio.Task[ControlResult]


async def survey(
    calls: Mapping[str, Coroutine[Any, Any, ControlResult]],
    is_enough: Callable[[Answers], bool],
    late_calls: set[LateCall] | None = None,
) -> dict[str, ControlResult]:
    """Run ``calls`` (by member name) together.

    Calls that have not answered when ``is_enough`` holds are cancelled, so a
    silent member does not delay a decision that the others allow. Where late
    calls shall still take effect, they go on in ``late_calls``.
    """
    names = {asyncio.create_task(call): name for name, call in calls.items()}
    answers: dict[str, ControlResult] = {}
    pending = set(names)
    try:
        while pending and not is_enough(answers):
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers.update((names[task], task.result()) for task in done)
    finally:
        _leave(pending, late_calls)
    return answers


def standings(answers: Answers) -> tuple[Standing, ...]:
    """Return the standings among ``answers``."""
    return tuple(
        answer for answer in answers.values() if isinstance(answer, Standing)
    )


def _leave(
    pending: set[LateCall],
    late_calls: set[LateCall] | None,
) -> None:
    for task in pending:
        if late_calls is None:
            task.cancel()
            continue
        late_calls.add(task)
        task.add_done_callback(late_calls.discard)
