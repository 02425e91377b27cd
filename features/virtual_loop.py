"""Event loop whose time passes without waiting, for tests without sockets."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar, final

_Result = TypeVar('_Result')


@final
class _SkippingSelector(selectors.SelectSelector):
    """Advances a clock in the place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, after the clock was advanced."""
        self.now_s += timeout or 0
        return super().select(0)


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, each as soon as nothing else is to be done."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.now_s


def run_virtually(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in a virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
