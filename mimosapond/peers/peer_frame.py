"""Frames of the messages between hosts.

A frame is a header line of three fields, followed by a JSON body:
``number word length``. The word is the path of a request or the status of an
answer, and the answer has the number of its request. A body that is not
readable is answered; a header that is not readable ends the connection.
"""

from typing import Final, final

import attrs
from tornado.iostream import IOStream

_MAX_HEADER_BYTES: Final = 200
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_FIELD_COUNT: Final = 3
# Digits of the largest number or length in a header.
_MAX_DIGIT_COUNT: Final = 15


class FrameUnreadableError(Exception):
    """The other side sent something that is not a frame."""


@final
@attrs.frozen
class PeerFrame:
    """One request or answer.

    Parameters
    ----------
    number
        Number of the request on its connection.
    word
        Path of a request, or status of an answer.
    """

    number: int
    word: str
    body: bytes


async def read_frame(stream: IOStream) -> PeerFrame:
    """Return the next frame.

    Raises
    ------
    FrameUnreadableError
        The data is not a frame.
    StreamClosedError
        The connection was closed.
    """
    line = await stream.read_until(b'\n', max_bytes=_MAX_HEADER_BYTES)
    fields = line.decode('ascii', errors='replace').split()
    if len(fields) != _FIELD_COUNT:
        raise FrameUnreadableError('header')
    number, length = _decode_number(fields[0]), _decode_number(fields[2])
    if length > _MAX_BODY_BYTES:
        raise FrameUnreadableError('length')
    body = await stream.read_bytes(length) if length else b''
    return PeerFrame(number, fields[1], body)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the bytes of a frame."""
    header = f'{frame.number} {frame.word} {len(frame.body)}\n'
    return header.encode() + frame.body


def _decode_number(text: str) -> int:
    if len(text) > _MAX_DIGIT_COUNT or not text.isdecimal():
        raise FrameUnreadableError('number')
    return int(text)
