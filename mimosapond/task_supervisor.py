"""Runs long-lived tasks, and starts them again after an unexpected error."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias, final

from loguru import logger

_Work: TypeAlias = Callable[[], Coroutine[Any, Any, None]]

_MIN_BACK_OFF_S: Final = 0.1
_MAX_BACK_OFF_S: Final = 5.0


@final
class TaskSupervisor:
    """Keeps tasks running, each under a name.

    Without it, one unexpected error would end a task unnoticed, and the host
    would go on with members or routes that no longer change.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def is_started(self, name: str) -> bool:
        """Return whether a task of this name was started."""
        return name in self._tasks

    def start(self, name: str, work: _Work) -> None:
        """Run ``work`` in a task, again after each error, until cancelled."""
        self._tasks[name] = asyncio.create_task(
            _keep_running(name, work), name=name
        )


async def _keep_running(name: str, work: _Work) -> None:
    back_off_s = _MIN_BACK_OFF_S
    while True:
        started_s = time.monotonic()
        try:
            await work()
        except Exception:  # noqa: BLE001 -- logged, and the work goes on
            logger.bind(task=name).exception('task_failed')
        else:
            return
        if time.monotonic() - started_s > _MAX_BACK_OFF_S:
            back_off_s = _MIN_BACK_OFF_S
        await asyncio.sleep(back_off_s)
        back_off_s = min(back_off_s * 2, _MAX_BACK_OFF_S)
