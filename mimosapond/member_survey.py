"""Asks all members of a group at once, until the answers are sufficient."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeAlias

from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult

Answers: TypeAlias = Mapping[str, ControlResult]
LateCall: TypeAlias = asyncio.Task[ControlResult]


async def survey(
    calls: Mapping[str, Coroutine[Any, Any, ControlResult]],
    is_sufficient: Callable[[Answers], bool],
    late_calls: set[LateCall] | None = None,
) -> dict[str, ControlResult]:
    """Run ``calls`` concurrently until their answers are sufficient.

    An unreachable member thus does not delay a decision that the answers of the
    other members allow.

    Parameters
    ----------
    calls
        Calls to the members, by member name.
    is_sufficient
        Tells whether the answers so far suffice.
    late_calls
        Set that the unfinished calls are added to. They continue in the
        background, so that they still take effect, and are removed from the
        set when they end. With None, unfinished calls are cancelled.

    Returns
    -------
    dict of str to ControlResult
        Answers by member name, without those of unfinished calls.
    """
    names_by_task = {
        asyncio.create_task(call): name for name, call in calls.items()
    }
    answers: dict[str, ControlResult] = {}
    pending = set(names_by_task)
    try:
        while pending and not is_sufficient(answers):
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers.update(
                (names_by_task[task], task.result()) for task in done
            )
    finally:
        _stop_waiting(pending, late_calls)
    return answers


def standings(answers: Answers) -> tuple[Standing, ...]:
    """Return the standings in ``answers``, without rejections and timeouts."""
    return tuple(
        answer for answer in answers.values() if isinstance(answer, Standing)
    )


def _stop_waiting(
    pending: set[LateCall],
    late_calls: set[LateCall] | None,
) -> None:
    for task in pending:
        if late_calls is None:
            task.cancel()
            continue
        late_calls.add(task)
        task.add_done_callback(late_calls.discard)
