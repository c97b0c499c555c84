"""Snappy's block format (https://github.com/google/snappy/blob/main/format_description.txt), with a bound.

The codec is cramjam's; this module reads the claimed length first, so that a few bytes that claim gigabytes are
rejected before any memory is allocated for them.
"""

from __future__ import annotations

import cramjam

from gingervane.wire.protobuf import ProtobufError, read_varint

_MAX_LENGTH_BYTES = 5  # of the varint that claims a block's length
_MAX_RATIO = 22  # the densest block is runs of copies of 64 bytes in 3


class SnappyError(ValueError):
    """A body that is not a snappy block, or one that claims more than the bound."""


def compress(data: bytes) -> bytes:
    """Return one snappy block."""
    return bytes(cramjam.snappy.compress_raw(data))


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the content of one block. Raises SnappyError if it is malformed or longer than `max_bytes`."""
    try:
        claimed, _ = read_varint(data, 0, min(len(data), _MAX_LENGTH_BYTES), "snappy length")
    except ProtobufError as error:
        raise SnappyError(str(error)) from None
    if claimed > max_bytes:
        raise SnappyError(f"byte 0: claims {claimed} bytes, over the limit of {max_bytes}")
    if claimed > _MAX_RATIO * len(data):
        raise SnappyError(f"byte 0: claims {claimed} bytes in a block of {len(data)}")
    try:
        out = bytes(cramjam.snappy.decompress_raw(data))
    except cramjam.DecompressionError as error:
        raise SnappyError(f"malformed block: {error}") from None
    if len(out) != claimed:
        raise SnappyError(f"byte 0: claims {claimed} bytes and holds {len(out)}")
    return out
