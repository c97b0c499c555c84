"""The running co-ordinator: one decision thread around a `Driver`.

Owners: the decision thread alone touches the driver, and through it the module. Front threads hand over queries
with `submit`, sender threads hand over endings; both only put into the inbox. The inbox needs no bound of its own:
queries in it are counted by admission, endings by the attempts that are out, lists by their sender's pauses.
"""

from __future__ import annotations

import itertools
import os
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event, Lock, Thread
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.retry_after import RetryAfterEstimate
from gingervane.coordinator.driver import Driver, Module
from gingervane.coordinator.driver_counts import Counts
from gingervane.coordinator.request_senders import SenderLimits, RequestSenders
from gingervane.decisions.engine import DecisionEngine
from gingervane.wire.local_failures import start_thread
from gingervane.wire.pool import Pool

_MOST_A_BATCH = 512


class AdmissionLimits(NamedTuple):
    """What may be held at once: `open` counts queries and their parts, `result_bytes` results of open queries."""

    max_open: int
    max_result_bytes: int


class Rejected(Exception):
    """No room for a query: nothing of it was begun. `come_again_in`: seconds, from how fast room came lately."""

    def __init__(self, what: str, retry_after: float) -> None:
        super().__init__(what)
        self.retry_after = retry_after


class Admission:
    """Counts what is held; refuses past the bounds. Shared by front threads and the decision thread."""

    def __init__(
        self,
        bounds: AdmissionLimits,
        longest_advice: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bounds, self._lock, self._now = bounds, Lock(), now
        self._longest, self._room, self._memory = (
            longest_advice,
            RetryAfterEstimate(longest_advice),
            RetryAfterEstimate(longest_advice),
        )
        self._open = self._bytes = 0
        self._closed = ""

    @property
    def open(self) -> int:
        return self._open

    @property
    def reserved_bytes(self) -> int:
        return self._bytes

    def admit(self, size: int, gathered: int) -> None:
        """Take room for a query of `size` (itself and its parts); `gathered`: result bytes of unsettled queries.

        Raises Refused.
        """
        with self._lock:
            if self._closed:
                raise Rejected(self._closed, self._longest)
            if self._open + size > self._bounds.max_open:
                wait = self._room.until(self._now(), self._open + size - self._bounds.max_open)
                raise Rejected(f"{self._open} of {self._bounds.max_open} queries and parts are open", wait)
            if (over := self._bytes + gathered - self._bounds.max_result_bytes) > 0:
                wait = self._memory.until(self._now(), over)
                raise Rejected(f"results held take {over} bytes more than the bound", wait)
            self._open += size

    def release(self, size: int, result_bytes: int) -> None:
        """A query has been replied to and its results let go."""
        with self._lock:
            self._open -= size
            self._bytes -= result_bytes
            self._room.freed(self._now(), size)
            self._memory.freed(self._now(), result_bytes)

    def reserve_results(self, result_bytes: int) -> None:
        """A settled query's results now wait to be merged and written."""
        with self._lock:
            self._bytes += result_bytes

    def close(self, why: str) -> None:
        with self._lock:
            self._closed = why

    def reopen(self, why: str) -> None:
        """Take queries again, if `why` is what it was closed for."""
        with self._lock:
            if self._closed == why:
                self._closed = ""


class ResultQueue:
    """Final answers as they come, each with its ticket; or another token that its owner puts there."""

    def __init__(self) -> None:
        self._queue: SimpleQueue[Any] = SimpleQueue()
        self.put, self.get, self.get_nowait = self._queue.put, self._queue.get, self._queue.get_nowait


class PendingQuery:
    """A query that has been taken. The decision thread settles it once; the front waits, replies and calls `done`."""

    def __init__(
        self, number: int, plan: t.QueryPlan, core: QueryCoordinator, answers: ResultQueue | None
    ) -> None:
        self.id, self.plan, self.began = number, plan, time.monotonic()
        self._core, self._answers = core, answers or ResultQueue()
        self._held_bytes = 0

    def complete(self, final: t.QueryResult) -> None:
        """On the decision thread."""
        self._held_bytes = final.result_bytes
        self._core.admission.reserve_results(final.result_bytes)
        self._core.observer.query_completed(self.id, self.plan, final, time.monotonic() - self.began)
        self._answers.put((self, final))

    def wait(self) -> t.QueryResult:
        """The one final answer; the module sees to it that it comes in time."""
        final: t.QueryResult = self._answers.get()[1]
        return final

    def abandon(self) -> None:
        """Nobody wants it any more; it is settled all the same, as left."""
        self._core.client_disconnected(self.id)

    def release(self) -> None:
        """The reply has been written, or cannot be."""
        self._core.admission.release(1 + len(self.plan.parts), self._held_bytes)


class QueryObserver(Protocol):
    """Told of what passes, on the decision thread; must not block."""

    def query_completed(
        self, query: int, plan: t.QueryPlan, final: t.QueryResult, seconds: float
    ) -> None: ...

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None: ...

    def log_message(self, text: str) -> None: ...

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None: ...

    def internal_error(self, error: BaseException) -> None: ...


class Transport(Protocol):
    """Carries calls out. All but the reports of endings is asked for by the decision thread and must not block."""

    @property
    def in_flight(self) -> int:
        """Calls taken that have not ended."""

    def start(self, call: t.BatchRequest) -> bool:
        """Take a call; each of its errands is reported once. False: no room, and nothing of it was begun."""

    def maintain(self) -> None:
        """At each turn: go on with what could not be done at once."""

    def cancel(self, call: t.BatchRequest) -> None:
        """No errand of the call is waited for any more."""

    def abandon(self, call: t.BatchRequest, errand: t.AttemptRequest, tell: bool, over: bool) -> None:
        """A claimed errand is not waited for any more, as `types.Withdraw` has it."""

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""

    def close(self) -> None:
        """Begin nothing more, and let go of what is held open."""


class ClusterPorts(NamedTuple):
    """What the module may ask for beyond calls and answers; called on the decision thread, must not block."""

    watch_membership: Callable[[], None] = lambda: None
    send_to_peers: Callable[[bytes], None] = lambda payload: None


class QueryCoordinator:
    """Owns the decision thread. Each ticket that `submit` gives out is settled exactly once."""

    def __init__(
        self,
        module: Module,
        settings: api.Settings,
        bounds: AdmissionLimits,
        observer: QueryObserver,
        senders: Callable[[Callable[[list[t.AttemptFinished]], None]], Transport],
        outside: ClusterPorts | None = None,
        gather: float = 0.0,
    ) -> None:
        """`gather`: seconds between the starts of two turns, at least; what comes meanwhile makes one batch."""
        self.settings = settings
        self.admission = Admission(bounds, settings.max_retry_after if settings.retry_after_allowed else 0.0)
        self._driver = Driver(module, settings, observer.attempt_finished)
        self.observer, self._outside = observer, outside or ClusterPorts()
        self._inbox: SimpleQueue[list[t.Input]] = SimpleQueue()
        self._senders = senders(self._take_endings)
        self._ids = itertools.count(1)
        self._stop, self.broken = Event(), Event()
        self._gather, self._turned = gather, 0.0
        self._door = Lock()  # see `submit`
        self._thread: Thread | None = None

    def start(self) -> None:
        """Start deciding. Lists and queries that came before wait in the inbox."""
        self._thread = start_thread(self._run, "decisions")

    @property
    def driver_counts(self) -> Counts:
        """The driver's running totals; a reader may see one of them a step ahead of another."""
        return self._driver.counts

    @property
    def requests_in_flight(self) -> int:
        """Calls out and calls waiting for a sender."""
        return self._senders.in_flight

    def submit(self, plan: t.QueryPlan, answers: ResultQueue | None = None) -> PendingQuery:
        """Hand over a query. Raises Refused, and then nothing of it was begun.

        `answers`: where its final answer goes, for a caller that waits for several tickets at once.
        """
        with (
            self._door
        ):  # guards against one that is admitted before the end, and put behind it where nobody looks
            self.admission.admit(1 + len(plan.parts), self._driver.held_bytes)
            ticket = PendingQuery(next(self._ids), plan, self, answers)
            self._inbox.put([t.QuerySubmitted(ticket.id, plan, ticket.complete)])
        return ticket

    def client_disconnected(self, query: int) -> None:
        """The client of a query has gone."""
        self._inbox.put([t.ClientDisconnected(query)])

    def endpoints_updated(self, listed: t.EndpointsUpdated) -> None:
        """A server list has come, or has changed."""
        self._inbox.put([listed])

    def peer_message_received(self, sender: int, payload: bytes) -> None:
        """Another co-ordinator has sent a message. Messages may be lost: with much to read, these go first."""
        if self._inbox.qsize() < _MOST_A_BATCH:
            self._inbox.put([t.PeerMessageReceived(sender, payload)])

    def close(self) -> None:
        """Take nothing new from now on: what was taken by now is in the inbox."""
        with self._door:
            self.admission.close("shutting down")

    def stop(self, grace: float) -> None:
        """Take nothing new, let what is held be answered for `grace` seconds, refuse or fail the rest, and end."""
        self.close()
        until = time.monotonic() + grace
        while self.admission.open and time.monotonic() < until and not self.broken.is_set():
            self._stop.wait(0.005)
        self._inbox.put([t.Shutdown()])
        self._stop.set()
        self._inbox.put([])
        if self._thread:
            self._thread.join()
        self._senders.close()

    def _take_endings(self, endings: list[t.AttemptFinished]) -> None:
        self._inbox.put(list(endings))

    def _run(self) -> None:
        try:
            while self._turn():
                pass
        except Exception as error:
            # Its books can no longer be trusted. All held queries are failed, which promises nothing.
            self.broken.set()
            self.admission.close("the decision thread broke")
            self.observer.internal_error(error)
            self._fail_all()

    def _turn(self) -> bool:
        inputs: list[t.Input] = []
        wait = self._driver.next_due() - time.monotonic()
        try:
            if wait > 0:
                inputs += self._inbox.get(timeout=min(wait, 60.0))
            if self._gather and (rest := self._turned + self._gather - time.monotonic()) > 0:
                # Guards CPU: a turn for each answer costs more in waking threads than in deciding.
                time.sleep(rest)
            while len(inputs) < _MOST_A_BATCH:
                inputs += self._inbox.get_nowait()
        except Empty:
            pass
        self._turned = time.monotonic()
        self._carry_out(self._driver.step(self._turned, inputs))
        self._senders.maintain()
        # Done once told to stop, with nothing to read, nothing held and no own news.
        idle = self._inbox.empty() and not self._driver.open_queries and self._driver.next_due() > 0
        return not (self._stop.is_set() and idle)

    def _carry_out(self, effects: list[t.Effect]) -> None:
        refused: list[t.AttemptFinished] = []
        for effect in effects:
            match effect:
                case t.StartRequest(call):
                    if not self._senders.start(call):
                        now = time.monotonic()
                        refused += [
                            t.AttemptFinished(
                                e.part,
                                e.attempt,
                                api.AttemptOutcome.NEVER_SENT,
                                now,
                                None,
                                "every sender is taken",
                            )
                            for e in call.attempts
                        ]
                case t.CancelRequest(call):
                    self._senders.cancel(call)
                case t.AbandonAttempt(call, errand, tell, over):
                    self._senders.abandon(call, errand, tell, over)
                case t.CloseIdleConnections(address):
                    self._senders.close_idle(address)
                case t.CompleteQuery(settled, final, _):
                    settled(final)
                case t.LogMessage(text):
                    self.observer.log_message(text)
                case t.ReplicaHealthChanged(change):
                    self.observer.replica_health_changed(change)
                case t.WatchMembership():
                    self._outside.watch_membership()
                case t.SendToPeers(payload):
                    self._outside.send_to_peers(payload)
        if refused:
            self._inbox.put(list(refused))

    def _fail_all(self) -> None:
        failed = t.QueryResult(
            t.QueryStatus.FAILED,
            detail="internal: the decision thread broke",
            reason=api.QueryEndReason.INTERNAL,
        )
        for query in self._driver.abandon():
            query(failed)
        while not self._stop.is_set() or not self._inbox.empty():
            try:
                items = self._inbox.get(timeout=0.5)
            except Empty:
                continue
            for item in items:
                if isinstance(item, t.QuerySubmitted):
                    item.on_result(failed)


class CoordinatorFactory(NamedTuple):
    """Makes the cores of one process over its pool. `seed`: of the modules; None: a random one each."""

    pool: Pool
    senders: SenderLimits
    bounds: AdmissionLimits
    seed: int | None

    def make(self, settings: api.Settings, observer: QueryObserver, offset: int = 0) -> QueryCoordinator:
        """A core that has not been started; `offset` tells its module's seed from the others'."""
        seed = int.from_bytes(os.urandom(8), "big") if self.seed is None else self.seed + offset
        return QueryCoordinator(
            DecisionEngine(settings, seed),
            settings,
            self.bounds,
            observer,
            lambda report: RequestSenders(self.pool, self.senders, report),
        )
