"""A member in the platform's wire protocol with scripted answers."""

from typing import Final, final

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

_LINE_END: Final = b'\r\n'


@final
class ScriptedMember(TCPServer):
    """Sends the entries of a script, one in answer to each received line.

    A script entry is the text to send, with ``/`` for each line end, or
    ``close`` to close the connection.
    """

    def __init__(self, script: list[str]) -> None:
        """Create a member; each connection runs the script from its start."""
        super().__init__()
        self._script = script
        self.received: list[str] = []

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Answer lines until the script ends or the connection is closed."""
        try:
            for entry in tuple(self._script):
                line = await stream.read_until(_LINE_END)
                self.received.append(line.decode().strip())
                if entry == 'close':
                    stream.close()
                    return
                text = entry.replace('/', '\r\n')
                await stream.write(text.encode())
            await stream.read_until(_LINE_END)
        except StreamClosedError:
            return
