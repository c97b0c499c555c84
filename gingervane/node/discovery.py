"""Watches discovery: the decision engine requests calls, and the first call that is answered becomes the watch.

Several calls may wait for an answer at once. Waiting alone does not end a call, since that would lose its place in
discovery's queue: a call ends once another has been answered or, beyond the limit, is superseded by a newer one. The
oldest call is never superseded, so that it is answered however slow discovery is.

Only `request_watch` begins a call, as only the engine knows when an unanswered one needs another beside it. The
engine takes the endpoint list for watched from the report of a list to that of an interruption. So that this is
always true, each report is made in the critical section of `_change` in which the state changes.

Threads: each call has a thread, which reads lists and passes them on. `_change` guards the state that they share,
`_reader_lock` the reader of lists; where both are needed, `_reader_lock` is taken first. `request_watch` (called by
the decision thread) and `change_address` (main thread) never wait for I/O.
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

_ADDRESS_CHANGE_WAIT = 0.2  # longest wait, in seconds, for calls at the old address to end
_MAX_LOGGED_VALUE = 100  # bytes of an invalid JSON value


class WatchState(Enum):
    """The phase of the watch."""

    IDLE = "idle"  # no watch is requested, or the decision engine's backoff is running
    CONNECTING = "calling"  # a call waits for its first list
    WATCHING = "following"  # a list or a change was received on the watch
    STALLED = "silent"  # no line was received on the watch within the timeout; it is still open


class MembershipSink(Protocol):
    """Receives the updates of the watch. Neither function may block."""

    def endpoints_updated(self, update: EndpointsUpdated) -> None:
        """Receive an endpoint list, a change to it, or the report of a failed call."""

    def watch_interrupted(self, seconds_without_data: float) -> None:
        """Receive the report that the watch ended or stalled, `seconds_without_data` after its last line."""

    def discovery_address_changed(self, seconds_without_data: float) -> None:
        """Receive the report that all calls are interrupted, as discovery has another address."""

    def discovery_contact_changed(self, is_waiting: bool) -> None:
        """Receive the report whether an accepted call waits for its first list."""


class DiscoveryWatch:
    """Watches discovery from `start` to `stop`."""

    def __init__(
        self, address: Address, reader: EndpointListReader, sink: MembershipSink, log: Log, max_calls: int = 1
    ) -> None:
        """`max_calls`: how many calls may wait for an answer at once."""
        self._address = address
        self._version_address = address  # whose version the reader holds; guarded by `_reader_lock`
        self._reader = reader
        self._sink = sink
        self._log = log
        self._max_calls = max_calls
        self._reader_lock = Lock()
        self._change = Condition()
        self._calls: list[DiscoveryCall] = []  # open calls, oldest first
        self._workers = 0  # threads
        self._idle_workers = 0  # threads that wait for a call to make
        self._call_requested = False
        self._version_reset_pending = False  # the address has changed, and no call has begun since
        self._stopped = False
        self._retry_pending = False  # a failure was reported; the decision engine will request a call
        self._is_waiting = False  # as last reported: an accepted call waits for its first list
        self._state = WatchState.IDLE
        self._call_count = 0
        self._call_ends = Counter[str]()
        self._call_ended_at = time.monotonic()
        self._last_line_at = time.monotonic()  # the start time until a line is received
        self._longest_gap = 0.0  # seconds

    def start(self) -> None:
        """Start the first thread that makes calls; more are started when several calls wait at once."""
        self._workers = 1
        start_thread(self._run_worker, "discovery")

    def request_watch(self) -> None:
        """Begin a call, unless there is a watch."""
        with self._change:
            self._retry_pending = False
            # A request made during a watch is dropped: if kept, it would retry the next failure without backoff.
            self._call_requested = not self._has_watch()
            needs_worker = self._call_requested and self._reserve_worker()
            self._change.notify_all()  # not `notify`: a call that is beginning might take the only wake-up
        if needs_worker:
            self._start_worker()

    def change_address(self, address: Address) -> None:
        """Interrupt all calls; those requested from now on are made to another address."""
        with self._change:
            if address == self._address:
                return
            self._address = address
            self._version_reset_pending = True
            self._call_requested = False  # the report below leads to a request
            for call in self._calls:
                call.interrupt(CallEnd.ADDRESS_CHANGED)
            self._update_state(CallEnd.ADDRESS_CHANGED.value)
            self._sink.discovery_address_changed(self._seconds_without_data())

    def stop(self) -> None:
        """Interrupt all calls and make no more."""
        with self._change:
            self._stopped = True
            self._change.notify_all()
            for call in self._calls:
                call.interrupt(CallEnd.STOPPED)

    def call_ends(self) -> Mapping[str, int]:
        """Return the number of ended calls by reason. Any thread."""
        with self._change:
            return self._call_ends.copy()

    def longest_gap(self) -> Mapping[str, int]:
        """Return the longest time without a line from discovery, the current one included. Any thread."""
        seconds = max(self._longest_gap, time.monotonic() - self._last_line_at)
        return {"longest_ms": int(seconds * 1000)}

    # ---- the threads that make calls

    def _reserve_worker(self) -> bool:
        """Whether a thread must be started for a call; if so, it is counted. Called with `_change` held."""
        reserved = not self._idle_workers and self._workers <= self._max_calls
        self._workers += reserved
        return reserved

    def _start_worker(self) -> None:
        try:
            Thread(target=self._run_worker, name="discovery", daemon=True).start()
        except RuntimeError:  # a system limit: the open calls continue, and a call will be requested again
            with self._change:
                self._workers -= 1

    def _run_worker(self) -> None:
        while (call := self._await_call()) is not None:
            self._begin(call)
            reason, detail = call.run()
            call.progress.log_end(self._log, reason, detail)
            if not self._finish(call, reason, detail):
                return

    def _await_call(self) -> DiscoveryCall | None:
        """Wait until a call is requested, and return it; None once the watch is stopped."""
        with self._change:
            self._idle_workers += 1
            while not (self._call_requested or self._stopped):
                self._change.wait()
            self._idle_workers -= 1
            if self._stopped:
                return None
            self._call_requested = False
            self._call_count += 1
            call = DiscoveryCall(CallProgress(self._call_count, self._address), self)
            self._calls.append(call)
            self._interrupt_excess_call()
            self._update_state("a call is wanted")
            return call

    def _interrupt_excess_call(self) -> None:
        """If too many calls wait, interrupt a stalled watch, or else the second oldest (the oldest at limit 1)."""
        calls = [call for call in self._calls if not call.interrupted]
        if len(calls) <= self._max_calls:
            return
        stalled = [call for call in calls if call.is_stalled]
        second_oldest = calls[1] if self._max_calls > 1 else calls[0]
        (stalled or [second_oldest])[0].interrupt(CallEnd.SUPERSEDED)

    def _begin(self, call: DiscoveryCall) -> None:
        """Determine the version from which the call requests changes."""
        with self._change:
            # Data sent from the old address is read first: the protocol counts this node as notified of it.
            self._change.wait_for(
                lambda: not self._version_reset_pending or self._calls[0] is call, _ADDRESS_CHANGE_WAIT
            )
        with self._reader_lock:
            with self._change:
                # A call interrupted by a further change of address leaves this to the next, at the latest address.
                resets_version = self._version_reset_pending and not call.interrupted
                self._version_reset_pending = self._version_reset_pending and not resets_version
                idle_seconds = call.progress.started_at - self._call_ended_at
                silent_seconds = call.progress.started_at - self._last_line_at
            if resets_version:
                # The new address may count versions differently, and its changes would be dropped as stale. Version 0
                # requests a complete list.
                self._reader.version = 0
                self._version_address = call.progress.address
            call.progress.since = self._reader.version
        call.progress.log_start(self._log, idle_seconds, silent_seconds)

    def _finish(self, call: DiscoveryCall, reason: CallEnd, detail: str) -> bool:
        """Record a call's end and report it unless that is redundant; return whether its thread is still needed."""
        with self._change:
            self._calls.remove(call)
            self._change.notify_all()
            self._call_ends[reason.value] += 1
            self._call_ended_at = time.monotonic()
            self._update_state(detail or reason.value)
            if not call.interrupted:
                self._report_end(call)
            needed = not self._idle_workers or self._stopped
            self._workers -= not needed
        return needed

    def _report_end(self, call: DiscoveryCall) -> None:
        """Report the end of a call that was not interrupted. Called with `_change` held."""
        if call.is_watch:
            self._report_interruption()
        elif not self._has_watch() and not self._retry_pending:
            # The decision engine times the retry. Reporting one failure per backoff keeps calls from accumulating.
            self._retry_pending = True
            failed = api.MembershipChanged(api.MembershipUpdateKind.FAILED, ())
            self._sink.endpoints_updated(EndpointsUpdated(failed, {}))

    def _report_interruption(self) -> None:
        """Report that there is no watch any more. Called with `_change` held."""
        self._retry_pending = True
        self._sink.watch_interrupted(self._seconds_without_data())

    def _has_watch(self) -> bool:
        return any(call.is_watch for call in self._calls)

    def _seconds_without_data(self) -> float:
        return time.monotonic() - self._last_line_at

    def _update_state(self, reason: str) -> None:
        """Update the state of the watch and log a change of it. Called with `_change` held."""
        self._report_contact()
        if self._has_watch():
            new = WatchState.WATCHING
        elif any(not call.has_list for call in self._calls):
            new = WatchState.CONNECTING
        else:
            new = WatchState.STALLED if self._calls else WatchState.IDLE
        if new is self._state:
            return
        old, self._state = self._state, new
        address = f"{self._address[0]}:{self._address[1]}"
        self._log(LogEvent.WATCH_STATE_CHANGED, old=old, new=new, reason=reason, discovery=address)

    def _report_contact(self) -> None:
        """Report a change of whether an accepted call waits for its first list. Called with `_change` held."""
        is_waiting = any(call.is_waiting for call in self._calls)
        if is_waiting != self._is_waiting:
            self._is_waiting = is_waiting
            self._sink.discovery_contact_changed(is_waiting)

    # ---- events of calls, in the calls' threads

    def call_accepted(self, call: DiscoveryCall) -> None:
        """Record that discovery has accepted the connection of a call."""
        with self._change:
            call.is_accepted = True
            self._report_contact()

    def line_received(self, call: DiscoveryCall) -> None:
        """Record a line. Once a list was received, a line confirms that there are no other changes up to now."""
        with self._change:
            if call.interrupted:
                return
            has_resumed, call.is_stalled = call.is_stalled, False
            if call.has_list:
                self._record_line()
            if has_resumed:
                self._promote(call, "it speaks again")
                no_changes = api.MembershipChanged(api.MembershipUpdateKind.DELTA, ())
                self._sink.endpoints_updated(EndpointsUpdated(no_changes, {}))
        with self._reader_lock:
            self._reader.record_activity()

    def _record_line(self) -> None:
        """Record that the list is up to date with discovery. Called with `_change` held."""
        now = time.monotonic()
        self._longest_gap = max(self._longest_gap, now - self._last_line_at)
        self._last_line_at = now

    def watch_stalled(self, call: DiscoveryCall) -> None:
        """Report that the watch has stalled. It stays open until another call has been answered."""
        with self._change:
            if call.interrupted:
                return
            call.is_stalled = True
            self._update_state("it fell silent")
            self._report_interruption()

    def value_received(self, call: DiscoveryCall, value: bytes, is_json: bool) -> None:
        """Apply one watch event if it is a valid list."""
        if not is_json:
            self._log(
                LogEvent.ENDPOINT_LIST_INVALID, error=f"not a JSON value: {value[:_MAX_LOGGED_VALUE]!r}"
            )
            return
        with self._reader_lock:
            # An interrupted call's lists are applied too, as the protocol counts this node as notified of them; but
            # not those of a previous address.
            if call.progress.address != self._version_address:
                return
            since = None if call.has_list else call.progress.since
            try:
                update = self._reader.read(orjson.loads(value), since=since)
            except (orjson.JSONDecodeError, EndpointListError) as error:
                self._log(LogEvent.ENDPOINT_LIST_INVALID, error=str(error))
                return
            call.progress.record_list()
            with self._change:
                self._report_list(call, update)

    def _report_list(self, call: DiscoveryCall, update: EndpointsUpdated | None) -> None:
        """Report a valid list, which makes its call the watch; `update` is None if it is stale.

        Called with `_change` held.
        """
        if update:
            self._sink.endpoints_updated(update)
        if not call.interrupted and not call.has_list:
            call.has_list = True
            self._record_line()
            self._promote(call, "")
        if update and not self._has_watch():
            self._report_interruption()  # the call is interrupted, or stalled until its next line

    def _promote(self, call: DiscoveryCall, reason: str) -> None:
        """Make an answered call the only watch. Called with `_change` held."""
        self._call_requested = False
        for other in self._calls:
            if other is not call:
                other.interrupt(CallEnd.ANSWERED_ELSEWHERE)
        self._update_state(reason)
