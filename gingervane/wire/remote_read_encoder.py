"""Encoder of remote read messages: queries, requests and responses."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

import numpy as np

from gingervane.wire import protobuf as pb
from gingervane.wire.remote_read_types import Query, Series, Times, Values

_DOUBLE = struct.Struct("<d")
_LOOP_MAX_SAMPLES = 8  # number of samples up to which a plain loop is faster than arrays


def write_query(query: Query) -> bytes:
    """Encode the body of a Query message."""
    out = [pb.encode_varint_field(1, query.start_ms), pb.encode_varint_field(2, query.end_ms)]
    out += [
        pb.encode_bytes_field(
            3,
            pb.encode_varint_field(1, matcher.kind)
            + pb.encode_bytes_field(2, matcher.name.encode())
            + pb.encode_bytes_field(3, matcher.value.encode()),
        )
        for matcher in query.matchers
    ]
    if query.hints is not None:
        out.append(pb.encode_bytes_field(4, query.hints))
    return b"".join(out)


def write_request(queries: Iterable[bytes], accepts: Sequence[int] = ()) -> bytes:
    """Encode a ReadRequest of encoded queries. `accepts`: the accepted response types."""
    packed = b"".join(pb.encode_varint(response_type) for response_type in accepts)
    return b"".join(pb.encode_bytes_field(1, query) for query in queries) + (
        pb.encode_bytes_field(2, packed) if packed else b""
    )


def write_response(results: Iterable[Iterable[Series]]) -> bytes:
    """Encode a ReadResponse. The labels of each series are written in the order given."""
    out = bytearray()
    for result in results:
        body = b"".join(pb.encode_bytes_field(1, _write_series(series)) for series in result)
        out += pb.encode_bytes_field(1, body)
    return bytes(out)


def _write_series(series: Series) -> bytes:
    """Encode the body of a TimeSeries message."""
    if series.raw is not None:
        return series.raw
    out = [
        pb.encode_bytes_field(1, pb.encode_bytes_field(1, n.encode()) + pb.encode_bytes_field(2, v.encode()))
        for n, v in series.labels
    ]
    out.append(_write_samples(series.timestamps, series.values))
    out += [pb.encode_bytes_field(4, raw) for _, raw in series.histograms]
    return b"".join(out)


def _write_samples(times: Times, values: Values) -> bytes:
    """Encode samples as TimeSeries fields: as one array if all have the same size, else one by one."""
    if len(times) > _LOOP_MAX_SAMPLES and times[0] > 0:
        low, high = int(times.min()), int(times.max())
        length = len(pb.encode_varint(high))
        # Protobuf encoders omit a value whose bits are all zero, as the loop below does.
        if len(pb.encode_varint(low)) == length and values.view(np.int64).all():
            # Each row is 12 bytes and the varint of the timestamp; `sample_decoder` describes the layout.
            rows = np.empty((len(times), 14 + length - 2), np.uint8)
            rows[:, (0, 1, 2, 11)] = (0x12, 10 + length, 0x09, 0x10)
            rows[:, 3:11] = values.astype("<f8").view(np.uint8).reshape(-1, 8)
            for index in range(length):
                continuation_bit = 0x80 if index < length - 1 else 0
                rows[:, 12 + index] = (times >> (7 * index)) & 0x7F | continuation_bit
            return rows.tobytes()
    out = bytearray()
    for time, value in zip(times.tolist(), values.tolist(), strict=True):
        packed = _DOUBLE.pack(value)
        body = (b"\x09" + packed if packed != bytes(8) else b"") + pb.encode_varint_field(2, time)
        out += b"\x12" + bytes([len(body)]) + body
    return bytes(out)
