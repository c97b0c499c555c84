"""The replica list from discovery: one watch, followed while the module wants one.

Owners: one thread connects, reads and tells the core. `follow` (the decision thread, as the module subscribes) and
`move` (the main thread, on a new configuration) only set what it looks at and wake it, under `_change`. Entries that
cannot be read are skipped with a line in the log; what stands stays in force.

What a silent watch misses counts as told 6 s after it fell silent, and any change so long after discovery could be
reached (STANDING.md, the acceptance's terms). So a call has `SILENCE` for everything up to its first line, and each
line has as much; bytes that end no line do not count. The module's pause between calls leaves room for that.
"""

from __future__ import annotations

import contextlib
import errno
import hashlib
import os
import select
import socket
import time
from collections.abc import Callable
from enum import Enum
from math import inf
from threading import Condition
from typing import Any

import orjson

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.node.config import Address, parse_address
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.telemetry.node_telemetry import Log
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, HttpError, Limits, Reader
from gingervane.wire.json_values import JsonValues, TooLong
from gingervane.wire.local_failures import start_thread

SILENCE_TIMEOUT = 3.0  # seconds: an empty line is due every 2 s, and one that is late by half is not coming
_STATES = {
    "SERVING": api.ReplicaState.READY,
    "DRAINING": api.ReplicaState.DRAINING,
    "DELETED": api.ReplicaState.GONE,
}
_MAX_NAMES = 8192  # of replicas, kept for logs; the oldest go first
_MAX_VALUE_BYTES = 1 << 20  # bytes; a list of 1,024 replicas takes 400 to 600 for each, indented


class WatchState(Enum):
    """What the watch is doing."""

    IDLE = "idle"  # nobody wants changes, or the module has yet to say when to call again
    CONNECTING = "calling"  # a call is under way
    WATCHING = "following"  # a list or a change has come on it


class EndpointListError(Exception):
    """Something that discovery sent and that cannot be used."""


def replica_id(host: str) -> int:
    """The number by which all co-ordinators know a replica: of its host's name alone."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


class EndpointListReader:
    """Turns discovery's lists into the driver's input."""

    def __init__(self, zones: tuple[str, ...], starts: ReplicaStartTimes, log: Log) -> None:
        self._zones, self._start_times, self._log = zones, starts, log
        self._hosts: dict[int, str] = {}
        self.version = 0

    def record_activity(self) -> None:
        """A line has come, whatever is in it: up to now nothing else has changed."""
        self._start_times.message_received()

    def host_name(self, replica: int) -> str:
        """The name of a replica, for logs. Any thread; a replica long gone is told by its number."""
        return self._hosts.get(replica, str(replica))

    def read(self, data: Any, cached: bool = False, anew: bool = False) -> t.EndpointsUpdated | None:
        """A list or its changes; None for one that is older than what is held. Raises ListError.

        `anew`: the first that a watch brings. A whole list may be older there, where discovery counts anew; behind a
        newer change it would bring back replicas that drain. One that holds no news says all the same that the call
        has succeeded: no change of nothing.
        """
        try:
            version, whole, hosts = int(data["seq"]), bool(data["whole"]), data["hosts"]
        except (TypeError, KeyError, ValueError):
            raise EndpointListError("discovery: not a list with seq, whole and hosts") from None
        if not isinstance(hosts, list):
            raise EndpointListError("discovery: hosts is no list")
        if version < self.version and not (whole and anew) or version == self.version and not whole:
            return (
                t.EndpointsUpdated(api.MembershipChanged(api.MembershipUpdateKind.DELTA, ()), {})
                if anew
                else None
            )
        self.version = version
        # Of a replica that stands there twice the last word counts, alone. Guards against one that is gone and back
        # in the same change: by the first word its address was dropped, by the second it was sent to.
        found: dict[int, tuple[api.Replica, Address | None]] = {}
        names: dict[int, str] = {}
        for entry in hosts:
            try:
                replica, where = self._parse_entry(entry)
            except (TypeError, KeyError, ValueError) as error:
                self._log(
                    "endpoint_invalid", error=f"{type(error).__name__}: {error}", entry=str(entry)[:200]
                )
                continue
            found[replica.id] = replica, where
            names[replica.id] = str(entry["host"])
        self._remember_names(names, whole)
        found = self._with_monotonic_starts(found, cached)
        for replica, _ in found.values():
            if not whole or replica.state is not api.ReplicaState.READY:
                self._log(
                    "replica_updated",
                    replica=self.host_name(replica.id),
                    state=replica.state,
                    version=version,
                    started_at=replica.started_at,
                )
        self._log("endpoints_updated", version=version, whole=whole, cached=cached, replicas=len(found))
        kind = (
            api.MembershipUpdateKind.CACHED
            if cached
            else api.MembershipUpdateKind.FULL
            if whole
            else api.MembershipUpdateKind.DELTA
        )
        addresses = {number: where for number, (_, where) in found.items() if where}
        return t.EndpointsUpdated(
            api.MembershipChanged(kind, tuple(replica for replica, _ in found.values())), addresses
        )

    def _with_monotonic_starts(
        self,
        found: dict[int, tuple[api.Replica, Address | None]],
        cached: bool,
    ) -> dict[int, tuple[api.Replica, Address | None]]:
        """The same entries with starts on the monotonic clock."""
        listed = {n: r.started_at for n, (r, _) in found.items() if r.started_at}
        before = self._start_times.corrections
        places = self._start_times.place(listed, cached)
        if self._start_times.corrections > before:
            self._log("start_times_corrected", corrections=self._start_times.corrections)
        moved = {n: (found[n][0]._replace(started_at=place), found[n][1]) for n, place in places.items()}
        return found | moved

    def _remember_names(self, names: dict[int, str], whole: bool) -> None:
        """Keep names for the log; those that a whole list does not hold are forgotten, which bounds the memory."""
        if not whole:
            names = self._hosts | names
            while len(names) > _MAX_NAMES:
                del names[next(iter(names))]
        self._hosts = names

    def _parse_entry(self, entry: Any) -> tuple[api.Replica, Address | None]:
        if not isinstance(entry, dict):
            raise TypeError("no object")
        if entry.get("health") == "DELETED":  # its name says all: nothing else of it may keep it listed
            return api.Replica(replica_id(str(entry["host"])), 0, -1, 0.0, api.ReplicaState.GONE, 0.0), None
        where, born = parse_address(entry["dial"], "dial"), float(entry.get("born_ms", 0))
        zone = self._zones.index(entry["site"]) if entry.get("site") in self._zones else -1
        replica = api.Replica(
            id=replica_id(str(entry["host"])),
            cell=int(entry["block"]),
            zone=zone,
            weight=float(entry.get("share", 1.0)),
            state=_STATES[entry["health"]],
            started_at=born / 1000,  # in Unix time, 0 for long ago; `_placed` makes it monotonic
        )
        return replica, where


class DiscoveryWatch:
    """Follows discovery."""

    def __init__(
        self,
        where: Address,
        reader: EndpointListReader,
        tell: Callable[[t.EndpointsUpdated], None],
        log: Log,
        answered_within: float = inf,
    ) -> None:
        """`answered_within`: seconds for a call up to its first line, if fewer than `SILENCE`."""
        self._address, self._reader, self._on_update, self._log = where, reader, tell, log
        self._answer_timeout = answered_within
        self._change = Condition()
        self._requested = self._moved = self._stopped = False
        self._in_progress = False  # a call is under way, or its watch
        self._retry_pending = False  # the module has been told of a failure and will say when to call again
        self._sock: socket.socket | None = None
        self._state = WatchState.IDLE  # of the watch's own thread

    def _set_state(self, state: WatchState, reason: str = "") -> None:
        if state is not self._state:
            old, self._state = self._state, state
            where = f"{self._address[0]}:{self._address[1]}"
            self._log("watch_state_changed", old=old, new=state, reason=reason, discovery=where)

    def start(self) -> None:
        start_thread(self._run, "discovery")

    def request_watch(self) -> None:
        """The module wants changes pushed."""
        with self._change:
            self._retry_pending = False
            # Guards against a wish that outlives its call: the next failure would be answered without any pause.
            self._requested = not self._in_progress
            self._change.notify()

    def change_address(self, where: Address) -> None:
        """Discovery is at another address from now on; no pause that runs is waited for."""
        with self._change:
            if where == self._address:
                return
            self._address, self._moved = where, True
            self._change.notify()
            self._interrupt()

    def stop(self) -> None:
        with self._change:
            self._stopped = True
            self._change.notify()
            self._interrupt()

    def _interrupt(self) -> None:
        if self._sock:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while True:
            with self._change:
                while not (self._requested or self._moved or self._stopped):
                    self._change.wait()
                if self._stopped:
                    return
                if self._moved:
                    # Guards against changes dropped for good: there the versions may be others. All is asked for.
                    self._reader.version = 0
                self._requested = self._moved = False
                self._in_progress, where = True, self._address
            self._set_state(WatchState.CONNECTING, f"since={self._reader.version}")
            try:
                self._watch_once(where)
            except (OSError, HttpError, Closed, EndpointListError, TooLong) as error:
                what = str(error) or type(error).__name__
            except Exception as error:  # a bug must not end the only thread that hears of changes
                what = f"internal: {type(error).__name__}: {error}"
            with self._change:
                self._in_progress = False
                moved = self._moved or self._stopped
                owed, self._retry_pending = self._retry_pending, self._retry_pending or not moved
            self._set_state(WatchState.IDLE, "moved" if moved else what)
            if moved:
                continue
            if (
                not owed
            ):  # the module says when to ask again; one pause at a time, so that calls do not add up
                self._on_update(
                    t.EndpointsUpdated(api.MembershipChanged(api.MembershipUpdateKind.FAILED, ()), {})
                )

    def _watch_once(self, where: Address) -> None:
        """One call and its watch, to their end, which is an error whatever it is."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        line_by = time.monotonic() + min(SILENCE_TIMEOUT, self._answer_timeout)

        def left() -> float:
            if (seconds := line_by - time.monotonic()) <= 0:
                raise TimeoutError("it fell silent")
            return seconds

        def receive(most: int) -> bytes:
            sock.settimeout(left())
            return sock.recv(most)

        try:
            sock.setblocking(False)
            code = sock.connect_ex(where)
            # Known once it connects, which is not waited for before: a move that comes now finds something to shut.
            with self._change:
                if self._moved or self._stopped:
                    return
                self._sock = sock
            self._await_connection(sock, code, left())
            sock.settimeout(left())
            target = f"/v1/endpoints?follow=1&since={self._reader.version}"
            sock.sendall(http1.head(f"GET {target} HTTP/1.1", [("Host", f"{where[0]}:{where[1]}")]))
            reader = Reader(receive, Limits(body=_MAX_VALUE_BYTES))
            reply = reader.response()
            if reply.status != 200:
                raise EndpointListError(f"discovery: answered {reply.status} to a watch")
            values, anew = JsonValues(_MAX_VALUE_BYTES), True  # lists may come indented
            for data in reader.pieces(reply.headers):
                if b"\n" in data:
                    line_by = time.monotonic() + SILENCE_TIMEOUT
                    self._reader.record_activity()
                for value, sound in values.feed(data):
                    anew = not self._apply_value(value, sound, anew) and anew
            raise Closed(clean=True)
        finally:
            with self._change:
                self._sock = None
            sock.close()

    def _await_connection(self, sock: socket.socket, code: int, seconds: float) -> None:
        """Wait for a connection that is being made."""
        if code in (errno.EINPROGRESS, errno.EINTR):
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            if not poll.poll(seconds * 1000):
                raise TimeoutError("connecting: timed out")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    def _apply_value(self, value: bytes, sound: bool, anew: bool) -> bool:
        """Whether it was a list that could be read."""
        try:
            if not sound:
                raise EndpointListError(f"no JSON value: {value[:100]!r}")
            listed = self._reader.read(orjson.loads(value), anew=anew)
        except (orjson.JSONDecodeError, EndpointListError) as error:
            self._log("endpoint_list_invalid", error=str(error))
            return False
        self._set_state(WatchState.WATCHING)
        if listed:
            self._on_update(listed)
        return True
