"""One connection that the fault proxy forwards."""

import asyncio
import socket
import struct
from typing import Final, TypeAlias, final

from mimosapond.clock import MS_PER_S
from standins.fault_proxy_direction import ProxyDirection
from standins.fault_proxy_faults import LinkFaults
from standins.forwarded_bytes import ForwardedBytes

# SO_LINGER with a timeout of 0 makes close send a TCP reset.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
Side: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once with a TCP reset."""
    if writer.transport.is_closing():
        return
    tcp_socket: socket.socket = writer.get_extra_info('socket')
    tcp_socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        _RESET_ON_CLOSE,
    )
    writer.transport.abort()


@final
class ProxyConnection:
    """Both directions of one connection under the current faults."""

    def __init__(
        self,
        client: Side,
        target: Side,
        faults: LinkFaults,
        forwarded: ForwardedBytes,
    ) -> None:
        """Store the streams to the client and to the target."""
        self._writers = (client[1], target[1])
        self._to_target = ProxyDirection(
            client[0],
            target[1],
            forwarded.add_to_target,
        )
        self._to_client = ProxyDirection(
            target[0],
            client[1],
            forwarded.add_to_client,
        )
        self._is_silent = False
        self.apply_faults(faults)

    async def run(self) -> None:
        """Copy until one side closes, then close the other.

        A silent connection ends only when both sides have closed, as neither
        bytes nor the close of one side reach the other.
        """
        copies = [
            asyncio.create_task(direction.run())
            for direction in (self._to_target, self._to_client)
        ]
        try:
            await self._wait_for_end(copies)
        finally:
            for copy in copies:
                copy.cancel()
            self._close()

    def apply_faults(self, faults: LinkFaults) -> None:
        """Apply all faults except the reset of a cut, which is separate."""
        for direction in (self._to_target, self._to_client):
            direction.delay_s = faults.delay_ms / MS_PER_S
        self._to_target.set_held(is_held=faults.cut_to_target)
        self._to_client.set_held(is_held=faults.cut_to_client)
        self._to_client.limit_bytes = faults.truncate_after_bytes or None

    def silence(self) -> None:
        """Drop all further bytes in both directions, permanently."""
        self._is_silent = True
        self._to_target.is_silent = True
        self._to_client.is_silent = True

    def drop_target(self) -> None:
        """Reset the target's side without informing the client."""
        self.silence()
        reset(self._writers[1])

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            reset(writer)

    async def _wait_for_end(self, copies: list[asyncio.Task[None]]) -> None:
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        if self._is_silent:
            await asyncio.wait(copies)

    def _close(self) -> None:
        for writer in self._writers:
            writer.close()
