"""A member on the platform's wire that answers as a test tells it."""

from typing import Final, final

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

_END: Final = b'\r\n'


@final
class ScriptedMember(TCPServer):
    """Answers the queries of a connection by a script, one after another.

    A script entry is the text to send, or ``close`` to close the connection.
    """

    def __init__(self, script: list[str]) -> None:
        """Take the answers."""
        super().__init__()
        self._script = script
        self.received: list[str] = []

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Answer until the script ends."""
        try:
            for entry in tuple(self._script):
                line = await stream.read_until(_END)
                self.received.append(line.decode().strip())
                if entry == 'close':
                    stream.close()
                    return
                text = entry.replace('/', '\r\n')
                await stream.write(text.encode())
            await stream.read_until(_END)
        except StreamClosedError:
            return
