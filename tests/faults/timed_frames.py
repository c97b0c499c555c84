"""When bytes came, by the kernel, and the frames that they make up."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Callable
from typing import NamedTuple

_TIMESTAMPS = 35  # SO_TIMESTAMPNS and SCM_TIMESTAMPNS of Linux; the socket module has no name for them
_TIMESPEC = struct.Struct("qq")
_LARGEST_FRAME = 1 << 20  # bytes


class Arrival(NamedTuple):
    """Bytes that were read at once. Times: the monotonic clock.

    `at`: when the last of them came. The kernel keeps one time for what it joins, so that of the others is known only
    that nothing had come by `earliest`, and that the first woke the reader at `woke_at` at the latest.
    """

    data: bytes
    at: float
    earliest: float
    woke_at: float


def _offset() -> float:
    """The monotonic clock less the wall clock, of the pair of readings that took the least time."""
    pairs = [(time.monotonic(), time.time(), time.monotonic()) for _ in range(200)]
    before, wall, after = min(pairs, key=lambda pair: pair[2] - pair[0])
    return (before + after) / 2 - wall


_OFFSET = _offset()  # the wall clock of this process is not stepped


def stamp(sock: socket.socket) -> None:
    """Have the kernel say when what is received came, whenever this process gets round to reading it."""
    sock.setsockopt(socket.SOL_SOCKET, _TIMESTAMPS, 1)


def receive(sock: socket.socket, most: int = 65536, flags: int = 0) -> tuple[bytes, float]:
    """Bytes, and when the last of them came, on the monotonic clock."""
    data, extra, _, _ = sock.recvmsg(most, 64, flags)
    now = time.monotonic()
    for level, kind, content in extra:
        if level == socket.SOL_SOCKET and kind == _TIMESTAMPS:
            seconds, nanoseconds = _TIMESPEC.unpack(content[: _TIMESPEC.size])
            return data, min(seconds + nanoseconds / 1e9 + _OFFSET, now)
    return data, now


class TimedReceiver:
    """Reads one blocking socket."""

    def __init__(self, sock: socket.socket) -> None:
        stamp(sock)
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._last_at = time.monotonic()

    def receive(self) -> Arrival:
        """Wait for bytes; none at the end of the connection. Raises OSError."""
        asked_at = time.monotonic()
        try:
            data, at = receive(self._sock, flags=socket.MSG_DONTWAIT)
            earliest = woke_at = self._last_at
        except BlockingIOError:  # nothing had come by then
            self._poll.poll()
            earliest, woke_at = asked_at, time.monotonic()
            data, at = receive(self._sock)
        self._last_at = at
        return Arrival(data, at, min(earliest, at), min(woke_at, at))


class FrameParser:
    """Cuts a byte stream into frames, however it comes."""

    def __init__(self, take: Callable[[bytes, bytes], None]) -> None:
        self._take, self._buffer = take, bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether the last frame ended with the last byte that was fed."""
        return not self._buffer

    def feed(self, data: bytes) -> None:
        """Take bytes, and hand on each frame that they complete."""
        self._buffer += data
        while len(self._buffer) >= 5:
            (length,) = struct.unpack_from("<I", self._buffer)
            if not 1 <= length <= _LARGEST_FRAME or len(self._buffer) < 4 + length:
                return
            letter, rest = bytes(self._buffer[4:5]), bytes(self._buffer[5 : 4 + length])
            del self._buffer[: 4 + length]
            self._take(letter, rest)


class TimedFrame(NamedTuple):
    """One frame. It came at `at`, or no one knows when between `earliest` and then; see `Arrival`."""

    letter: bytes
    rest: bytes
    at: float
    earliest: float
    woke_at: float


class TimedFrameParser:
    """Cuts what was received into frames with their times."""

    def __init__(self, take: Callable[[TimedFrame], None]) -> None:
        self._take = take
        self._parser = FrameParser(self._frame)
        self._arrival = Arrival(b"", 0.0, 0.0, 0.0)

    def feed(self, arrival: Arrival) -> None:
        """Take what was read at once."""
        self._arrival = arrival
        self._parser.feed(arrival.data)

    def _frame(self, letter: bytes, rest: bytes) -> None:
        _, at, earliest, woke_at = self._arrival
        if self._parser.is_empty:
            earliest = woke_at = at
        self._take(TimedFrame(letter, rest, at, earliest, woke_at))
