"""Bounded decoder and encoder of protobuf's wire format (https://protobuf.dev/programming-guides/encoding/).

Decoders take a buffer and a range and never read outside it. Every error names the byte at which the message
is malformed, and the message or field that was being decoded.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

# Wire types.
VARINT = 0
FIXED64 = 1
BYTES = 2
FIXED32 = 5

_FIXED_SIZES = {FIXED64: 8, FIXED32: 4}  # bytes, by wire type
_MAX_FIELD_NUMBER = (1 << 29) - 1


class ProtobufError(ValueError):
    """A malformed message: `detail` describes the error at byte `at` of the buffer."""

    def __init__(self, detail: str, at: int) -> None:
        super().__init__(f"byte {at}: {detail}")
        self.detail = detail
        self.at = at


class Field(NamedTuple):
    """One field: its `value` if it is a varint, else the range of its bytes, from `start` to `end`."""

    number: int
    wire_type: int
    value: int
    start: int
    end: int


def read_varint(data: bytes, at: int, end: int, description: str) -> tuple[int, int]:
    """Return the unsigned varint at position `at` and the position after it. Raises ProtobufError."""
    value = shift = 0
    start = at
    while at < end:
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            if value >> 64:
                raise ProtobufError(f"{description}: varint of more than 64 bits", start)
            return value, at
        shift += 7
        if shift > 63:
            raise ProtobufError(f"{description}: varint of more than 10 bytes", start)
    raise ProtobufError(f"{description}: ends inside a varint", start)


def decode_int64(value: int) -> int:
    """Return the int64 that an unsigned varint encodes."""
    return value - (1 << 64) if value >> 63 else value


def read_fields(data: bytes, start: int, end: int, description: str) -> Iterator[Field]:
    """Yield the fields of the message in `data[start:end]`, in order. Raises ProtobufError."""
    at = start
    while at < end:
        field_start = at
        key, at = read_varint(data, at, end, description)
        number, wire_type = key >> 3, key & 7
        if not 0 < number <= _MAX_FIELD_NUMBER:
            raise ProtobufError(f"{description}: field number {number}", field_start)
        if wire_type == VARINT:
            value, at = read_varint(data, at, end, description)
            yield Field(number, wire_type, value, at, at)
            continue
        if wire_type == BYTES:
            length, at = read_varint(data, at, end, description)
        elif wire_type in _FIXED_SIZES:
            length = _FIXED_SIZES[wire_type]
        else:
            raise ProtobufError(f"{description}: wire type {wire_type}", field_start)
        if length > end - at:
            raise ProtobufError(
                f"{description}: field {number} of {length} bytes runs past the end", field_start
            )
        yield Field(number, wire_type, 0, at, at + length)
        at += length


def expect_wire_type(field: Field, wire_type: int, description: str) -> None:
    """Raise ProtobufError unless a field has `wire_type`, as its message type defines it."""
    if field.wire_type != wire_type:
        raise ProtobufError(
            f"{description}: field {field.number} has wire type {field.wire_type}, not {wire_type}",
            field.start,
        )


def decode_text(data: bytes, field: Field, description: str) -> str:
    """Return the value of a string field. Raises ProtobufError."""
    expect_wire_type(field, BYTES, description)
    try:
        return data[field.start : field.end].decode()
    except UnicodeDecodeError:
        raise ProtobufError(f"{description}: field {field.number} is not UTF-8", field.start) from None


def encode_varint(value: int) -> bytes:
    """Encode `value` as a varint, a negative value as int64."""
    value &= (1 << 64) - 1
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode_bytes_field(number: int, body: bytes) -> bytes:
    """Encode a length-delimited field."""
    return encode_varint(number << 3 | BYTES) + encode_varint(len(body)) + body


def encode_varint_field(number: int, value: int) -> bytes:
    """Encode a varint field, which is omitted if it has the default value 0."""
    return encode_varint(number << 3) + encode_varint(value) if value else b""
