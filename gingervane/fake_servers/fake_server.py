"""Base class of the fake servers: a server on loopback with a capacity model and injected faults.

One process may run many servers. Each server has a thread that accepts connections (and resets them when the
server goes down) and one thread per connection. Its lock guards its capacity and schedule and is never held
over I/O.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import struct
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Self

from gingervane.fake_servers.capacity import Capacity, Job, Model
from gingervane.fake_servers.faults import Fault, FaultError, Schedule
from gingervane.fake_servers.recorder import Recorder
from gingervane.wire import http1
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Request

DEFAULT_MODEL = Model()
REQUEST_LIMITS = Limits(16384, 16 << 20)  # bytes of a request's head and of its body
QUEUE_FULL_FIELDS = (("Retry-After", "1"), ("Gingervane-Began", "no"))
_BACKLOG = 512  # connections that may wait to be accepted
_OVERLOAD_DOWNTIME = 1e6  # seconds that an overloaded server stays down
_ACCEPT_POLL = 20  # milliseconds between checks of the schedule
_DOWN_POLL = 0.005  # seconds between checks of the clock while the server is down
_WORK_POLL = 0.1  # seconds between checks of the schedule while a job runs
_IDLE_TIMEOUT = 60.0  # seconds without a byte of a request
_UNANSWERED_TIMEOUT = 120.0  # seconds that an unanswered connection is kept open
_SEND_TIMEOUT = 30.0  # seconds
_STOP_TIMEOUT = 5.0  # seconds
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close resets the connection


class FakeServer(ABC):
    """One server on its own port. Its slow start begins at `started_at`, which by default is long past."""

    def __init__(
        self,
        number: int,
        model: Model = DEFAULT_MODEL,
        faults: Iterable[Fault] = (),
        recorder: Recorder | None = None,
        started_at: float = 0.0,
    ) -> None:
        self.id = number
        self.model = model
        self.schedule = Schedule(faults, number)
        self.served = 0  # parts answered
        self._recorder = recorder or Recorder(None)
        self._capacity = Capacity(model, started_at)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=_BACKLOG)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._stop = threading.Event()
        self._calls = 0
        self._thread = threading.Thread(target=self._run, name=f"node-{number}", daemon=True)

    def start(self) -> Self:
        """Start to accept connections."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Reset all connections and close the port."""
        self._stop.set()
        self._reset_connections()
        self._listener.close()
        self._thread.join(_STOP_TIMEOUT)

    @property
    def is_overloaded(self) -> bool:
        """Whether the server has been overloaded and stays down."""
        return self._capacity.is_overloaded

    def fault(
        self, kind: str, seconds: float, size: float = 1.0, delay: float = 0.0, how: str = "crash"
    ) -> None:
        """Schedule a fault that begins in `delay` seconds. Raises FaultError."""
        with self._lock:
            self.schedule.add(Fault(kind, time.monotonic() + delay, seconds, size, how))

    @abstractmethod
    def _answer(self, sock: socket.socket, request: Request, body: bytes) -> bool:
        """Answer one request; return False if the connection is to be closed."""

    # ---- up and down

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._listener, select.POLLIN)
        while not self._stop.is_set():
            if down := self.schedule.down(time.monotonic()):
                self._go_down(*down)
                poll = select.poll()
                if not self._stop.is_set():
                    poll.register(self._listener, select.POLLIN)
                continue
            if not poll.poll(_ACCEPT_POLL):
                continue
            with contextlib.suppress(OSError):
                sock, _ = self._listener.accept()
                with self._lock:
                    self._connections.add(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _go_down(self, until: float, how: str) -> None:
        """Stay down until a time, then begin slow start.

        A crash closes the port and resets all connections at once; a server that vanishes answers nothing and
        resets its connections at the end.
        """
        self._recorder.put("down", node=self.id, until=until, how=how)
        if how == "crash":
            self._listener.close()
            self._reset_connections()
        while time.monotonic() < until and not self._stop.wait(_DOWN_POLL):
            pass
        if how == "vanish":
            self._reset_connections()
        if self._stop.is_set():
            return
        with self._lock:
            self._capacity = Capacity(self.model, time.monotonic())
        if how == "crash":
            self._listener = socket.create_server(self.address, backlog=_BACKLOG)
        self._recorder.put("up", node=self.id)

    def _reset_connections(self) -> None:
        with self._lock:
            connections, self._connections = self._connections, set()
        for sock in connections:
            with contextlib.suppress(OSError):
                self._reset_on_close(sock)
                sock.shutdown(socket.SHUT_RDWR)

    def _reset_on_close(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)

    def _is_unresponsive(self, now: float) -> bool:
        """Whether the server neither reads nor answers anything."""
        if self.schedule.find("say_nothing", now):
            return True
        down = self.schedule.down(now)
        return down is not None and down[1] == "vanish"

    # ---- one connection

    def _serve(self, sock: socket.socket) -> None:
        def receive(size: int) -> bytes:
            sock.settimeout(_IDLE_TIMEOUT)
            return sock.recv(size)

        reader = http1.Reader(receive, REQUEST_LIMITS)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_requests(sock, reader)
        except HttpError as error:
            with contextlib.suppress(OSError):
                sock.sendall(
                    http1.encode_response(error.status, [("Connection", "close")], error.detail.encode())
                )
        except (OSError, ConnectionClosedError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _serve_requests(self, sock: socket.socket, reader: http1.Reader) -> None:
        last = time.monotonic()
        while not self._stop.is_set():
            request = reader.request()
            now = time.monotonic()
            reap = self.schedule.find("idle_reap", now)
            if reap and now - last > reap.size:
                self._wait_for_close(sock)  # as if a middlebox had dropped the connection without a reset
                return
            body = reader.body(request.headers)
            if not self._answer(sock, request, body):
                return
            last = time.monotonic()

    def _wait_for_close(self, sock: socket.socket) -> None:
        """Discard all input without an answer until the peer closes the connection."""
        with contextlib.suppress(OSError):
            sock.settimeout(_UNANSWERED_TIMEOUT)
            while sock.recv(65536):
                pass

    def _control(self, sock: socket.socket, body: bytes) -> bool:
        """Schedule a fault given as JSON with kind, seconds and, optionally, size, delay and how."""
        try:
            arguments = json.loads(body)
            self.fault(**arguments)
        except (ValueError, TypeError, FaultError) as error:
            return self._send(sock, 400, str(error).encode())
        return self._send(sock, 200, b"scheduled")

    def _send(
        self,
        sock: socket.socket,
        status: int,
        body: bytes,
        fields: tuple[tuple[str, str], ...] = (),
    ) -> bool:
        """Send a response with one line of plain text."""
        sock.settimeout(_SEND_TIMEOUT)
        sock.sendall(http1.encode_response(status, [("Content-Type", "text/plain"), *fields], body + b"\n"))
        return True

    # ---- work

    def _next_call(self) -> int:
        with self._lock:
            self._calls += 1
            return self._calls

    def _queue(self, now: float, parts: int) -> Job | None:
        """Queue the work on a number of parts; None if it is rejected. An overload takes the server down."""
        with self._lock:
            job = None
            if not self.schedule.affects_request("reject", now):
                job = self._capacity.take(now, parts, self.schedule.slowness(now))
            if self._capacity.is_overloaded:
                self._recorder.put("fell", node=self.id)
                self.schedule.add(Fault("vanish", now, _OVERLOAD_DOWNTIME))
        return job

    def _work(self, sock: socket.socket, job: Job) -> bool:
        """Wait until a job is done; return False if the peer disconnects or the server goes down first."""
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        end = job.end
        while (now := time.monotonic()) < (end := max(end, self.schedule.paused_until(now))):
            if poll.poll(min(end - now, _WORK_POLL) * 1000) or self.schedule.down(time.monotonic()):
                with self._lock:
                    self._capacity.drop(job, time.monotonic())
                return False
        return True

    def _never_answers(self, now: float) -> bool:
        """Whether a request that arrived at `now` is never answered."""
        return self.schedule.leaves_unanswered(now) or self.schedule.affects_request("lose_answers", now)
