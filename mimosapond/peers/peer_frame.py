"""Frames of the messages between hosts.

A frame is a header line of three fields, followed by a JSON body:
``number word length``. The word is the path of a request or the status of an
answer, and the answer has the number of its request. A body that is not
readable is answered; a header that is not readable ends the connection.
"""

from typing import Final, final

import attrs
from tornado.iostream import IOStream

from mimosapond.entry.memory_lanes import MemoryAccount

_MAX_HEADER_BYTES: Final = 200
# A message of a caller has up to 1 MiB, and JSON writes a control character as
# six characters.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# Bytes of a frame that are read at a time if none of them is kept.
_SKIPPED_CHUNK_BYTES: Final = 64 * 1024
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


@final
@attrs.frozen
class SkippedFrame:
    """A frame whose body was not kept, since there was no memory for it."""

    number: int
    word: str


async def read_frame(
    stream: IOStream, account: MemoryAccount
) -> PeerFrame | SkippedFrame:
    """Return the next frame.

    Parameters
    ----------
    account
        Holds the memory of the frame afterwards.

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
    if length > MAX_BODY_BYTES:
        raise FrameUnreadableError('length')
    if not await account.reserve_exactly(length):
        await _skip(stream, length)
        return SkippedFrame(number, fields[1])
    body = await stream.read_bytes(length) if length else b''
    return PeerFrame(number, fields[1], body)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the bytes of a frame."""
    header = f'{frame.number} {frame.word} {len(frame.body)}\n'
    return header.encode() + frame.body


async def _skip(stream: IOStream, length: int) -> None:
    left_bytes = length
    while left_bytes:
        chunk = await stream.read_bytes(
            min(left_bytes, _SKIPPED_CHUNK_BYTES), partial=True
        )
        left_bytes -= len(chunk)


def _decode_number(text: str) -> int:
    if len(text) > _MAX_DIGIT_COUNT or not text.isdecimal():
        raise FrameUnreadableError('number')
    return int(text)
