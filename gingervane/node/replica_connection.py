"""One connection to a replica, which carries many parts at once.

Owners: the decision thread alone starts calls, withdraws them, writes and closes; it never waits. The reader thread
of `links.py` sees the connection come up or fail and reads answers. `_lock` guards the books and is never held over
I/O. A socket is closed by the decision thread once the reader has let go of it (`reading`), so that no number is used
anew under either.

Each errand of a call is reported once by the link, or not at all if the driver ended it; the driver drops what comes
second. Nothing is decided here: times come from the settings, the call and the protocol.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from threading import Lock
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.interface import AttemptOutcome
from gingervane.wire import frames
from gingervane.wire.frames import Answer, FrameError, FrameReader
from gingervane.wire.local_failures import is_local, is_passing
from gingervane.wire.socket_recorder import SOCKET_RECORDER

_READ = 65536
_MOST_PAST = 1024  # ids
_OUTCOMES = {"served": AttemptOutcome.OK, "broke": AttemptOutcome.ERROR, "skipped": AttemptOutcome.REJECTED}


class LinkEnd(Enum):
    """Why a connection to a replica ended."""

    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timed out"
    LOCAL_FAILURE = "local resource failure"  # of this machine: says nothing of the replica
    WRITE_FAILED = "write failed"
    READ_FAILED = "read failed"
    CLOSED_BY_PEER = "closed by the replica"
    PROTOCOL_ERROR = "protocol error"
    IDLE = "idle"
    DROPPED = "dropped while idle"
    NO_ROOM = "made room"
    CANCELLED_IN_FRAME = "cancelled inside a frame"
    LATE_IN_FRAME = "late inside a frame"
    INTERNAL = "internal error"


class LinkEnded(NamedTuple):
    """A connection's end, for the log. `out`: parts that ended with it, `unsent` of them not written whole."""

    address: tuple[str, int]
    reason: LinkEnd
    detail: str
    out: int
    unsent: int


class LinkLimits(NamedTuple):
    """`streams`: parts at once on a connection; `links`: connections in all; `idle`: seconds after which a quiet
    one is not written to any more; `connect`: seconds for a new one to come up."""

    streams: int
    links: int
    idle: float
    connect: float


class Value(NamedTuple):
    """A part that is in, as its replica gave it."""

    shard: int
    score: int
    cell: str


class FrameTravel:
    """How parts travel in frames."""

    def encode(
        self,
        contents: list[frames.Asked],
        seconds_left: list[float],
        address: tuple[str, int],
    ) -> bytes:
        return frames.call(contents, [max(int(left * 1000), 1) for left in seconds_left])

    def result_size(self, result: Value) -> int:
        return 100


class _Out(NamedTuple):
    errand: t.AttemptRequest
    call: t.BatchRequest


Report = Callable[[list[t.AttemptFinished]], None]
OnEnd = Callable[[LinkEnded], None]  # called from the decision thread and the reader; must not wait
CheckValue = Callable[[bytes], str | None]


class ReplicaConnection:
    """One connection. `_up`: it may be written to; `_rest`: of a frame that it has not taken yet."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: LinkLimits,
        report: Report,
        check: CheckValue,
        ready: Callable[[ReplicaConnection], None],
        poll: select.epoll,
        on_end: OnEnd,
    ) -> None:
        self.address, self._limits, self._report, self._check = address, limits, report, check
        self._on_end = on_end
        self._ready, self._lock, self._poll = ready, Lock(), poll
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.number = self.sock.fileno()
        self.out: dict[str, _Out] = {}
        self._gone: dict[str, float] = {}  # withdrawn and perhaps still answered -> when that ends
        self._past = deque[str](maxlen=_MOST_PAST)  # withdrawn, and past that time
        self._pending: deque[t.BatchRequest | bytes] = deque()
        self._rest = b""
        self._half: set[str] = set()  # parts of the frame that `_rest` ends
        self._rest_of: t.BatchRequest | None = None  # whose frame that is, if a further attempt is in it
        self._encoded_at = 0.0  # when that frame was made
        self._reader = FrameReader()
        self.broken, self._up, self.reading = False, False, False
        self.used = time.monotonic()
        self.up_by = self.used + limits.connect
        self.retired = False  # takes nothing new; goes once nothing is out on it

    # ---- the decision thread

    def room(self, parts: int, now: float) -> bool:
        if self.broken or self.retired or not self._has_place(parts, now):
            return False
        return bool(self.out) or now - self.used < self._limits.idle

    def _has_place(self, parts: int, now: float) -> bool:
        """Whether the replica surely reads that many more. What was withdrawn may run on there and keep its place:
        past the streams of a connection a part lies unread, and arrives when its query is long answered."""
        if len(self.out) + len(self._gone) + parts > self._limits.streams:
            with self._lock:
                # Their places are free again. Guards against an answer that comes later still and would pass for
                # spoilt: all that is out here would end with it.
                self._past.extend(part for part, until in self._gone.items() if until <= now)
                self._gone = {part: until for part, until in self._gone.items() if until > now}
        return len(self.out) + len(self._gone) + parts <= self._limits.streams

    @property
    def rising(self) -> bool:
        return not self._up and not self.broken

    @property
    def closable(self) -> bool:
        return self.broken and not self.reading

    def connect(self) -> None:
        """Begin to. The reader, which must know of this link already, sees it come up or fail."""
        self.sock.setblocking(False)
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # an interrupted one goes on
            self._not_connected(code)
            return
        try:
            self._poll.register(self.number, select.EPOLLOUT)
        except OSError as error:  # guards the decision thread, which runs this
            self.fail(LinkEnd.LOCAL_FAILURE, f"epoll: {error}", connected=False)
            return
        self.reading = True

    def _not_connected(self, code: int) -> None:
        """An attempt to connect has failed; `code` is its error number."""
        reason = LinkEnd.LOCAL_FAILURE if is_local(code) else LinkEnd.CONNECT_FAILED
        self.fail(reason, os.strerror(code), connected=False)

    def start(self, call: t.BatchRequest, now: float) -> bool:
        """Take a call; False if the link has broken."""
        with self._lock:
            if self.broken:
                return False
            for errand in call.attempts:
                self.out[errand.content.id] = _Out(errand, call)
            self.used = now
            self._pending.append(call)
        call.transport_token = self
        self.flush()
        return True

    def withdraw(self, errand: t.AttemptRequest, tell: bool, over: bool) -> None:
        part = errand.content.id
        with self._lock:
            held = self.out.get(part)
            if self.broken or held is None or held.errand is not errand:
                return
            begun = part in self._half
            if tell or over:
                del self.out[part]
                self._gone[part] = held.call.expires_at
            if tell and not begun:
                self._pending.append(frames.cancel(part))
        if begun:
            # Guards against a part that arrives after its query's answer: its frame must never be whole.
            self.fail(LinkEnd.CANCELLED_IN_FRAME)
        elif tell:
            self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the connection takes it."""
        while True:
            with self._lock:
                if self.broken or not self._up or not (self._rest or self._pending):
                    return
                # Not half-written any more as far as the reader knows: were it to break now, the rest may have gone.
                data, parts, self._half = self._rest, self._half, set()
                item = None if data else self._pending.popleft()
            if data and parts and self._rest_is_late(time.monotonic()):
                self.fail(LinkEnd.LATE_IN_FRAME, unwritten=parts)
                return
            if item is not None:
                self._rest_of = (
                    item
                    if isinstance(item, t.BatchRequest) and any(e.attempt for e in item.attempts)
                    else None
                )
                self._encoded_at = time.monotonic()
                data, parts = (item, set[str]()) if isinstance(item, bytes) else self._prepare(item)
                if data and SOCKET_RECORDER.on:
                    self._trace("call" if parts else "cancel", parts=sorted(parts) or data[5:].decode())
            if not data:
                continue
            sent = 0
            try:
                sent = self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError as error:
                if not is_passing(error):
                    self.fail(LinkEnd.WRITE_FAILED, str(error), unwritten=parts)
                    return
            with self._lock:
                self._rest, self._half = data[sent:], parts if sent < len(data) else set()
            if sent < len(data):
                self._watch_for(select.EPOLLIN | select.EPOLLOUT)
                return

    def _rest_is_late(self, now: float) -> bool:
        """Whether the rest of a call's frame may not leave any more.

        An attempt counts from its frame's last byte: a further one would be past its window or its budget's span, and
        the time that any of them tells its replica was right when the frame was encoded.
        """
        further = self._rest_of is not None and self._rest_of.is_send_overdue(now)
        return further or now - self._encoded_at > t.MAX_SEND_DELAY

    def _watch_for(self, what: int) -> None:
        try:
            self._poll.modify(self.number, what)
        except (OSError, ValueError) as error:
            # Where the reader has let go of it, it is broken already. Else nothing would wake it any more.
            self.fail(LinkEnd.LOCAL_FAILURE, f"epoll: {error}")

    def _prepare(self, call: t.BatchRequest) -> tuple[bytes, set[str]]:
        """The bytes of what of a call may leave now, and the ids of its parts; none if nothing may."""
        now = time.monotonic()
        errands, stale = call.claim_sendable(now)
        left = {errand.content.id for errand in errands}
        if len(errands) < len(call.attempts):
            with self._lock:
                for errand in call.attempts:
                    held = self.out.get(errand.content.id)
                    if held and held.errand is errand and errand.content.id not in left:
                        del self.out[errand.content.id]
        if stale:
            self._report(
                [
                    t.AttemptFinished(
                        e.part, e.attempt, AttemptOutcome.NEVER_SENT, now, None, "waited too long"
                    )
                    for e in stale
                ]
            )
        if not errands:
            return b"", set()
        contents = [errand.content for errand in errands]
        return call.codec.encode(contents, call.seconds_left(errands, now), call.address), left

    def _trace(self, kind: str, **fields: Any) -> None:
        with contextlib.suppress(OSError):
            held, gone = len(self.out), len(self._gone)
            SOCKET_RECORDER.put(
                kind, self.sock.getsockname()[1], 0, to=self.address[0], held=held, gone=gone, **fields
            )

    def shut(self) -> None:
        """Be done with the connection: the reader sees its end and lets go of it."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    # ---- the reader

    def seen(self, what: int, endings: list[t.AttemptFinished]) -> None:
        """Something has happened to the connection; answers are added to `endings`."""
        try:
            if self.rising:
                self._came_up()
            elif not self.broken:
                if what & select.EPOLLOUT:
                    self._watch_for(select.EPOLLIN)
                    self._ready(self)
                if what & ~select.EPOLLOUT:
                    self._read(endings)
        except Exception as error:  # a bug must not leave an attempt without an ending, nor end the reader
            self.fail(LinkEnd.INTERNAL, f"{type(error).__name__}: {error}", connected=self._up)
        self._let_go_if_broken()

    def overdue(self, now: float) -> None:
        """Its time to come up is over."""
        if self.rising and now >= self.up_by:
            self.fail(LinkEnd.CONNECT_TIMEOUT, connected=False)
        self._let_go_if_broken()

    def _let_go_if_broken(self) -> None:
        if self.broken and self.reading:
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(self.number)
            self.reading = False

    def _came_up(self) -> None:
        if code := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._not_connected(code)
            return
        self.sock.setblocking(True)  # all is read and written with MSG_DONTWAIT
        with contextlib.suppress(OSError):  # without it, frames may be sent a little later
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch_for(select.EPOLLIN)
        with self._lock:
            self._up = True
        if SOCKET_RECORDER.on:
            self._trace("up")
        self._ready(self)

    def _read(self, endings: list[t.AttemptFinished]) -> None:
        try:
            data = self.sock.recv(_READ, socket.MSG_DONTWAIT)
        except OSError as error:
            if not is_passing(error):  # else there is more to be read, and the reader comes again
                self.fail(LinkEnd.READ_FAILED, str(error))
            return
        if not data:
            self.fail(LinkEnd.CLOSED_BY_PEER)
            return
        at = time.monotonic()
        self._reader.feed(data)
        try:
            while (found := self._reader.next()) is not None:
                self._take(*found, at, endings)
        except FrameError as error:
            if endings:  # in the order in which they came: these before what else was out here
                self._report(list(endings))
                endings.clear()
            self.fail(LinkEnd.PROTOCOL_ERROR, str(error))

    def _take(self, letter: bytes, rest: bytes, at: float, endings: list[t.AttemptFinished]) -> None:
        """One frame off the connection. Raises FrameError if it spoils the connection."""
        if letter != frames.ANSWER:
            raise FrameError(f"frame {letter!r} that nobody asked for")
        answer = frames.read_answer(rest)
        with self._lock:
            held = self.out.pop(answer.id, None)
            known = held or self._gone.pop(answer.id, None) is not None or answer.id in self._past
        if SOCKET_RECORDER.on:
            self._trace("answer", part=answer.id, end=answer.end, waited=held is not None)
        if not known:
            raise FrameError(f"answer to a part {answer.id} that is not out")
        self.used = at
        if held is None:
            return
        errand, result = held.errand, self._value(held.errand.content.shard, answer)
        outcome = _OUTCOMES[answer.end]
        if outcome is AttemptOutcome.OK and result is None:
            endings.append(
                t.AttemptFinished(
                    errand.part, errand.attempt, AttemptOutcome.ERROR, at, None, "spoilt: its value"
                )
            )
            raise FrameError("answer: its value cannot be read")
        why = "" if result else f"the replica answered {answer.end}"
        endings.append(t.AttemptFinished(errand.part, errand.attempt, outcome, at, result, why))

    def _value(self, shard: int, answer: Answer) -> Value | None:
        cell = self._check(answer.value)
        if answer.end != "served" or cell is None or answer.score is None:
            return None
        return Value(shard, answer.score, cell)

    def fail(
        self,
        reason: LinkEnd,
        detail: str = "",
        unwritten: set[str] | None = None,
        connected: bool = True,
    ) -> None:
        """The connection is of no further use: end all that is out on it, once.

        `unwritten`: parts of a frame that the connection did not take.
        """
        why = f"{reason.value}: {detail}" if detail else reason.value
        with self._lock:
            if self.broken:
                return
            self.broken = True
            out, self.out = self.out, {}
            waiting = {
                e.content.id for c in self._pending if isinstance(c, t.BatchRequest) for e in c.attempts
            }
            never = waiting | self._half | (unwritten or set())
            self._pending.clear()
        if SOCKET_RECORDER.on:
            self._trace("broken", why=why, out=sorted(out), never=sorted(never))
        self.shut()
        unsent = len(out) if not connected else len(never & out.keys())
        self._on_end(LinkEnded(self.address, reason, detail, len(out), unsent))
        now = time.monotonic()
        endings = []
        for part, held in out.items():
            outcome = (
                AttemptOutcome.CONNECT_FAILED if not connected or part in never else AttemptOutcome.RESET
            )
            if reason is LinkEnd.LOCAL_FAILURE and outcome is AttemptOutcome.CONNECT_FAILED:
                outcome = AttemptOutcome.NEVER_SENT  # the same proof, and nothing that the replica has done
            endings.append(t.AttemptFinished(held.errand.part, held.errand.attempt, outcome, now, None, why))
        if endings:
            self._report(endings)


def hex_cell(value: bytes) -> str | None:
    """A value as clients get it, or None if it is none: 16 hex digits."""
    if len(value) != 16 or value.strip(b"0123456789abcdef"):
        return None
    return value.decode()
