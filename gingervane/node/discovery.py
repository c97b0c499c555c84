"""Follows discovery: one watch at a time, started whenever the module wants one.

Owners: one thread connects, reads and notifies the core. `request_watch` (the decision thread, as the module asks for
a watch) and `change_address` (the main thread, on a new configuration) only set what it looks at and wake it, under
`_change`.

What a silent watch misses counts as notified 6 s after it fell silent, and any change so long after discovery could
be reached (STANDING.md, the acceptance's terms). So a request has `SILENCE_TIMEOUT` for everything up to its first
line, and each line has as much; bytes that end no line do not count. The module's backoff between requests leaves
room for that.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import time
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum
from math import inf
from threading import Condition

import orjson

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.node.config import Address
from gingervane.node.discovery_call import CallEnd, CallProgress
from gingervane.node.endpoint_list import EndpointListError, EndpointListReader
from gingervane.telemetry.node_telemetry import Log
from gingervane.wire import http1
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Reader, Response
from gingervane.wire.json_values import JsonSplitter, ValueTooLongError
from gingervane.wire.local_failures import start_thread

SILENCE_TIMEOUT = 3.0  # seconds: an empty line is due every 2 s, and one that is late by half is not coming
_MAX_VALUE_BYTES = 1 << 20  # a list of 1,024 replicas takes 400 to 600 bytes for each, indented
_MAX_LOGGED_VALUE = 100  # bytes of a value that is no JSON


class WatchState(Enum):
    """The phase of the watch."""

    IDLE = "idle"  # no watch is wanted, or the module's backoff runs
    CONNECTING = "calling"  # a request is under way
    WATCHING = "following"  # a list or a change has come on it


class StatusError(EndpointListError):
    """Discovery has answered a call with a status other than 200."""


class DiscoveryWatch:
    """Follows discovery from `start` to `stop`."""

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        on_update: Callable[[EndpointsUpdated], None],
        log: Log,
        answer_timeout: float = inf,
    ) -> None:
        """`answer_timeout`: seconds for a request up to its first line, if fewer than `SILENCE_TIMEOUT`."""
        self._address = address
        self._reader = reader
        self._on_update = on_update
        self._log = log
        self._answer_timeout = answer_timeout
        self._change = Condition()
        self._requested = False
        self._moved = False
        self._stopped = False
        self._in_progress = False  # a request is under way, or its watch
        self._retry_pending = (
            False  # the module has been notified of a failure and will ask for the next watch
        )
        self._sock: socket.socket | None = None
        self._line_deadline = inf  # of the watch's own thread
        self._state = WatchState.IDLE  # of the watch's own thread
        self._call_ends = Counter[str]()  # of the watch's own thread; others read it
        self._call_count = 0
        self._call_ended_at = time.monotonic()
        self._last_line_at = time.monotonic()  # the start, as long as none has come
        self._longest_silence = 0.0  # seconds

    def start(self) -> None:
        """Start the thread that follows discovery."""
        start_thread(self._run, "discovery")

    def request_watch(self) -> None:
        """Start a watch, as the module wants changes pushed."""
        with self._change:
            self._retry_pending = False
            # Guards against a wish that outlives its watch: the next failure would be answered without any backoff.
            self._requested = not self._in_progress
            self._change.notify()

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address from now on; no backoff that runs is waited for."""
        with self._change:
            if address == self._address:
                return
            self._address = address
            self._moved = True
            self._change.notify()
            self._interrupt()

    def stop(self) -> None:
        """Follow discovery no more."""
        with self._change:
            self._stopped = True
            self._change.notify()
            self._interrupt()

    def call_ends(self) -> Mapping[str, int]:
        """Return the number of calls by how they ended; any thread."""
        return self._call_ends.copy()

    def silence(self) -> Mapping[str, int]:
        """Return the longest time without a line from discovery, the present one included; any thread."""
        seconds = max(self._longest_silence, time.monotonic() - self._last_line_at)
        return {"longest_ms": int(seconds * 1000)}

    def _interrupt(self) -> None:
        if self._sock:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _set_state(self, state: WatchState, reason: str = "") -> None:
        if state is self._state:
            return
        old = self._state
        self._state = state
        address = f"{self._address[0]}:{self._address[1]}"
        self._log("watch_state_changed", old=old, new=state, reason=reason, discovery=address)

    def _run(self) -> None:
        while (address := self._await_request()) is not None:
            self._set_state(WatchState.CONNECTING, f"since={self._reader.version}")
            reason = self._watch_until_failure(address)
            with self._change:
                self._in_progress = False
                moved = self._moved or self._stopped
                notified = self._retry_pending
                self._retry_pending = notified or not moved
            self._set_state(WatchState.IDLE, "moved" if moved else reason)
            # The module says when to retry; one backoff at a time, so that requests do not add up.
            if not moved and not notified:
                failed = api.MembershipChanged(api.MembershipUpdateKind.FAILED, ())
                self._on_update(EndpointsUpdated(failed, {}))

    def _await_request(self) -> Address | None:
        """Wait until a watch is wanted, and return the address to follow; None at the end."""
        with self._change:
            while not (self._requested or self._moved or self._stopped):
                self._change.wait()
            if self._stopped:
                return None
            if self._moved:
                # Guards against changes dropped for good: there the versions may be others. All is asked for.
                self._reader.version = 0
            self._requested = False
            self._moved = False
            self._in_progress = True
            return self._address

    def _watch_until_failure(self, address: Address) -> str:
        """Watch once, and return why the watch ended; empty if it was moved or stopped before it connected."""
        self._call_count += 1
        call = CallProgress(self._call_count, address, self._reader.version)
        call.log_start(self._log, call.started_at - self._call_ended_at, call.started_at - self._last_line_at)
        detail = ""
        reason = CallEnd.MOVED
        try:
            self._watch_once(address, call)
        except (OSError, HttpError, ConnectionClosedError, EndpointListError, ValueTooLongError) as error:
            detail = str(error) or type(error).__name__
            reason = CallEnd.MOVED if self._is_interrupted() else _call_end_of(error, call)
        except Exception as error:  # noqa: BLE001 - a bug must not end the only thread that hears of changes
            detail = f"internal: {type(error).__name__}: {error}"
            reason = CallEnd.INTERNAL
        call.log_end(self._log, reason, detail)
        self._call_ends[reason.value] += 1
        self._call_ended_at = time.monotonic()
        return detail

    def _is_interrupted(self) -> bool:
        with self._change:
            return self._moved or self._stopped

    def _record_line(self, call: CallProgress) -> None:
        """Note a line: up to now nothing else has changed, whatever is in it."""
        now = time.monotonic()
        call.lines += 1
        self._longest_silence = max(self._longest_silence, now - self._last_line_at)
        self._last_line_at = now
        self._line_deadline = now + SILENCE_TIMEOUT
        self._reader.record_activity()

    def _watch_once(self, address: Address, call: CallProgress) -> None:
        """Send one request and follow its watch to the end, which is an error whatever it is."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._line_deadline = time.monotonic() + min(SILENCE_TIMEOUT, self._answer_timeout)

        def receive(most: int) -> bytes:
            sock.settimeout(self._time_left())
            data = sock.recv(most)
            call.record_bytes(len(data))
            return data

        try:
            sock.setblocking(False)
            code = sock.connect_ex(address)
            # Known once it connects, which is not waited for before: a move that comes now finds something to shut.
            with self._change:
                if self._moved or self._stopped:
                    return
                self._sock = sock
            _await_connection(sock, code, self._time_left())
            call.connected_at = time.monotonic()
            sock.settimeout(self._time_left())
            target = f"/v1/endpoints?follow=1&since={call.since}"
            sock.sendall(
                http1.encode_head(f"GET {target} HTTP/1.1", [("Host", f"{address[0]}:{address[1]}")])
            )
            reader = Reader(receive, Limits(body=_MAX_VALUE_BYTES))
            reply = reader.response()
            if reply.status != 200:
                raise StatusError(f"discovery: answered {reply.status} to a watch")
            self._read_events(reader, reply, call)
            raise ConnectionClosedError(clean=True)
        finally:
            with self._change:
                self._sock = None
            sock.close()

    def _read_events(self, reader: Reader, reply: Response, call: CallProgress) -> None:
        """Read watch events to the end of the body. Lists may come indented."""
        values = JsonSplitter(_MAX_VALUE_BYTES)
        first_of_watch = True
        for data in reader.iter_body(reply.headers):
            if b"\n" in data:
                self._record_line(call)
            for value, is_json in values.feed(data):
                if self._apply_value(value, is_json, first_of_watch):
                    first_of_watch = False
                    call.record_list()

    def _time_left(self) -> float:
        seconds = self._line_deadline - time.monotonic()
        if seconds <= 0:
            raise TimeoutError("it fell silent")
        return seconds

    def _apply_value(self, value: bytes, is_json: bool, first_of_watch: bool) -> bool:
        """Apply one watch event; tell whether it was a list that could be read."""
        if not is_json:
            self._log("endpoint_list_invalid", error=f"no JSON value: {value[:_MAX_LOGGED_VALUE]!r}")
            return False
        try:
            update = self._reader.read(orjson.loads(value), first_of_watch=first_of_watch)
        except (orjson.JSONDecodeError, EndpointListError) as error:
            self._log("endpoint_list_invalid", error=str(error))
            return False
        self._set_state(WatchState.WATCHING)
        if update:
            self._on_update(update)
        return True


def _call_end_of(error: Exception, call: CallProgress) -> CallEnd:
    """Return the reason for the log that belongs to the error with which a call ended."""
    match error:
        case TimeoutError():
            return CallEnd.SILENT
        case StatusError():
            return CallEnd.STATUS
        case ConnectionClosedError(clean=True):
            return CallEnd.ENDED
        case OSError() if not call.connected_at:
            return CallEnd.UNREACHABLE
        case OSError() | ConnectionClosedError():
            return CallEnd.BROKEN
    return CallEnd.MALFORMED


def _await_connection(sock: socket.socket, code: int, timeout: float) -> None:
    """Wait for a connection that is being made. `code`: what starting it returned."""
    if code in (errno.EINPROGRESS, errno.EINTR):
        poll = select.poll()
        poll.register(sock, select.POLLOUT)
        if not poll.poll(timeout * 1000):
            raise TimeoutError("connecting: timed out")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
