"""One child process of a test or a demo."""

import asyncio
import contextlib
import ctypes
import os
import pathlib
import signal
import sys
from collections.abc import Mapping, Sequence
from typing import Final, Self, final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

# Option of prctl on Linux: signal sent to a process when its parent ends.
_PARENT_DEATH_SIGNAL: Final = 1
# Flag of personality on Linux: disables address space randomization.
_ADDR_NO_RANDOMIZE: Final = 1 << 18
_LIBC: Final = ctypes.CDLL(None)
_POLL_INTERVAL_S: Final = 0.05
_POLL_TIMEOUT_S: Final = 1.0
_OUTPUT_TAIL_BYTES: Final = 2000


def _kill_with_parent() -> None:
    _LIBC.prctl(_PARENT_DEATH_SIGNAL, signal.SIGKILL)


def _prepare_platform_host() -> None:
    _kill_with_parent()
    _LIBC.personality(_ADDR_NO_RANDOMIZE)


async def _answers(url: str) -> bool:
    client = AsyncHTTPClient()
    try:
        # Any status shows that the process listens.
        await client.fetch(
            url,
            raise_error=False,
            request_timeout=_POLL_TIMEOUT_S,
        )
    except (OSError, HTTPClientError):
        return False
    return True


@final
class ChildProcess:
    """A Python module that runs as a child process until it is stopped."""

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
        output: pathlib.Path,
    ) -> None:
        """Wrap a running process; use ``start`` to create one."""
        self.name: Final = name
        self.output: Final = output
        self._process = process

    @classmethod
    async def start(
        cls,
        name: str,
        module: str,
        arguments: Sequence[str],
        folder: pathlib.Path,
        platform_variables: Mapping[str, str] | None = None,
    ) -> Self:
        """Start ``python -m module`` with its output in ``folder/NAME.log``.

        Parameters
        ----------
        platform_variables
            Environment variables to add, for hosts of the users' platform. If
            given, address space randomization is disabled, as on that
            platform.
        """
        output = folder / f'{name}.log'
        with output.open('ab') as sink:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                preexec_fn=(
                    _prepare_platform_host
                    if platform_variables
                    else _kill_with_parent
                ),
                env={**os.environ, **(platform_variables or {})},
            )
        return cls(name, process, output)

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._process.returncode

    @property
    def process_id(self) -> int:
        """Id of the process."""
        return self._process.pid

    async def wait_ready(self, url: str, timeout_s: float) -> None:
        """Poll ``url`` until it answers with any status.

        Raises
        ------
        RuntimeError
            If the process ends first or the timeout expires; the message
            contains the end of the output.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._poll(url)
        except TimeoutError as error:
            raise self._failure(f'not ready after {timeout_s} s') from error

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs.

        ``Process.send_signal`` polls the process first. That would consume
        the exit code, and asyncio would report 255 instead.
        """
        if self.exit_code is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def pause(self) -> None:
        """Suspend the process until ``resume``."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process without letting it clean up."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self, timeout_s: float) -> int:
        """Terminate the process, and kill it after ``timeout_s``.

        Returns
        -------
        int
            Exit code; a negative value is the negated number of the signal
            that ended the process.
        """
        self.send_signal(signal.SIGTERM)
        self.resume()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            await self.kill()
        return await self._process.wait()

    async def _poll(self, url: str) -> None:
        while not await _answers(url):
            if self.exit_code is not None:
                raise self._failure(f'ended with {self.exit_code}')
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _failure(self, problem: str) -> RuntimeError:
        tail = self.output.read_bytes()[-_OUTPUT_TAIL_BYTES:].decode(
            errors='replace'
        )
        return RuntimeError(f'{self.name}: {problem}\n{tail}')
