"""Frames between a co-ordinator and a replica: a little-endian length, one letter, the rest. Free of I/O.

The length covers the letter and the rest. Lengths are checked before anything of a frame is kept, so that what is
said to be 3 GB costs nothing; after any error the stream is of no further use, as nobody knows where the next frame
starts. Frames that came whole before the error count.
"""

from __future__ import annotations

import re
import struct
from typing import NamedTuple

CALL, CANCEL, ANSWER = b"q", b"c", b"a"
ENDS = ("served", "broke", "skipped")
MOST_BYTES = 64 * 1024  # of a frame from a replica; the bodies of the same platform hold no more either

_LENGTH = struct.Struct("<I")
_LINE = re.compile(rb"([0-9A-Za-z._-]{1,100}) (served|broke|skipped) (-|-?[0-9]{1,20}) ([^\n]{0,1000})\Z")


class FrameError(Exception):
    """Bytes that cannot be read as frames of this protocol: what is wrong."""


class Asked(NamedTuple):
    """A part as it travels: its id, its shard, the words of its list besides `d`, and the query's text."""

    id: str
    shard: int
    words: str
    text: bytes


class Answer(NamedTuple):
    """What a replica says of a part. `score` is None where it gives none; `report` is not read here."""

    id: str
    end: str
    score: int | None
    report: str
    value: bytes


def frame(letter: bytes, rest: bytes) -> bytes:
    return _LENGTH.pack(1 + len(rest)) + letter + rest


def call(parts: list[Asked], waits_ms: list[int]) -> bytes:
    """One call. `waits_ms`: how long the co-ordinator will wait for each part."""
    lines = [
        f"{p.id} {p.shard} d={wait_ms}{p.words} {len(p.text)}\n".encode() + p.text
        for p, wait_ms in zip(parts, waits_ms, strict=True)
    ]
    return frame(CALL, b"".join(lines))


def cancel(part: str) -> bytes:
    return frame(CANCEL, part.encode())


def read_answer(rest: bytes) -> Answer:
    """The rest of an answer's frame. Raises FrameError."""
    end = rest.find(b"\n")
    found = _LINE.match(rest[:end]) if end >= 0 else None
    if found is None:
        raise FrameError("answer: its line is not ID END SCORE REPORT")
    part, word, score, report = found.groups()
    number = None if score == b"-" else int(score)
    return Answer(part.decode(), word.decode(), number, report.decode("latin-1"), rest[end + 1 :])


class FrameReader:
    """Cuts what comes off one connection into frames."""

    def __init__(self, most: int = MOST_BYTES) -> None:
        self._most, self._buffer = most, bytearray()

    @property
    def waiting(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> tuple[bytes, bytes] | None:
        """The next whole frame as its letter and the rest, or None. Raises FrameError."""
        buffer = self._buffer
        if len(buffer) < 5:
            return None
        (length,) = _LENGTH.unpack_from(buffer)
        if not 1 <= length <= self._most:
            raise FrameError(f"frame: a length of {length} bytes")
        if buffer[4:5] not in (b"a", b"p", b"l", b"e"):
            raise FrameError(f"frame: unknown letter {bytes(buffer[4:5])!r}")
        if len(buffer) < 4 + length:
            return None
        letter, rest = bytes(buffer[4:5]), bytes(buffer[5 : 4 + length])
        del buffer[: 4 + length]
        return letter, rest
