"""Reads bytes with the kernel's receive time stamps, and parses them into frames."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Callable
from functools import cache
from typing import NamedTuple

_SO_TIMESTAMPNS = 35  # SO_TIMESTAMPNS and SCM_TIMESTAMPNS of Linux; the socket module has no name for them
_TIMESPEC = struct.Struct("qq")
_MAX_FRAME_BYTES = 1 << 20
_PROBE_WAIT_SECONDS = 0.005  # between the arrival of a probe and its reading
_MAX_PROBES = 400


class Arrival(NamedTuple):
    """The bytes of one read. Times are of the monotonic clock.

    `at`: when the last byte arrived. The kernel keeps one time stamp for data that it joins; of the other bytes it is
    known only that none had arrived by `earliest`, and that the first had woken the reader by `woke_at`.
    """

    data: bytes
    at: float
    earliest: float
    woke_at: float


def _clock_offset() -> float:
    """Return the monotonic clock minus the wall clock in seconds, from the fastest of 200 pairs of readings."""
    pairs = [(time.monotonic(), time.time(), time.monotonic()) for _ in range(200)]
    before, wall, after = min(pairs, key=lambda pair: pair[2] - pair[0])
    return (before + after) / 2 - wall


_CLOCK_OFFSET_SECONDS = _clock_offset()  # stays valid: nothing steps the wall clock of the rig's process


class TimestampProbe:
    """A datagram socket that keeps time stamping on, and finds out whether arriving data is stamped yet."""

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)

    def is_stamped_on_arrival(self) -> bool:
        """Whether a datagram that is read late has the time of its arrival."""
        self._sock.sendto(b"probe", self._sock.getsockname())
        sent_at = time.monotonic()
        time.sleep(_PROBE_WAIT_SECONDS)
        _, arrived_at = receive(self._sock)
        return arrived_at < sent_at + _PROBE_WAIT_SECONDS / 2


def await_timestamps(probe: TimestampProbe) -> None:
    """Wait until the kernel stamps data on its arrival. Raises RuntimeError if it never does.

    The first socket that asks for time stamps has the kernel switch them on in the background. What arrives before
    that is stamped when it is read.
    """
    for _ in range(_MAX_PROBES):
        if probe.is_stamped_on_arrival():
            return
    raise RuntimeError("the kernel does not time-stamp received data")


@cache
def _keep_timestamps_on() -> TimestampProbe:
    probe = TimestampProbe()
    await_timestamps(probe)
    return probe


def enable_timestamps(sock: socket.socket) -> None:
    """Have the kernel time-stamp received data, so that a late read does not falsify its time."""
    _keep_timestamps_on()
    sock.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)


def receive(sock: socket.socket, max_bytes: int = 65536, flags: int = 0) -> tuple[bytes, float]:
    """Receive bytes; return them and the arrival time of the last one, of the monotonic clock."""
    data, extra, _, _ = sock.recvmsg(max_bytes, 64, flags)
    now = time.monotonic()
    for level, kind, content in extra:
        if level == socket.SOL_SOCKET and kind == _SO_TIMESTAMPNS:
            seconds, nanoseconds = _TIMESPEC.unpack(content[: _TIMESPEC.size])
            return data, min(seconds + nanoseconds / 1e9 + _CLOCK_OFFSET_SECONDS, now)
    return data, now


class TimedReceiver:
    """Reads one blocking socket with arrival times."""

    def __init__(self, sock: socket.socket) -> None:
        enable_timestamps(sock)
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._last_at = time.monotonic()

    def receive(self) -> Arrival:
        """Wait for bytes; the data is empty at the end of the connection. Raises OSError."""
        called_at = time.monotonic()
        try:
            data, at = receive(self._sock, flags=socket.MSG_DONTWAIT)
            earliest = woke_at = self._last_at
        except BlockingIOError:  # nothing had arrived yet
            self._poll.poll()
            earliest, woke_at = called_at, time.monotonic()
            data, at = receive(self._sock)
        self._last_at = at
        return Arrival(data, at, min(earliest, at), min(woke_at, at))


class FrameParser:
    """Splits a byte stream, in pieces of any size, into frames."""

    def __init__(self, on_frame: Callable[[bytes, bytes], None]) -> None:
        self._on_frame, self._buffer = on_frame, bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether the last byte fed completed a frame."""
        return not self._buffer

    def feed(self, data: bytes) -> None:
        """Add bytes, and pass on each frame that they complete."""
        self._buffer += data
        while len(self._buffer) >= 5:
            (length,) = struct.unpack_from("<I", self._buffer)
            if not 1 <= length <= _MAX_FRAME_BYTES or len(self._buffer) < 4 + length:
                return
            frame_type, payload = bytes(self._buffer[4:5]), bytes(self._buffer[5 : 4 + length])
            del self._buffer[: 4 + length]
            self._on_frame(frame_type, payload)


class TimedFrame(NamedTuple):
    """One frame. It arrived between `earliest` and `at`; the time is exact if they agree. See `Arrival`."""

    frame_type: bytes
    payload: bytes
    at: float
    earliest: float
    woke_at: float


class TimedFrameParser:
    """Splits received bytes into frames with their arrival times."""

    def __init__(self, on_frame: Callable[[TimedFrame], None]) -> None:
        self._on_frame = on_frame
        self._parser = FrameParser(self._frame)
        self._arrival = Arrival(b"", 0.0, 0.0, 0.0)

    def feed(self, arrival: Arrival) -> None:
        """Add the bytes of one read."""
        self._arrival = arrival
        self._parser.feed(arrival.data)

    def _frame(self, frame_type: bytes, payload: bytes) -> None:
        _, at, earliest, woke_at = self._arrival
        if self._parser.is_empty:
            earliest = woke_at = at
        self._on_frame(TimedFrame(frame_type, payload, at, earliest, woke_at))
