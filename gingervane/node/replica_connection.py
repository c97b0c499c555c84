"""One connection to a replica, which carries many parts at once: connecting, connected, broken.

Threads: only the decision thread sends batches, abandons parts, writes and closes; it never waits. The reader thread
of `replica_connections.py` completes or fails connecting and reads replies. The lock guards the parts in flight and
the frame queue, and is never held during I/O. The decision thread closes the socket only after the reader has stopped
polling it (`polled`), so that neither thread uses a descriptor number that was reused.

The connection reports each attempt of a batch once, or not at all if the driver ended it; the driver drops a second
report. Nothing is decided here: times come from the settings, the batch and the protocol.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import time
from collections.abc import Callable
from threading import Lock

from gingervane.coordinator import types as t
from gingervane.interface import AttemptOutcome
from gingervane.node.connection_recorder import ConnectionRecorder
from gingervane.node.frame_queue import FrameQueue, OutgoingFrame
from gingervane.node.parts_in_flight import PartInFlight, PartsInFlight
from gingervane.node.replica_connection_types import (
    DecodeCell,
    OnConnectionClosed,
    ReplicaCloseReason,
    ReplicaConnectionClosed,
    ReplicaConnectionLimits,
    ReportAttempts,
)
from gingervane.node.reply_reader import ReplyReader
from gingervane.wire import frames
from gingervane.wire.frames import FrameError
from gingervane.wire.local_failures import is_local_failure, is_transient
from gingervane.wire.socket_recorder import SOCKET_RECORDER

_RECEIVE_BYTES = 65536
_FRAME_PREFIX_BYTES = 5  # a frame's length field and type


class ReplicaConnection:
    """One connection. The reader calls `on_writable` whenever the socket becomes writable, also when it connects."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: ReplicaConnectionLimits,
        report: ReportAttempts,
        decode_cell: DecodeCell,
        on_writable: Callable[[ReplicaConnection], None],
        poll: select.epoll,
        on_closed: OnConnectionClosed,
    ) -> None:
        self.address = address
        self._limits = limits
        self._report = report
        self._on_closed = on_closed
        self._on_writable = on_writable
        self._lock = Lock()
        self._poll = poll
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.number = self.sock.fileno()
        now = time.monotonic()
        self._parts = PartsInFlight(now)
        self._queue = FrameQueue()
        self._recorder = ConnectionRecorder(self.sock, address, self._parts)
        self._replies = ReplyReader(self._parts, self._lock, decode_cell, self._recorder)
        self.connect_deadline = now + limits.connect_timeout
        self._connected = False  # frames may be written
        self.broken = False
        self.polled = False  # the reader polls the socket
        self.retired = False  # accepts no new batches; closed once nothing is in flight

    @property
    def in_flight(self) -> dict[str, PartInFlight]:
        """The parts in flight, by id."""
        return self._parts.by_id

    @property
    def last_used(self) -> float:
        """When a batch was last added or a reply last read."""
        return self._parts.last_used

    @property
    def is_connecting(self) -> bool:
        """Whether the connection is neither established nor failed yet."""
        return not self._connected and not self.broken

    @property
    def can_close_socket(self) -> bool:
        """Whether neither thread uses the socket any more."""
        return self.broken and not self.polled

    # ---- the decision thread: connecting, batches

    def connect(self) -> None:
        """Begin to connect. The reader, with which this must be registered already, handles the outcome."""
        self.sock.setblocking(False)
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # an interrupted connect continues in the kernel
            self._fail_connect(code)
            return
        try:
            self._poll.register(self.number, select.EPOLLOUT)
        except OSError as error:  # must not end the decision thread, which runs this
            self.fail(ReplicaCloseReason.LOCAL_FAILURE, f"epoll: {error}", connected=False)
            return
        self.polled = True

    def can_take(self, parts: int, now: float) -> bool:
        """Whether a batch of `parts` parts may be sent on this connection."""
        if self.broken or self.retired or not self._has_streams(parts, now):
            return False
        return bool(self.in_flight) or now - self.last_used < self._limits.idle_timeout

    def _has_streams(self, parts: int, now: float) -> bool:
        """Whether the connection has that many free streams, so that the replica reads the parts at once.

        The replica may still run an abandoned part, which then occupies its stream. A part beyond the streams of a
        connection stays unread, and arrives long after its query has completed.
        """
        if self._parts.streams_used + parts > self._limits.streams:
            with self._lock:
                self._parts.expire(now)
        return self._parts.streams_used + parts <= self._limits.streams

    def send_batch(self, batch: t.BatchRequest, now: float) -> bool:
        """Queue a batch and write as much as possible; return False if the connection is broken."""
        with self._lock:
            if self.broken:
                return False
            self._parts.add(batch, now)
            self._queue.add(batch)
        batch.transport_token = self
        self.flush()
        return True

    def abandon(self, request: t.AttemptRequest, notify_replica: bool, expired: bool) -> None:
        """Stop waiting for an attempt. `notify_replica`: its replica is to cancel it; `expired`: it has expired."""
        part_id = request.content.id
        with self._lock:
            if self.broken or not self._parts.holds(request):
                return
            is_partially_sent = self._queue.is_partially_sent(part_id)
            if notify_replica or expired:
                self._parts.abandon(part_id)
            if notify_replica and not is_partially_sent:
                self._queue.add(frames.encode_cancel(part_id))
        if is_partially_sent:
            # The frame must never be completed: the part would arrive after its query's completion.
            self.fail(ReplicaCloseReason.CANCELLED_IN_FRAME)
        elif notify_replica:
            self.flush()

    # ---- the decision thread: writing

    def flush(self) -> None:
        """Write queued frames until the socket's buffer is full."""
        while True:
            with self._lock:
                if self.broken or not self._connected or not self._queue:
                    return
                item = self._queue.take()
            if not isinstance(item, OutgoingFrame):
                frame = self._encode(item)
            elif item.parts and item.is_overdue(time.monotonic()):
                self.fail(ReplicaCloseReason.OVERDUE_IN_FRAME, unwritten=item.parts)
                return
            else:
                frame = item
            if frame.data and not self._write(frame):
                return

    def _write(self, frame: OutgoingFrame) -> bool:
        """Write a frame; return whether it was written completely."""
        sent = 0
        try:
            sent = self.sock.send(frame.data, socket.MSG_DONTWAIT)
        except OSError as error:
            if not is_transient(error):
                self.fail(ReplicaCloseReason.WRITE_FAILED, str(error), unwritten=frame.parts)
                return False
        is_complete = sent == len(frame.data)
        with self._lock:
            self._queue.partial = None if is_complete else frame.remaining_after(sent)
        if not is_complete:
            self._request_events(select.EPOLLIN | select.EPOLLOUT)
        return is_complete

    def _encode(self, item: t.BatchRequest | bytes) -> OutgoingFrame:
        """Encode a batch or a cancellation as a frame, which is empty if no part of the batch may be sent now."""
        encoded_at = time.monotonic()
        if isinstance(item, bytes):
            frame = OutgoingFrame(item, set(), None, encoded_at)
        else:
            has_retry = any(request.attempt for request in item.attempts)
            data, parts = self._encode_batch(item)
            frame = OutgoingFrame(data, parts, item if has_retry else None, encoded_at)
        if frame.data and SOCKET_RECORDER.enabled:
            kind = "call" if frame.parts else "cancel"
            self._recorder.record(
                kind, parts=sorted(frame.parts) or frame.data[_FRAME_PREFIX_BYTES:].decode()
            )
        return frame

    def _encode_batch(self, batch: t.BatchRequest) -> tuple[bytes, set[str]]:
        """Encode the parts of a batch that may be sent now; return the frame and their ids, both empty for none."""
        now = time.monotonic()
        requests, unsendable = batch.claim_sendable(now)
        sendable = {request.content.id for request in requests}
        if len(requests) < len(batch.attempts):
            with self._lock:
                self._parts.remove_unsendable(batch, sendable)
        if unsendable:
            self._report_never_sent(unsendable, now)
        if not requests:
            return b"", set()
        contents = [request.content for request in requests]
        return batch.codec.encode(contents, batch.seconds_left(requests, now), batch.address), sendable

    def _report_never_sent(self, unsendable: list[t.AttemptRequest], now: float) -> None:
        outcome, detail = AttemptOutcome.NEVER_SENT, "waited too long"
        self._report(
            [
                t.AttemptFinished(request.part, request.attempt, outcome, now, None, detail)
                for request in unsendable
            ]
        )

    # ---- the reader

    def handle_event(self, events: int, finished: list[t.AttemptFinished]) -> None:
        """Handle events of the socket; append the attempts that replies finish to `finished`."""
        try:
            if self.is_connecting:
                self._finish_connect()
            elif not self.broken:
                if events & select.EPOLLOUT:
                    self._request_events(select.EPOLLIN)
                    self._on_writable(self)
                if events & ~select.EPOLLOUT:
                    self._receive(finished)
        # A bug must not leave an attempt without an outcome, nor end the reader.
        except Exception as error:  # noqa: BLE001
            detail = f"{type(error).__name__}: {error}"
            self.fail(ReplicaCloseReason.INTERNAL_ERROR, detail, connected=self._connected)
        self._unregister_if_broken()

    def check_connect_timeout(self, now: float) -> None:
        """Fail the connection if it was not established within the connect timeout."""
        if self.is_connecting and now >= self.connect_deadline:
            self.fail(ReplicaCloseReason.CONNECT_TIMEOUT, connected=False)
        self._unregister_if_broken()

    def _unregister_if_broken(self) -> None:
        if self.broken and self.polled:
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(self.number)
            self.polled = False

    def _finish_connect(self) -> None:
        """Begin to use an established connection, or fail it if connecting failed."""
        if code := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail_connect(code)
            return
        self.sock.setblocking(True)  # reads and writes use MSG_DONTWAIT
        with contextlib.suppress(OSError):  # without TCP_NODELAY frames may only be delayed a little
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request_events(select.EPOLLIN)
        with self._lock:
            self._connected = True
        if SOCKET_RECORDER.enabled:
            self._recorder.record("up")
        self._on_writable(self)

    def _receive(self, finished: list[t.AttemptFinished]) -> None:
        try:
            data = self.sock.recv(_RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except OSError as error:
            if not is_transient(error):  # after a transient error the reader polls and reads again
                self.fail(ReplicaCloseReason.READ_FAILED, str(error))
            return
        if not data:
            self.fail(ReplicaCloseReason.CLOSED_BY_PEER)
            return
        try:
            self._replies.read(data, time.monotonic(), finished)
        except FrameError as error:
            if finished:  # reported first, to keep the order: `fail` reports the other parts in flight
                self._report(list(finished))
                finished.clear()
            self.fail(ReplicaCloseReason.PROTOCOL_ERROR, str(error))

    # ---- both threads

    def _request_events(self, events: int) -> None:
        try:
            self._poll.modify(self.number, events)
        except (OSError, ValueError) as error:
            # No further event would reach the reader. If it has stopped polling, the connection is already broken.
            self.fail(ReplicaCloseReason.LOCAL_FAILURE, f"epoll: {error}")

    def _fail_connect(self, code: int) -> None:
        """Fail the connection with the error number from connecting."""
        reason = (
            ReplicaCloseReason.LOCAL_FAILURE if is_local_failure(code) else ReplicaCloseReason.CONNECT_FAILED
        )
        self.fail(reason, os.strerror(code), connected=False)

    def fail(
        self,
        reason: ReplicaCloseReason,
        detail: str = "",
        unwritten: set[str] | None = None,
        connected: bool = True,
    ) -> None:
        """Break the connection and finish all attempts in flight on it. Only the first call has an effect.

        `unwritten`: ids of parts whose frame was not completely written; `connected`: whether it was established.
        """
        text = f"{reason.value}: {detail}" if detail else reason.value
        with self._lock:
            if self.broken:
                return
            self.broken = True
            parts = self._parts.take_all()
            unsent = self._queue.unsent_parts() | (unwritten or set())
            self._queue.clear()
        if SOCKET_RECORDER.enabled:
            self._recorder.record("broken", why=text, out=sorted(parts), never=sorted(unsent))
        self.shut_down()
        unsent_count = len(unsent & parts.keys()) if connected else len(parts)
        self._on_closed(ReplicaConnectionClosed(self.address, reason, detail, len(parts), unsent_count))
        if not connected:
            unsent = set(parts)
        self._report_broken(parts, unsent, reason, text)

    def _report_broken(
        self, parts: dict[str, PartInFlight], unsent: set[str], reason: ReplicaCloseReason, detail: str
    ) -> None:
        """Report the attempts that ended with the connection; those in `unsent` are known never to have run."""
        now = time.monotonic()
        # Both outcomes state that the attempt never ran; after a local failure it must not count against the replica.
        is_local_failure = reason is ReplicaCloseReason.LOCAL_FAILURE
        never_ran = AttemptOutcome.NEVER_SENT if is_local_failure else AttemptOutcome.CONNECT_FAILED
        finished = []
        for part_id, part in parts.items():
            outcome = never_ran if part_id in unsent else AttemptOutcome.RESET
            request = part.request
            finished.append(t.AttemptFinished(request.part, request.attempt, outcome, now, None, detail))
        if finished:
            self._report(finished)

    def shut_down(self) -> None:
        """Shut down the socket, which makes the reader stop polling it."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
