"""Follows discovery: calls are begun as the decisions ask for them, and the first that is answered is the watch.

Several calls may wait for an answer at once: a call is not given up because it waits, as a place in discovery's queue
would be lost with it, but only for one that has been answered or, beyond the bound, for a newer one. The oldest is
never the one that gives way: however slow discovery is, it is answered some day.

Owners: each call has a thread, which reads lists and passes them on. What they share is guarded by `_change`, the
reader of lists by `_reading`, which is taken first where both are. `request_watch` (the decision thread) and
`change_address` (the main thread) never wait for I/O.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from threading import Condition, Lock, Thread
from typing import Protocol

import orjson

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.node.config import Address
from gingervane.node.discovery_call import CallEnd, CallProgress, DiscoveryCall
from gingervane.node.endpoint_list import EndpointListError, EndpointListReader
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.node_telemetry import Log
from gingervane.wire.local_failures import start_thread

_MOVE_WAIT = 0.2  # seconds that a move waits at most for calls at the old address to end
_MAX_LOGGED_VALUE = 100  # bytes of a value that is no JSON


class WatchState(Enum):
    """The phase of the watch."""

    IDLE = "idle"  # no watch is wanted, or the decisions' backoff runs
    CONNECTING = "calling"  # a call is under way
    WATCHING = "following"  # a list or a change has come on it
    SILENT = "silent"  # no line came on it for too long; it is still open


class MembershipSink(Protocol):
    """Takes what the watch learns. Neither function may block."""

    def endpoints_updated(self, update: EndpointsUpdated) -> None:
        """Take an endpoint list, a change to it, or word that a call has failed."""

    def watch_interrupted(self, silent_for: float) -> None:
        """Take word that the watch has ended or fallen silent, so many seconds after its last line."""


class DiscoveryWatch:
    """Follows discovery from `start` to `stop`."""

    def __init__(
        self, address: Address, reader: EndpointListReader, sink: MembershipSink, log: Log, max_calls: int = 1
    ) -> None:
        """`max_calls`: how many calls may wait for an answer at once."""
        self._address = address
        self._read_address = address  # whose versions the reader holds; guarded by `_reading`
        self._reader = reader
        self._sink = sink
        self._log = log
        self._max_calls = max_calls
        self._reading = Lock()
        self._change = Condition()
        self._calls: list[DiscoveryCall] = []  # under way, oldest first
        self._workers = 0  # threads
        self._idle_workers = 0  # of them, those that wait for a call to make
        self._requested = False
        self._moved = False
        self._versions_differ = False  # since a move no call has been begun
        self._stopped = False
        self._retry_pending = False  # the decisions know of a failure and will ask for the next call
        self._state = WatchState.IDLE
        self._call_count = 0
        self._call_ends = Counter[str]()
        self._call_ended_at = time.monotonic()
        self._last_line_at = time.monotonic()  # the start, as long as none has come
        self._longest_silence = 0.0  # seconds

    def start(self) -> None:
        """Start the thread that makes the calls; others are started as calls wait beside each other."""
        self._workers = 1
        start_thread(self._work, "discovery")

    def request_watch(self) -> None:
        """Begin a call, unless a watch is up."""
        with self._change:
            self._retry_pending = False
            # Guards against a wish that outlives its watch: the next failure would be answered without any backoff.
            self._requested = not self._has_watch()
            needs_worker = self._requested and self._claim_worker()
            self._change.notify_all()  # calls that begin wait here too: one of them may take a single wake-up
        if needs_worker:
            self._start_worker()

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address from now on; no backoff that runs is waited for."""
        with self._change:
            if address == self._address:
                return
            self._address = address
            self._moved = True
            self._versions_differ = True
            for call in self._calls:
                call.interrupt(CallEnd.MOVED)
            needs_worker = self._claim_worker()
            self._change.notify_all()  # calls that begin wait here too: one of them may take a single wake-up
        if needs_worker:
            self._start_worker()

    def stop(self) -> None:
        """Follow discovery no more."""
        with self._change:
            self._stopped = True
            self._change.notify_all()
            for call in self._calls:
                call.interrupt(CallEnd.STOPPED)

    def call_ends(self) -> Mapping[str, int]:
        """Return the number of calls by how they ended; any thread."""
        with self._change:
            return self._call_ends.copy()

    def silence(self) -> Mapping[str, int]:
        """Return the longest time without a line from discovery, the present one included; any thread."""
        seconds = max(self._longest_silence, time.monotonic() - self._last_line_at)
        return {"longest_ms": int(seconds * 1000)}

    # ---- the threads that make calls

    def _claim_worker(self) -> bool:
        """Whether a thread has to be started for a call, which is then counted. To be called with `_change` held."""
        claimed = not self._idle_workers and self._workers <= self._max_calls
        self._workers += claimed
        return claimed

    def _start_worker(self) -> None:
        try:
            Thread(target=self._work, name="discovery", daemon=True).start()
        except (
            RuntimeError
        ):  # of the system's limits: the calls under way go on, and one will be asked for again
            with self._change:
                self._workers -= 1

    def _work(self) -> None:
        while (call := self._await_call()) is not None:
            self._begin(call)
            reason, detail = call.run()
            call.progress.log_end(self._log, reason, detail)
            if not self._finish(call, reason, detail):
                return

    def _await_call(self) -> DiscoveryCall | None:
        """Wait until a call is wanted, and return it; None at the end."""
        with self._change:
            self._idle_workers += 1
            while not (self._requested or self._moved or self._stopped):
                self._change.wait()
            self._idle_workers -= 1
            if self._stopped:
                return None
            self._requested = False
            self._moved = False
            self._call_count += 1
            call = DiscoveryCall(CallProgress(self._call_count, self._address), self)
            self._calls.append(call)
            self._make_room()
            self._update_state("a call is wanted")
            return call

    def _make_room(self) -> None:
        """Beyond the bound have one call give way: a silent watch, or who has waited longest but for the oldest."""
        calls = [call for call in self._calls if not call.interrupted]
        if len(calls) <= self._max_calls:
            return
        silent = [call for call in calls if call.is_silent]
        second_oldest = calls[1] if self._max_calls > 1 else calls[0]
        (silent or [second_oldest])[0].interrupt(CallEnd.GAVE_WAY)

    def _begin(self, call: DiscoveryCall) -> None:
        """Settle which version the call asks from."""
        with self._change:
            # What the old address has written is read first: it counts as told.
            self._change.wait_for(lambda: not self._versions_differ or self._calls[0] is call, _MOVE_WAIT)
        with self._reading:
            with self._change:
                # Not by a call that another move has interrupted: the next one begins at the last address.
                anew = self._versions_differ and not call.interrupted
                self._versions_differ = self._versions_differ and not anew
                idle_seconds = call.progress.started_at - self._call_ended_at
                silent_seconds = call.progress.started_at - self._last_line_at
            if anew:
                # Guards against changes dropped for good: there the versions may be others. All is asked for.
                self._reader.version = 0
                self._read_address = call.progress.address
            call.progress.since = self._reader.version
        call.progress.log_start(self._log, idle_seconds, silent_seconds)

    def _finish(self, call: DiscoveryCall, reason: CallEnd, detail: str) -> bool:
        """Take note of a call's end, and tell of it if nothing else does; return whether its thread is needed."""
        with self._change:
            self._calls.remove(call)
            self._change.notify_all()
            self._call_ends[reason.value] += 1
            self._call_ended_at = time.monotonic()
            # The decisions say when to retry; one backoff at a time, so that calls do not add up.
            tells = not call.interrupted and not self._has_watch() and not self._retry_pending
            self._retry_pending = self._retry_pending or tells
            was_watch = call.has_list and not call.is_silent
            silent_for = time.monotonic() - self._last_line_at
            self._update_state(detail or reason.value)
            needed = not self._idle_workers or self._stopped
            self._workers -= not needed
        if tells and was_watch:
            self._sink.watch_interrupted(silent_for)
        elif tells:
            failed = api.MembershipChanged(api.MembershipUpdateKind.FAILED, ())
            self._sink.endpoints_updated(EndpointsUpdated(failed, {}))
        return needed

    def _has_watch(self) -> bool:
        return any(call.has_list and not call.is_silent and not call.interrupted for call in self._calls)

    def _update_state(self, reason: str) -> None:
        """Log it if the state has changed. To be called with `_change` held."""
        if self._has_watch():
            new = WatchState.WATCHING
        elif any(not call.has_list for call in self._calls):
            new = WatchState.CONNECTING
        else:
            new = WatchState.SILENT if self._calls else WatchState.IDLE
        if new is self._state:
            return
        old, self._state = self._state, new
        address = f"{self._address[0]}:{self._address[1]}"
        self._log(LogEvent.WATCH_STATE_CHANGED, old=old, new=new, reason=reason, discovery=address)

    # ---- what calls tell, in their threads

    def line_received(self, call: DiscoveryCall) -> None:
        """Take note of a line: up to now nothing else has changed, if a list has come before it or comes with it."""
        now = time.monotonic()
        with self._change:
            if call.interrupted:
                return
            if call.has_list:
                self._confirm(now)
            speaks_again, call.is_silent = call.is_silent, False
        with self._reading:
            self._reader.record_activity()
        if speaks_again:
            self._adopt(call, "it speaks again")
            nothing_new = api.MembershipChanged(api.MembershipUpdateKind.DELTA, ())
            self._sink.endpoints_updated(EndpointsUpdated(nothing_new, {}))

    def _confirm(self, now: float) -> None:
        """Note that all is known that discovery has. To be called with `_change` held."""
        self._longest_silence = max(self._longest_silence, now - self._last_line_at)
        self._last_line_at = now

    def watch_fell_silent(self, call: DiscoveryCall, seconds: float) -> None:
        """Tell that the watch is silent. It stays open until another call has been answered."""
        with self._change:
            if call.interrupted:
                return
            self._retry_pending = True
            self._update_state("it fell silent")
        self._sink.watch_interrupted(seconds)

    def value_received(self, call: DiscoveryCall, value: bytes, is_json: bool) -> None:
        """Apply one watch event, if it is a list that can be read."""
        if not is_json:
            self._log(LogEvent.ENDPOINT_LIST_INVALID, error=f"no JSON value: {value[:_MAX_LOGGED_VALUE]!r}")
            return
        with self._reading:
            # What was written counts as told, also on a call that is to end; but not another address's versions.
            if call.progress.address != self._read_address:
                return
            since = None if call.has_list else call.progress.since
            try:
                update = self._reader.read(orjson.loads(value), since=since)
            except (orjson.JSONDecodeError, EndpointListError) as error:
                self._log(LogEvent.ENDPOINT_LIST_INVALID, error=str(error))
                return
            call.progress.record_list()
            if update:
                self._sink.endpoints_updated(update)
        if not call.has_list:
            call.has_list = True
            self._adopt(call, "")

    def _adopt(self, call: DiscoveryCall, reason: str) -> None:
        """Make a call that has been answered the watch; all others are of no more use."""
        with self._change:
            if call.interrupted:
                return
            self._confirm(time.monotonic())
            for other in self._calls:
                if other is not call:
                    other.interrupt(CallEnd.ANSWERED_ELSEWHERE)
            self._update_state(reason)
