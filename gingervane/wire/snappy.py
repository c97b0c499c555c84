"""Bounded snappy block codec (https://github.com/google/snappy/blob/main/format_description.txt).

The codec is cramjam's. This module reads the claimed length first, so that a small block that claims
gigabytes is rejected before memory is allocated for it.
"""

from __future__ import annotations

import cramjam

from gingervane.wire.protobuf import ProtobufError, read_varint

_MAX_LENGTH_BYTES = 5  # of the varint that claims a block's length
_MAX_RATIO = 22  # maximum compression ratio: a copy element of 3 bytes yields at most 64 bytes


class SnappyError(ValueError):
    """A malformed snappy block, or one whose claimed length exceeds the limit."""


def compress(data: bytes) -> bytes:
    """Return one snappy block."""
    return bytes(cramjam.snappy.compress_raw(data))


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the content of one block. Raises SnappyError if it is malformed or longer than `max_bytes`."""
    try:
        claimed_bytes, _ = read_varint(data, 0, min(len(data), _MAX_LENGTH_BYTES), "snappy length")
    except ProtobufError as error:
        raise SnappyError(str(error)) from None
    if claimed_bytes > max_bytes:
        raise SnappyError(f"byte 0: claims {claimed_bytes} bytes, over the limit of {max_bytes}")
    if claimed_bytes > _MAX_RATIO * len(data):
        raise SnappyError(f"byte 0: claims {claimed_bytes} bytes in a block of {len(data)}")
    try:
        out = bytes(cramjam.snappy.decompress_raw(data))
    except cramjam.DecompressionError as error:
        raise SnappyError(f"malformed block: {error}") from None
    if len(out) != claimed_bytes:
        raise SnappyError(f"byte 0: claims {claimed_bytes} bytes and holds {len(out)}")
    return out
