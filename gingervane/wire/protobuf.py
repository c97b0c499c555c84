"""Reading and writing protobuf's wire format (https://protobuf.dev/programming-guides/encoding/), bounded.

Readers take a buffer and a range and never look outside it. Every complaint names the byte at which the message
stops making sense and, in words, what was being read.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

VARINT, FIXED64, BYTES, FIXED32 = 0, 1, 2, 5
_SIZES = {FIXED64: 8, FIXED32: 4}
_MOST_FIELD = (1 << 29) - 1


class ProtobufError(ValueError):
    """A message that is not well formed: `what`, at byte `at` of the message handed in."""

    def __init__(self, what: str, at: int) -> None:
        super().__init__(f"byte {at}: {what}")
        self.what, self.at = what, at


class Field(NamedTuple):
    """One field: its `value` if a varint, else the bytes from `start` to `end`."""

    number: int
    kind: int
    value: int
    start: int
    end: int


def read_varint(data: bytes, at: int, end: int, what: str) -> tuple[int, int]:
    """The unsigned value at `at` and the place after it."""
    value = shift = 0
    start = at
    while at < end:
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            if value >> 64:
                raise ProtobufError(f"{what}: varint of more than 64 bits", start)
            return value, at
        shift += 7
        if shift > 63:
            raise ProtobufError(f"{what}: varint of more than 10 bytes", start)
    raise ProtobufError(f"{what}: ends inside a varint", start)


def signed(value: int) -> int:
    """The int64 that an unsigned varint stands for."""
    return value - (1 << 64) if value >> 63 else value


def read_fields(data: bytes, start: int, end: int, what: str) -> Iterator[Field]:
    """The fields of the message in `data[start:end]`, in order."""
    at = start
    while at < end:
        begin = at
        key, at = read_varint(data, at, end, what)
        number, kind = key >> 3, key & 7
        if not 0 < number <= _MOST_FIELD:
            raise ProtobufError(f"{what}: field number {number}", begin)
        if kind == VARINT:
            value, at = read_varint(data, at, end, what)
            yield Field(number, kind, value, at, at)
            continue
        if kind == BYTES:
            length, at = read_varint(data, at, end, what)
        elif kind in _SIZES:
            length = _SIZES[kind]
        else:
            raise ProtobufError(f"{what}: wire type {kind}", begin)
        if length > end - at:
            raise ProtobufError(f"{what}: field {number} of {length} bytes runs past the end", begin)
        yield Field(number, kind, 0, at, at + length)
        at += length


def expect(field: Field, kind: int, what: str) -> None:
    """Complain unless a known field has the wire type that its message gives it."""
    if field.kind != kind:
        raise ProtobufError(
            f"{what}: field {field.number} has wire type {field.kind}, not {kind}", field.start
        )


def text(data: bytes, field: Field, what: str) -> str:
    """A string field."""
    expect(field, BYTES, what)
    try:
        return data[field.start : field.end].decode()
    except UnicodeDecodeError:
        raise ProtobufError(f"{what}: field {field.number} is not UTF-8", field.start) from None


def varint(value: int) -> bytes:
    """`value` as a varint; a negative one as its int64."""
    value &= (1 << 64) - 1
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def block(number: int, body: bytes) -> bytes:
    """A length-delimited field."""
    return varint(number << 3 | BYTES) + varint(len(body)) + body


def number(field: int, value: int) -> bytes:
    """A varint field, left out where it has the default value."""
    return varint(field << 3) + varint(value) if value else b""
