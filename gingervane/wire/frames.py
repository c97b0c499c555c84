"""Frames between a co-ordinator and a replica: a little-endian length, a letter and a payload. Free of I/O.

The length covers the letter and the payload. It is checked before a frame is buffered, so that a claimed
length of 3 GB allocates nothing. After any error the stream is unusable, since the start of the next frame is
unknown. Frames that were complete before the error are valid.
"""

from __future__ import annotations

import re
import struct
from typing import NamedTuple

BATCH_FRAME_TYPE = b"q"  # co-ordinator to replica: a batch of subqueries
CANCEL_FRAME_TYPE = b"c"  # co-ordinator to replica: the id of a subquery to cancel
REPLY_FRAME_TYPE = b"a"  # replica to co-ordinator: the outcome of a subquery
OUTCOMES = ("served", "broke", "skipped")
MAX_FRAME_BYTES = (
    64 * 1024
)  # letter and payload of a frame from a replica; equals the platform's limit of HTTP bodies
MAX_REPLY_LINE_BYTES = 1200  # of a valid reply's first line, with its end
_HEADER_BYTES = 5  # length and letter

_LENGTH = struct.Struct("<I")
_REPLY_LINE = re.compile(
    rb"([0-9A-Za-z._-]{1,100}) (served|broke|skipped) (-|-?[0-9]{1,20}) ([^\n]{0,1000})\Z"
)


class FrameError(Exception):
    """Bytes that are not a valid frame of this protocol. The message gives the reason."""


class SubqueryRequest(NamedTuple):
    """A subquery to send: its id, shard, options other than `d` (time limit), and the text of the query."""

    id: str
    shard: int
    options: str
    text: bytes


class SubqueryReply(NamedTuple):
    """A replica's reply to a subquery. `score` is None if absent; `report` is the load report, unparsed."""

    id: str
    outcome: str
    score: int | None
    report: str
    value: bytes


def encode_frame(letter: bytes, payload: bytes) -> bytes:
    """Return a frame of one letter and its payload."""
    return _LENGTH.pack(1 + len(payload)) + letter + payload


def encode_batch(parts: list[SubqueryRequest], waits_ms: list[int]) -> bytes:
    """Return the frame of a batch. `waits_ms`: the time limit of each subquery, in milliseconds."""
    lines = [
        f"{part.id} {part.shard} d={wait_ms}{part.options} {len(part.text)}\n".encode() + part.text
        for part, wait_ms in zip(parts, waits_ms, strict=True)
    ]
    return encode_frame(BATCH_FRAME_TYPE, b"".join(lines))


def encode_cancel(part_id: str) -> bytes:
    """Return the frame that cancels a subquery by its id."""
    return encode_frame(CANCEL_FRAME_TYPE, part_id.encode())


def decode_reply(payload: bytes) -> SubqueryReply:
    """Return the reply in a frame's payload. Raises FrameError."""
    end = payload.find(b"\n")
    match = _REPLY_LINE.match(payload[:end]) if end >= 0 else None
    if match is None:
        raise FrameError("answer: its line is not ID END SCORE REPORT")
    part_id, outcome, score, report = match.groups()
    number = None if score == b"-" else int(score)
    return SubqueryReply(
        part_id.decode(), outcome.decode(), number, report.decode("latin-1"), payload[end + 1 :]
    )


class FrameReader:
    """Splits the byte stream of one connection into frames of at most `max_bytes`.

    Of a payload its first `max_payload_bytes` are kept and returned: a frame that is longer than any valid one is
    read to its end, so that the frames behind it are found, but not held in memory.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES, max_payload_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._max_payload_bytes = max_payload_bytes
        self._buffer = bytearray()
        self._dropped = 0  # bytes of the first frame in the buffer that were not kept

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received that are not yet part of a returned frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_frame(self) -> tuple[bytes, bytes] | None:
        """Return the next complete frame as its letter and payload, or None. Raises FrameError."""
        buffer = self._buffer
        if len(buffer) < _HEADER_BYTES:
            return None
        (length,) = _LENGTH.unpack_from(buffer)
        if not 1 <= length <= self._max_bytes:
            raise FrameError(f"frame: a length of {length} bytes")
        if buffer[4:5] not in (b"a", b"p", b"l", b"e"):
            raise FrameError(f"frame: unknown letter {bytes(buffer[4:5])!r}")
        is_complete = len(buffer) + self._dropped >= 4 + length
        end = min(len(buffer), 4 + length - self._dropped)
        kept_end = min(end, _HEADER_BYTES + self._max_payload_bytes)
        if not is_complete:
            del buffer[kept_end:]
            self._dropped += end - kept_end
            return None
        letter = bytes(buffer[4:5])
        payload = bytes(buffer[_HEADER_BYTES:kept_end])
        del buffer[:end]
        self._dropped = 0
        return letter, payload
