"""One call to discovery, which becomes a watch with its first list: its socket, its progress and its end.

A call waits for its answer until it is interrupted; `discovery.py` decides whether to make further calls and which to
interrupt. Each call has its own thread, in which all its handlers are called.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import time
from dataclasses import dataclass, field
from enum import Enum
from threading import Lock
from typing import Protocol

from gingervane.node.config import Address
from gingervane.node.endpoint_list import EndpointListError
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import FieldValue
from gingervane.telemetry.node_telemetry import Log
from gingervane.wire import http1
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Reader, Response
from gingervane.wire.json_values import JsonSplitter, ValueTooLongError

STALL_TIMEOUT = 2.5  # seconds; discovery sends an empty line every 2 s, and a delay of a quarter is tolerated
_MAX_VALUE_BYTES = 1 << 20  # enough for 1,024 replicas, which take 400 to 600 bytes each when indented
_INTERRUPTION_POLL = 1.0  # seconds between checks whether a connecting call has been interrupted
NOT_REACHED = -1.0  # logged as the time of a step that was not reached


class CallEnd(Enum):
    """Why a call to discovery ended."""

    UNREACHABLE = "unreachable"  # the connection was refused or not established, or there is no route
    BROKEN = "broken"  # the connection was reset, or ended inside a message
    ENDED_BY_DISCOVERY = "ended by discovery"
    STATUS = "status"  # answered with a status other than 200
    MALFORMED = "malformed"  # the answer is not HTTP, or not a list where one is expected
    ANSWERED_ELSEWHERE = "another call was answered"
    SUPERSEDED = "gave way to a newer call"
    ADDRESS_CHANGED = "moved"  # the configuration now names another address
    STOPPED = "stopped"  # the node is stopping
    INTERNAL_ERROR = "internal error"


class StatusError(EndpointListError):
    """Discovery answered a call with a status other than 200."""


@dataclass
class CallProgress:
    """The progress of one call. Times are monotonic seconds, 0 for steps not yet reached.

    `number` counts the calls of this process from 1; `since` is the version from which changes are requested.
    """

    number: int
    address: Address
    since: int = 0
    started_at: float = field(default_factory=time.monotonic)
    connected_at: float = 0.0
    first_byte_at: float = 0.0
    first_list_at: float = 0.0
    lines: int = 0
    lists: int = 0
    bytes: int = 0

    def record_bytes(self, count: int) -> None:
        """Record received bytes."""
        if count and not self.bytes:
            self.first_byte_at = time.monotonic()
        self.bytes += count

    def record_list(self) -> None:
        """Record a valid list or change."""
        if not self.lists:
            self.first_list_at = time.monotonic()
        self.lists += 1

    def log_start(self, log: Log, idle_seconds: float, silent_seconds: float) -> None:
        """Log the start of the call.

        `idle_seconds`: since the previous call ended; `silent_seconds`: since the last line on any call.
        """
        log(
            LogEvent.DISCOVERY_CALL_STARTED,
            call=self.number,
            discovery=_format_address(self.address),
            since=self.since,
            idle_seconds=round(idle_seconds, 3),
            silent_seconds=round(silent_seconds, 3),
        )

    def log_end(self, log: Log, reason: CallEnd, detail: str) -> None:
        """Log why the call ended, its duration, and the seconds from its start to each step."""
        fields: dict[str, FieldValue] = {
            "call": self.number,
            "discovery": _format_address(self.address),
            "reason": reason,
            "detail": detail,
            "seconds": round(time.monotonic() - self.started_at, 3),
            "connected_seconds": self._seconds_after_start(self.connected_at),
            "first_byte_seconds": self._seconds_after_start(self.first_byte_at),
            "first_list_seconds": self._seconds_after_start(self.first_list_at),
            "lines": self.lines,
            "lists": self.lists,
            "bytes": self.bytes,
        }
        log(LogEvent.DISCOVERY_CALL_ENDED, **fields)

    def _seconds_after_start(self, at: float) -> float:
        return round(at - self.started_at, 3) if at else NOT_REACHED


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class CallHandlers(Protocol):
    """Handlers of a call's events, called in the call's thread."""

    def call_accepted(self, call: DiscoveryCall) -> None:
        """Handle the establishment of the call's connection."""

    def line_received(self, call: DiscoveryCall) -> None:
        """Handle a received line, whatever its content."""

    def value_received(self, call: DiscoveryCall, value: bytes, is_json: bool) -> None:
        """Handle a received value, which should be a list or a change."""

    def watch_stalled(self, call: DiscoveryCall) -> None:
        """Handle a watch that has received no line within the timeout. It stays open."""


class DiscoveryCall:
    """One call. Its thread calls `run`; any other may call `interrupt`."""

    def __init__(self, progress: CallProgress, handlers: CallHandlers) -> None:
        self.progress = progress
        self.interrupted: CallEnd | None = None  # the reason, once the call is interrupted
        self.is_accepted = False  # its connection was established; set by the call's thread
        self.has_list = False  # a list was received, which makes this a watch; set by the call's thread
        self.is_stalled = False  # a watch that received no line within the timeout; set by the call's thread
        self._handlers = handlers
        self._lock = Lock()
        self._sock: socket.socket | None = None
        self._last_line_at: float | None = None  # when the last line, or the first list, was received

    @property
    def is_watch(self) -> bool:
        """Whether the endpoint list is watched on this call."""
        return self.has_list and not self.is_stalled and not self.interrupted

    @property
    def is_waiting(self) -> bool:
        """Whether discovery has accepted the call and may still answer it with a first list."""
        return self.is_accepted and not self.has_list and not self.interrupted

    def interrupt(self, reason: CallEnd) -> None:
        """End the call as soon as possible."""
        with self._lock:
            self.interrupted = self.interrupted or reason
            if self._sock:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> tuple[CallEnd, str]:
        """Make the call and read until it ends; return the reason and a detail text."""
        reason, detail = CallEnd.ENDED_BY_DISCOVERY, ""
        try:
            self._request_and_read()
        except (OSError, HttpError, ConnectionClosedError, EndpointListError, ValueTooLongError) as error:
            reason, detail = _classify_error(error, self.progress), str(error) or type(error).__name__
        except Exception as error:  # noqa: BLE001 - a bug must not end a thread that receives changes
            reason, detail = CallEnd.INTERNAL_ERROR, f"internal: {type(error).__name__}: {error}"
        return self.interrupted or reason, detail

    def _request_and_read(self) -> None:
        """Send the request and read the answer to its end. Raises ConnectionClosedError there unless interrupted."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        address = self.progress.address
        try:
            sock.setblocking(False)
            code = sock.connect_ex(address)
            # Published while it is still connecting, so that an interruption can shut it down.
            with self._lock:
                if self.interrupted:
                    return
                self._sock = sock
            self._await_connection(sock, code)
            self.progress.connected_at = time.monotonic()
            self._handlers.call_accepted(self)
            sock.settimeout(None)
            target = f"/v1/endpoints?follow=1&since={self.progress.since}"
            sock.sendall(
                http1.encode_head(f"GET {target} HTTP/1.1", [("Host", f"{address[0]}:{address[1]}")])
            )
            reader = Reader(lambda most: self._receive(sock, most), Limits(body=_MAX_VALUE_BYTES))
            reply = reader.response()
            if reply.status != 200:
                raise StatusError(f"discovery: answered {reply.status} to a watch")
            self._read_events(reader, reply)
            raise ConnectionClosedError(clean=True)
        finally:
            with self._lock:
                self._sock = None
            sock.close()

    def _await_connection(self, sock: socket.socket, code: int) -> None:
        """Wait for the connection until the kernel gives up. `code`: the result of `connect_ex`. Raises OSError."""
        if code in (errno.EINPROGRESS, errno.EINTR):
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            while not poll.poll(_INTERRUPTION_POLL * 1000):
                if self.interrupted:
                    raise ConnectionClosedError(clean=False)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    def _receive(self, sock: socket.socket, most: int) -> bytes:
        """Return the next bytes; report a stalled watch if no line is received in time."""
        while True:
            sock.settimeout(self._seconds_to_stall())
            try:
                data = sock.recv(most)
            except TimeoutError as error:
                if error.errno:  # raised by the kernel: the connection is dead
                    raise
                self._handlers.watch_stalled(self)
            else:
                self.progress.record_bytes(len(data))
                return data

    def _seconds_to_stall(self) -> float | None:
        """Seconds until the watch counts as stalled; None for a call without a list or already stalled."""
        if not self.has_list or self.is_stalled or self._last_line_at is None:
            return None
        return max(self._last_line_at + STALL_TIMEOUT - time.monotonic(), 0.001)

    def _read_events(self, reader: Reader, reply: Response) -> None:
        """Read watch events to the end of the body. Lists may be indented."""
        values = JsonSplitter(_MAX_VALUE_BYTES)
        for data in reader.iter_body(reply.headers):
            if b"\n" in data:
                self._last_line_at = time.monotonic()
                self.progress.lines += 1
                self._handlers.line_received(self)
            for value, is_json in values.feed(data):
                self._handlers.value_received(self, value, is_json)
                if self._last_line_at is None and self.has_list:  # its line end has not been received yet
                    self._last_line_at = time.monotonic()


def _classify_error(error: Exception, progress: CallProgress) -> CallEnd:
    """Return the reason to log for the error that ended a call."""
    match error:
        case StatusError():
            return CallEnd.STATUS
        case ConnectionClosedError(clean=True):
            return CallEnd.ENDED_BY_DISCOVERY
        case OSError() if not progress.connected_at:
            return CallEnd.UNREACHABLE
        case OSError() | ConnectionClosedError():
            return CallEnd.BROKEN
    return CallEnd.MALFORMED
