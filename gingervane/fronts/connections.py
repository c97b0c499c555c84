"""The life of client connections: taken, resting between requests, at work, ending. No HTTP here.

One owner decides what each connection does next: whoever holds `_lock`, under which alone a phase changes. So of
two events that cross (a request comes as its connection is ended, a client leaves as its reply is written, a reply
ends as the server winds down) one is first, and the other finds the phase that it left. The lock is held over calls
that never wait, on sockets that are not at work.

- *Resting*: no byte of a request has been read. Only here is a connection ended for want of use or of room, and only
  while nothing lies unread on it.
- *At work*: a request has begun; one thread of its own has the socket. Nobody else reads, writes or shuts it.
- *Ending*: our side is shut. What still comes is thrown away, never read as a request, within bounds of time, bytes
  and number; so that no reset takes the last reply with it, as a close over unread bytes does.

One thread (`_run`) waits for all that rest, end or may leave; threads for work are made as they are needed.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from math import inf
from queue import Empty, SimpleQueue
from typing import NamedTuple

from gingervane.wire.local_failures import is_passing, patiently, start_thread

LINGER, LINGER_BYTES = 0.5, 1 << 20  # seconds and bytes that an ended connection may still take
MOST_ENDING = 16  # connections at their end, beyond the bound on the others
_SPARE_THREAD = 5.0  # seconds that a thread waits for its next connection
_PAUSE = 0.05  # seconds without taking any, out of descriptors
_THREAD_PATIENCE = 0.3  # seconds that a request waits for a thread before it is refused
_SEND_TRIES = 20  # of a refusal, where memory is short
_LONGEST_WAIT = 0.5  # seconds: what other threads put in meanwhile is looked at no later


class Bounds(NamedTuple):
    """`connections`: not at their end, at most. Seconds: `idle`, `silent` (before a first byte; None: as
    `idle`); with more than `crowd` open, those that have rested for `quiet` may go."""

    connections: int
    idle: float
    silent: float | None
    crowd: int
    quiet: float


class ConnectionEnd(Enum):
    """Why a client's connection was ended from this side, or found ended."""

    IDLE = "idle"
    SILENT = "no first byte"
    CROWDED = "crowded"
    NO_ROOM = "made room"
    OVER_LIMIT = "over the limit"
    NO_THREAD = "no thread"
    AFTER_REPLY = "after its reply"
    SHUTDOWN = "shutdown"
    CLIENT_LEFT = "client left"
    BROKEN = "broken at work"


class After(Enum):
    """What becomes of a connection after work on it. `GONE`: there is nobody to end it with."""

    REST = 0
    END = 1
    GONE = 2


class _Phase(Enum):
    RESTING = 0
    AT_WORK = 1
    ENDING = 2


class Connection:
    """One of them. Its worker may use `sock`; `began` is when the first byte of the present request was seen, `since`
    when the request before it was done with, or when the connection was taken."""

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock, self.since, self.began = sock, now, now
        self.number = sock.fileno()
        self.kept: object = None  # what its worker keeps between requests
        self.replied = (
            -inf
        )  # when the request before this one was done with; the first may lie there since ever
        self.registered = False  # with the poll
        self.waits_since = 0.0  # when a request began that no thread could be had for; 0: none waits
        self._phase, self._gone, self._until, self._drained = _Phase.RESTING, _nobody, inf, 0


def _nobody() -> None:
    """Nobody asked to be told."""


class Connections:
    """All connections of a listener. `work` is called with one whose next request has begun, on a thread of its own;
    it says what is to become of it. `turned_away`: what one past the bound is told."""

    def __init__(
        self,
        listener: socket.socket,
        bounds: Bounds,
        work: Callable[[Connection], After],
        turned_away: bytes,
    ) -> None:
        self._listener, self._bounds, self._work, self._turned_away = listener, bounds, work, turned_away
        listener.setblocking(False)
        self._lock = threading.Lock()
        self._none_left = threading.Condition(self._lock)
        self._poll, self._number = patiently(select.epoll), listener.fileno()
        self._open: dict[int, Connection] = {}
        # Oldest first: those that never spoke, those between requests, those that end.
        self._silent = dict[Connection, None]()
        self._quiet = dict[Connection, None]()
        self._ending = dict[Connection, None]()
        self._jobs: SimpleQueue[Connection] = SimpleQueue()
        self._spare = 0  # threads that wait for a connection, less connections that wait for a thread
        self._paused_to = 0.0
        self._accepting, self._winding_down, self._stopped = True, False, threading.Event()
        self.refused = 0  # past the bound
        self._unarmed = dict[Connection, None]()  # whose news could not be asked for
        self.ends: Counter[str] = Counter()  # by `ConnectionEnd`; changed under the lock
        self.failures: Counter[str] = Counter()  # of system calls, by call and error; changed under the lock

    @property
    def winding_down(self) -> bool:
        """Every reply now ends its connection."""
        return self._winding_down

    def __len__(self) -> int:
        """Those that are not at their end."""
        return len(self._open) - len(self._ending)

    def start(self) -> None:
        patiently(lambda: self._poll.register(self._number, select.EPOLLIN | select.EPOLLONESHOT))
        start_thread(self._run, "connections")

    def wind_down(self) -> None:
        """Go on accepting and serving, but let each reply end its connection, and end those at rest now. A request
        that has come by now is served; of one that comes later no byte is read as such."""
        with self._lock:
            self._winding_down = True
            for one in [*self._silent, *self._quiet]:
                self._end_at_rest(one, ConnectionEnd.SHUTDOWN)

    def stop_accepting(self) -> None:
        """Wind down, and take no new connection but those that the system has taken already."""
        with self._lock:
            if not self._accepting:
                return
            # Guards against requests that came on connections nobody had taken: closing the listener resets them.
            self._take_all()
            self._accepting = False
            with contextlib.suppress(OSError):
                self._poll.unregister(self._number)
            self._listener.close()
        self.wind_down()

    def stop(self, grace: float) -> None:
        """Stop accepting, and give what is at work or at its end `grace` seconds."""
        self.stop_accepting()
        with self._lock:
            self._none_left.wait_for(lambda: not self._open, grace)
        self._stopped.set()

    def watch(self, one: Connection, gone: Callable[[], None]) -> None:
        """Have `gone` called, once, if the client leaves while the connection is at work."""
        with self._lock:
            one._gone = gone
            self._arm(one)

    # ---- the thread that waits

    def _run(self) -> None:
        while not self._stopped.is_set():
            for number, _ in self._look():
                if number == self._number and number not in self._open:
                    with self._lock:
                        self._take_all()
                else:
                    self._seen(number)
            self._expire()
        with self._lock:
            for one in [*self._silent, *self._quiet, *self._ending]:
                self._close(one)
            if self._accepting:
                self._accepting = False
                self._listener.close()

    def _look(self) -> list[tuple[int, int]]:
        """What has happened to the connections and the listener, until something is due."""
        try:
            return self._poll.poll(self._wait())
        except OSError:  # guards the only thread that takes connections
            return []

    def _wait(self) -> float:
        """Seconds until one of those that wait has waited too long."""
        bounds = self._bounds
        with self._lock:
            due = [one.since + (bounds.silent or bounds.idle) for one in _first(self._silent)]
            due += [one.since + bounds.idle for one in _first(self._quiet)]
            due += [one._until for one in _first(self._ending)]
            due += [self._paused_to] if self._paused_to else []
            due += [time.monotonic() + _PAUSE] if self._unarmed else []
        return min(max(min(due, default=inf) - time.monotonic(), 0.001), _LONGEST_WAIT)

    def _seen(self, number: int) -> None:
        """Something has happened to a connection; the number may be a newer one's by now, so each is asked itself."""
        gone, begun = _nobody, None
        with self._lock:
            one = self._open.get(number)
            if one is None:
                return
            if one._phase is _Phase.RESTING:
                begun = one if self._begins(one) else None
            elif one._phase is _Phase.ENDING:
                self._drain(one)
            elif not has_left(one.sock):
                self._arm(one)
            else:
                gone, one._gone = one._gone, _nobody
        gone()
        if begun:
            self._hand_over(begun)

    def _expire(self) -> None:
        """End what has waited too long."""
        bounds, now = self._bounds, time.monotonic()
        with self._lock:
            for one in [one for one in self._ending if one._until <= now]:
                self._close(one)
            for some, longest, reason in (
                (self._silent, bounds.silent or bounds.idle, ConnectionEnd.SILENT),
                (self._quiet, bounds.idle, ConnectionEnd.IDLE),
            ):
                for one in [one for one in some if one.since + longest <= now]:
                    self._end_at_rest(one, reason)
            unarmed, self._unarmed = self._unarmed, {}
            for one in unarmed:
                if self._open.get(one.number) is one:
                    self._arm(one)
            if self._accepting and self._paused_to and self._paused_to <= now:
                self._listen()

    # ---- under the lock

    def _take_all(self) -> None:
        """Take the connections that have come."""
        while self._accepting:
            if len(self._ending) >= MOST_ENDING:  # so that there is a descriptor for one more
                self._close_oldest()
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                self._listen()
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:  # out of descriptors, for instance: those in use must end first
                self._failed("accept", error)
                self._paused_to = time.monotonic() + _PAUSE
                return
            self._take(sock)

    def _listen(self) -> None:
        """Have the next connection that comes told; tried again after a pause if that cannot be asked for now."""
        try:
            self._poll.modify(self._number, select.EPOLLIN | select.EPOLLONESHOT)
            self._paused_to = 0.0
        except OSError as error:
            self._failed("epoll", error)
            self._paused_to = time.monotonic() + _PAUSE

    def _failed(self, call: str, error: OSError) -> None:
        """Count a system call that failed for want of something here."""
        self.failures[f"{call} {errno.errorcode.get(error.errno or 0, 'unknown')}"] += 1

    def _take(self, sock: socket.socket) -> None:
        one = Connection(sock, time.monotonic())
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        full = len(self) >= self._bounds.connections and not self._make_room()
        self._open[one.number] = one
        if full:
            self._turn_away(one, ConnectionEnd.OVER_LIMIT)
            return
        self._silent[one] = None
        self._arm(one)
        if len(self) > self._bounds.crowd:
            # The two that have rested the longest: more than come, so that a crowd shrinks.
            before = time.monotonic() - self._bounds.quiet
            for quiet in [quiet for quiet in _first(self._quiet, 2) if quiet.since < before]:
                self._end_at_rest(quiet, ConnectionEnd.CROWDED)

    def _turn_away(self, one: Connection, reason: ConnectionEnd) -> None:
        """Refuse a connection's request without reading it, and end the connection."""
        self.refused += 1
        for _ in range(_SEND_TRIES):
            try:
                one.sock.send(self._turned_away)  # as a whole: nothing was written there before
                break
            except OSError as error:
                if not is_passing(error):
                    break
                self._failed("send", error)
        self._end(one, reason)

    def _make_room(self) -> bool:
        """End the oldest connection that has said nothing. Guards against hundreds of those keeping all out."""
        if self._bounds.silent is None:  # here a connection may be quiet before it speaks
            return False
        return any(self._end_at_rest(one, ConnectionEnd.NO_ROOM) for one in list(self._silent))

    def _arm(self, one: Connection) -> None:
        """Have the next thing that its phase waits for told once."""
        what = select.EPOLLRDHUP if one._phase is _Phase.AT_WORK else select.EPOLLIN | select.EPOLLRDHUP
        ask = self._poll.modify if one.registered else self._poll.register
        try:
            ask(one.number, what | select.EPOLLONESHOT)
            one.registered = True
        except OSError as error:
            self._failed("epoll", error)
            self._unarmed[one] = None  # asked for again after a pause: what has come is told then

    def _begins(self, one: Connection) -> bool:
        """Whether a request begins on a resting connection; it is at work then."""
        if (found := _unread(one.sock)) is None:
            self._arm(one)
        elif not found:
            self.ends[ConnectionEnd.CLIENT_LEFT.value] += 1
            self._close(one)
        else:
            self._silent.pop(one, None)
            self._quiet.pop(one, None)
            one._phase, one.began = _Phase.AT_WORK, one.waits_since or time.monotonic()
        return bool(found)

    def _end_at_rest(self, one: Connection, reason: ConnectionEnd) -> bool:
        """End a resting connection, unless a request has come on it: that is served."""
        if (found := _unread(one.sock)) is None:
            self._end(one, reason)
        elif not found:
            self.ends[ConnectionEnd.CLIENT_LEFT.value] += 1
            self._close(one)
        return not found

    def _end(self, one: Connection, reason: ConnectionEnd) -> None:
        """Say that nothing more comes from here, and throw away what still comes for a while."""
        self.ends[reason.value] += 1
        self._silent.pop(one, None)
        self._quiet.pop(one, None)
        one._phase, one._until = _Phase.ENDING, time.monotonic() + LINGER
        self._ending[one] = None
        try:
            one.sock.setblocking(False)
            one.sock.shutdown(socket.SHUT_WR)
            self._arm(one)
        except OSError:
            self._close(one)
        if self._stopped.is_set() and one in self._ending:  # nobody is left to wait for it
            self._close(one)
        if len(self._ending) > MOST_ENDING:
            self._close_oldest()

    def _close_oldest(self) -> None:
        """Wait no longer for the one that has been at its end for the longest time."""
        for one in _first(self._ending):
            self._close(one)

    def _drain(self, one: Connection) -> None:
        try:
            data = one.sock.recv(65536)
        except OSError as error:
            if is_passing(error):
                self._arm(one)
                return
            data = b""
        one._drained += len(data)
        if data and one._drained <= LINGER_BYTES:
            self._arm(one)
        else:
            self._close(one)

    def _close(self, one: Connection) -> None:
        for some in (self._silent, self._quiet, self._ending):
            some.pop(one, None)
        del self._open[one.number]
        if one._phase is _Phase.ENDING:
            with contextlib.suppress(
                OSError
            ):  # what lies unread at a close has the system reset the connection
                one.sock.recv(65536)
        one.sock.close()  # which takes it out of the poll too
        if not self._open:
            self._none_left.notify_all()

    # ---- work

    def _hand_over(self, one: Connection) -> None:
        with self._lock:
            waits = self._spare > 0
            self._spare -= waits
        if waits:
            self._jobs.put(one)
            return
        try:
            threading.Thread(target=self._labour, args=(one,), name="client", daemon=True).start()
        except RuntimeError:  # no more threads for now
            with self._lock:
                self._has_no_thread(one)

    def _has_no_thread(self, one: Connection) -> None:
        """A request has begun that nobody can read: looked at again after a pause, and refused in the end."""
        self.failures["thread"] += 1
        one.waits_since = one.waits_since or one.began
        if time.monotonic() - one.waits_since >= _THREAD_PATIENCE:
            self._turn_away(one, ConnectionEnd.NO_THREAD)
            return
        one._phase = _Phase.RESTING
        self._quiet[one] = self._unarmed[one] = None

    def _labour(self, one: Connection | None) -> None:
        while one:
            after = After.GONE
            try:
                after = self._work(one)
            finally:
                self._release(one, after)
            one = self._next()

    def _next(self) -> Connection | None:
        with self._lock:
            self._spare += 1
        while True:
            with contextlib.suppress(Empty):
                return self._jobs.get(timeout=_SPARE_THREAD)
            with self._lock:
                if self._spare > 0:
                    self._spare -= 1
                    return None
            # Nobody spare: a connection is on its way to this thread.

    def _release(self, one: Connection, after: After) -> None:
        """Work on a connection is done."""
        with self._lock:
            one._gone, one.waits_since = _nobody, 0.0
            one.since = one.replied = time.monotonic()
            if after is After.GONE:
                self.ends[ConnectionEnd.BROKEN.value] += 1
                self._close(one)
            elif after is After.END or self._winding_down:
                # Also where winding down began after its reply was written.
                self._end(one, ConnectionEnd.AFTER_REPLY if after is After.END else ConnectionEnd.SHUTDOWN)
            else:
                one._phase = _Phase.RESTING
                one.sock.setblocking(False)
                self._quiet[one] = None
                self._arm(one)


def _first(some: dict[Connection, None], count: int = 1) -> list[Connection]:
    return [one for one, _ in zip(some, range(count), strict=False)]


def _unread(sock: socket.socket) -> bool | None:
    """Whether something lies unread on a socket that does not block: None for nothing, False for its end.

    Where the call fails for want of this machine's resources it is None too: what is to come is looked for again.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError as error:
        return None if is_passing(error) else False


def has_left(sock: socket.socket) -> bool:
    """Whether the other side has closed, or shut its sending side, even behind bytes that lie unread."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP | select.POLLHUP)
    except ValueError:  # it is closed here
        return True
    try:
        return bool(poll.poll(0))
    except OSError:  # of this machine: nothing is known of the client
        return False
