"""Decoder of samples of remote read: a fast path over arrays for the usual encoding, and a general path.

Nearly all encoders write every sample of a series in the same number of bytes: 0x12, the length, 0x09, eight
bytes of value, 0x10 and the varint of the timestamp. Such samples of all series are decoded together, one
table per size.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import numpy as np

from gingervane.wire import protobuf as pb
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read_types import Times, Values

_DOUBLE = struct.Struct("<d")
# Exclusive bounds of the size of a sample in the usual form, in bytes: 12 plus a timestamp of 2 to 9 bytes.
_SAMPLE_BYTES_ABOVE = 13
_SAMPLE_BYTES_BELOW = 22


class EncodedSamples(NamedTuple):
    """Position of the samples of one series. `runs`: start and end of each run of consecutive samples."""

    name: str  # of the series, for error messages
    runs: list[tuple[int, int]]


def end_of_uniform_run(data: bytes, at: int, end: int) -> int:
    """Return `end` if samples of equal size fill the range from `at` to `end`, else `at`."""
    size = data[at + 1] + 2 if at + 1 < end else 0
    if not _SAMPLE_BYTES_ABOVE < size < _SAMPLE_BYTES_BELOW or (end - at) % size:
        return at
    count = (end - at) // size
    uniform = data[at:end:size] == b"\x12" * count and data[at + 1 : end : size] == bytes((size - 2,)) * count
    return end if uniform else at


def decode_samples(data: bytes, series: list[EncodedSamples]) -> list[tuple[Times, Values]]:
    """Decode the samples of each series: runs of equal sample size as one table, all others one by one."""
    sizes = [data[encoded.runs[0][0] + 1] + 2 if len(encoded.runs) == 1 else 0 for encoded in series]
    out: list[tuple[Times, Values] | None] = [None] * len(series)
    for size in set(sizes) - {0}:
        rows = [(i, *series[i].runs[0]) for i in range(len(series)) if sizes[i] == size]
        rows = [row for row in rows if not (row[2] - row[1]) % size]
        if not _SAMPLE_BYTES_ABOVE < size < _SAMPLE_BYTES_BELOW:
            continue
        table = _decode_table(b"".join(data[start:end] for _, start, end in rows), size)
        if table is None:
            continue
        times, values = table
        at = 0
        for index, start, end in rows:
            count = (end - start) // size
            out[index] = times[at : at + count], values[at : at + count]
            at += count
    return [out[i] or _decode_one_by_one(data, encoded) for i, encoded in enumerate(series)]


def _decode_table(data: bytes, size: int) -> tuple[Times, Values] | None:
    """Decode samples of equal size as a table. Return None if a sample is not in the usual form.

    A row is 0x12, its length, 0x09, eight bytes of value, 0x10, and the timestamp's varint.
    """
    rows = np.frombuffer(data, np.uint8).reshape(-1, size)
    varint_bytes = rows[:, 12:]
    has_usual_form = (rows[:, (0, 1, 2, 11)] == (0x12, size - 2, 0x09, 0x10)).all()
    if not has_usual_form or (varint_bytes[:, :-1] < 0x80).any() or (varint_bytes[:, -1] > 0x7F).any():
        return None
    # A varint has up to nine bytes with seven bits of the number each, least significant first.
    shifts = np.arange(varint_bytes.shape[1], dtype=np.int64) * 7
    times = ((varint_bytes & 0x7F).astype(np.int64) << shifts).sum(axis=1)
    values = np.ascontiguousarray(rows[:, 3:11]).view("<f8").reshape(-1).astype(np.float64)
    return times, values


def _decode_one_by_one(data: bytes, encoded: EncodedSamples) -> tuple[Times, Values]:
    """Decode the samples of one series in any valid form. Raises ProtobufError."""
    times: list[int] = []
    values: list[float] = []
    for start, end in encoded.runs:
        for field in pb.read_fields(data, start, end, encoded.name):
            if field.number != 2:
                raise ProtobufError(f"{encoded.name}: field {field.number} amid samples", field.start)
            pb.expect_wire_type(field, pb.BYTES, encoded.name + ".samples")
            time, value = _read_sample(data, field, encoded.name)
            times.append(time)
            values.append(value)
    return np.array(times, np.int64), np.array(values, np.float64)


def _read_sample(data: bytes, message: pb.Field, name: str) -> tuple[int, float]:
    """Decode one Sample message: its timestamp and its value."""
    time, value = 0, 0.0
    for field in pb.read_fields(data, message.start, message.end, name):
        if field.number == 1:
            pb.expect_wire_type(field, pb.FIXED64, name + ".samples.value")
            (value,) = _DOUBLE.unpack_from(data, field.start)
        elif field.number == 2:
            pb.expect_wire_type(field, pb.VARINT, name + ".samples.timestamp")
            time = pb.decode_int64(field.value)
    return time, value
