"""Decoders of contents that other programs may write, for property tests."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from mimosapond.platform.configuration_codec import decode_configuration
from mimosapond.platform.position_codec import decode_position
from mimosapond.platform.registration_codec import decode_registration
from mimosapond.platform.status_codec import decode_status
from mimosapond.platform.claim_rows import active_holder
from mimosapond.platform.store_rows import (
    StoredRow,
    decode_rows,
)
from mimosapond.platform.store_peers import decode_announcement

_NOW_MS: Final = 1000


def _decode_registration(content: bytes) -> None:
    decode_registration('m1', content)


def _decode_configuration(content: bytes) -> None:
    decode_configuration(content)


def _decode_claim(content: bytes) -> None:
    active_holder(StoredRow('row', content, 1), _NOW_MS)


def _decode_announcement(content: bytes) -> None:
    decode_announcement(StoredRow('row', content, 1), _NOW_MS)


def _decode_rows(content: bytes) -> None:
    decode_rows(content)


def _decode_position(content: bytes) -> None:
    decode_position(content.decode(errors='replace'))


def _decode_status(content: bytes) -> None:
    text = content.decode(errors='replace')
    for rows in ((text,), (f'replica {text} {text} {text}',), ()):
        try:
            decode_status(rows)
        except ValueError as error:
            # The documented fault of this decoder.
            assert error.args


DECODERS: Final[Mapping[str, Callable[[bytes], None]]] = MappingProxyType(
    {
        'registration': _decode_registration,
        'configuration': _decode_configuration,
        'claim': _decode_claim,
        'announcement': _decode_announcement,
        'store answer': _decode_rows,
        'position': _decode_position,
        'status': _decode_status,
    }
)
