"""All connections to replicas; the carrier of the node's `Core`. `link.py` has one connection.

The decision thread alone starts calls, opens and closes connections. One reader thread serves all of them: it sees
them come up or fail, has them read answers, and tells when a full socket takes bytes again. What it has seen it says
through `Links._ready`, on which the decision thread acts at its next turn: nobody but that begins a frame, so none
begins once its query is settled.
"""

from __future__ import annotations

import contextlib
import select
import time
from collections import deque

from gingervane.coordinator import types as t
from gingervane.node.replica_connection import (
    CheckValue,
    ReplicaConnection,
    LinkEnd,
    LinkLimits,
    OnEnd,
    Report,
    hex_cell,
)
from gingervane.wire.local_failures import patiently, start_thread

SPARE = 8  # descriptors of links on their way out, beyond `LinkLimits.links`


class ReplicaConnections:
    """All connections to replicas. Methods that the reader runs: `_run`, `_wake`; all others: the decision thread."""

    def __init__(
        self,
        limits: LinkLimits,
        report: Report,
        check: CheckValue = hex_cell,
        on_end: OnEnd = lambda ended: None,
    ) -> None:
        self._limits, self._report, self._check, self._on_end = limits, report, check, on_end
        self._links: dict[tuple[str, int], list[ReplicaConnection]] = {}
        self._swept = time.monotonic()
        self._ready: deque[ReplicaConnection] = deque()
        self._poll = patiently(select.epoll)
        self._by_number: dict[
            int, ReplicaConnection
        ] = {}  # entered by the decision thread, which also takes out what it closes
        self._rising: deque[ReplicaConnection] = (
            deque()
        )  # those that connect, the one that must be up first first
        self._closed = False
        start_thread(self._run, "links")

    def _run(self) -> None:
        """The reader: one thread for all links, as one each adds up to tens of thousands over a fleet's machine."""
        while not self._closed:
            now = time.monotonic()
            while self._rising and (self._rising[0].up_by <= now or not self._rising[0].rising):
                self._rising.popleft().overdue(now)
            # Nothing wakes it when a connection is begun, so it looks as often as halves the lateness.
            wait = self._limits.connect / 2
            if self._rising:
                wait = min(wait, self._rising[0].up_by - now)
            endings: list[t.AttemptFinished] = []
            for number, what in self._look(max(wait, 0.001)):
                if link := self._by_number.get(number):
                    link.seen(what, endings)
            if endings:
                self._report(endings)

    def _look(self, seconds: float) -> list[tuple[int, int]]:
        """What has happened to the links within some time."""
        try:
            return self._poll.poll(seconds)
        except OSError:  # guards the reader, without which no answer would be read any more
            return []

    @property
    def in_flight(self) -> int:
        return sum(len(link.out) for links in list(self._links.values()) for link in list(links))

    @property
    def count(self) -> int:
        """Connections that hold a descriptor."""
        return len(self._by_number)

    def start(self, call: t.BatchRequest) -> bool:
        now = time.monotonic()
        if now - self._swept >= 1.0:
            self._sweep(now)
        for link in self._links.get(call.address, ()):
            if link.room(len(call.attempts), now) and link.start(call, now):
                return True
        if self.count >= self._limits.links and not self._make_room(now):
            return False
        try:
            link = ReplicaConnection(
                call.address, self._limits, self._report, self._check, self._wake, self._poll, self._on_end
            )
        except OSError:  # out of descriptors: no reason for the decision thread to end
            return False
        self._links.setdefault(call.address, []).append(link)
        self._by_number[link.number] = link
        link.start(call, now)
        link.connect()
        self._rising.append(link)
        return True

    def _make_room(self, now: float) -> bool:
        """Whether one more may be opened. Guards against refusing a part, with more replicas than links may be held,
        while quiet links stand by: the one that was used the longest time ago gives way."""
        self._sweep(now)
        live = [link for link in self._by_number.values() if not link.broken]
        if len(live) >= self._limits.links:
            quiet = min((link for link in live if not link.out), key=lambda link: link.used, default=None)
            if quiet is None:
                return False
            quiet.fail(LinkEnd.NO_ROOM)
        return self.count < self._limits.links + SPARE

    def _wake(self, link: ReplicaConnection) -> None:
        """The reader: a link can be written to again. An empty report gives the decision thread a turn."""
        self._ready.append(link)
        self._report([])

    def maintain(self) -> None:
        while self._ready:
            self._ready.popleft().flush()

    def cancel(self, call: t.BatchRequest) -> None:
        """Each errand is withdrawn by itself."""

    def abandon(self, call: t.BatchRequest, errand: t.AttemptRequest, tell: bool, over: bool) -> None:
        if isinstance(call.transport_token, ReplicaConnection):
            call.transport_token.withdraw(errand, tell, over)

    def close_idle(self, address: tuple[str, int]) -> None:
        for link in self._links.get(address, ()):
            link.retired = True  # what is sent next opens a new one, whatever is still out on this
            if not link.out:
                link.fail(LinkEnd.DROPPED)

    def close(self) -> None:
        self._closed = True
        for link in self._by_number.values():
            link.shut()

    def _sweep(self, now: float) -> None:
        """Let go of connections that are quiet for too long or done with."""
        self._swept = now
        for address, links in list(self._links.items()):
            kept = []
            for link in links:
                if not link.out and (link.retired or now - link.used >= self._limits.idle):
                    link.fail(LinkEnd.IDLE)
                if link.closable:
                    del self._by_number[link.number]
                    with contextlib.suppress(OSError):
                        link.sock.close()
                else:
                    kept.append(link)
            if kept:
                self._links[address] = kept
            else:
                del self._links[address]
