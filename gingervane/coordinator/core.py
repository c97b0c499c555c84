"""The running coordinator: one decision thread around a `Driver`.

Owners: the decision thread alone touches the driver, and through it the decision module. Front threads hand over
queries with `submit`, sender threads hand over ended attempts; both only put into the inbox. The inbox needs no bound
of its own: queries in it are counted by admission, ended attempts by those in flight, endpoint lists by the pauses of
their senders.
"""

from __future__ import annotations

import itertools
import os
import time
from queue import Empty, SimpleQueue
from threading import Event, Lock, Thread
from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission, AdmissionLimits
from gingervane.coordinator.driver import DecisionModule, Driver
from gingervane.coordinator.driver_counts import Counts
from gingervane.coordinator.pending_queries import PendingQuery, ResultQueue
from gingervane.coordinator.ports import ClusterPorts, QueryObserver, TransportFactory
from gingervane.coordinator.request_senders import RequestSenders, SenderLimits
from gingervane.decisions.engine import DecisionEngine
from gingervane.wire.local_failures import start_thread
from gingervane.wire.pool import Pool

MAX_INPUTS = 512  # inputs of one turn from which on the rest waits for the next
MAX_INBOX_WAIT = 60.0  # seconds that one wait for an input lasts at most
DRAIN_POLL_INTERVAL = 0.005  # seconds between two looks at whether all is released, at the end
FAILED_POLL_INTERVAL = 0.5  # seconds between two looks at whether to end, after the decision thread broke


class QueryCoordinator:
    """Owns the decision thread. Each pending query that `submit` returns is completed exactly once."""

    def __init__(
        self,
        module: DecisionModule,
        settings: api.Settings,
        limits: AdmissionLimits,
        observer: QueryObserver,
        make_transport: TransportFactory,
        ports: ClusterPorts | None = None,
        batch_interval: float = 0.0,
    ) -> None:
        """`batch_interval`: seconds between two turns, at least; what comes meanwhile makes one batch."""
        self.settings = settings
        self.observer = observer
        self.admission = Admission(limits, settings.max_retry_after if settings.retry_after_allowed else 0.0)
        self.broken = Event()  # the decision thread failed
        self._driver = Driver(module, settings, observer.attempt_finished)
        self._ports = ports or ClusterPorts()
        self._inbox: SimpleQueue[list[t.Input]] = SimpleQueue()
        self._transport = make_transport(self._take_finished_attempts)
        self._query_ids = itertools.count(1)
        self._stop = Event()
        self._batch_interval = batch_interval
        self._last_turn_at = 0.0
        self._submit_lock = Lock()  # see `submit`
        self._thread: Thread | None = None

    def start(self) -> None:
        """Start deciding. Endpoint lists and queries that came before wait in the inbox."""
        self._thread = start_thread(self._run, "decisions")

    @property
    def driver_counts(self) -> Counts:
        """The driver's running totals; a reader may see one of them a step ahead of another."""
        return self._driver.counts

    @property
    def requests_in_flight(self) -> int:
        """Batch requests that are sent or wait for a sender."""
        return self._transport.in_flight

    def submit(self, plan: t.QueryPlan, results: ResultQueue | None = None) -> PendingQuery:
        """Hand over a query, or raise `Rejected`, and then nothing of it was begun.

        `results`: where its result goes, for a caller that waits for several queries at once.
        """
        # The lock guards against a query that is admitted before the end, and put behind it where nobody looks.
        with self._submit_lock:
            self.admission.admit(1 + len(plan.parts), self._driver.open_result_bytes)
            query = PendingQuery(
                next(self._query_ids), plan, self.admission, self.observer, self.client_disconnected, results
            )
            self._inbox.put([t.QuerySubmitted(query.id, plan, query.complete)])
        return query

    def client_disconnected(self, query: int) -> None:
        """Take note that the client of a query has gone."""
        self._inbox.put([t.ClientDisconnected(query)])

    def endpoints_updated(self, update: t.EndpointsUpdated) -> None:
        """Take an endpoint list, or a change to it."""
        self._inbox.put([update])

    def watch_interrupted(self, silent_for: float) -> None:
        """Take word that the watch of the endpoint list ended or fell silent, so many seconds after its last line."""
        self._inbox.put([t.WatchInterrupted(silent_for)])

    def peer_message_received(self, sender: int, payload: bytes) -> None:
        """Take a message from another coordinator. Messages may be lost: with much to read, these go first."""
        if self._inbox.qsize() < MAX_INPUTS:
            self._inbox.put([t.PeerMessageReceived(sender, payload)])

    def close(self) -> None:
        """Admit nothing from now on; what was admitted is in the inbox."""
        with self._submit_lock:
            self.admission.close("shutting down")

    def stop(self, grace: float) -> None:
        """Admit nothing, let open queries be answered for `grace` seconds, reject or fail the rest, and end."""
        self.close()
        deadline = time.monotonic() + grace
        while self.admission.open and time.monotonic() < deadline and not self.broken.is_set():
            self._stop.wait(DRAIN_POLL_INTERVAL)
        self._inbox.put([t.Shutdown()])
        self._stop.set()
        self._inbox.put([])
        if self._thread:
            self._thread.join()
        self._transport.close()

    def _take_finished_attempts(self, finished: list[t.AttemptFinished]) -> None:
        self._inbox.put(list(finished))

    # ---- the decision thread

    def _run(self) -> None:
        try:
            while self._turn():
                pass
        except Exception as error:  # noqa: BLE001 - the driver's state can no longer be trusted, whatever it was
            self.broken.set()
            self.admission.close("the decision thread broke")
            self.observer.internal_error(error)
            self._fail_all()

    def _turn(self) -> bool:
        """Take one step of the driver; return whether to go on."""
        inputs = self._collect_inputs()
        self._last_turn_at = time.monotonic()
        self._carry_out(self._driver.step(self._last_turn_at, inputs))
        self._transport.maintain()
        # Done once asked to stop, with nothing to read, no open query and no event of its own.
        idle = self._inbox.empty() and not self._driver.open_queries and self._driver.next_due() > 0
        return not (self._stop.is_set() and idle)

    def _collect_inputs(self) -> list[t.Input]:
        """Wait for inputs until the driver is due, and take what has come."""
        inputs: list[t.Input] = []
        wait = self._driver.next_due() - time.monotonic()
        try:
            if wait > 0:
                inputs += self._inbox.get(timeout=min(wait, MAX_INBOX_WAIT))
            if self._batch_interval:
                remaining = self._last_turn_at + self._batch_interval - time.monotonic()
                if remaining > 0:
                    # Guards CPU: a turn for each answer costs more in waking threads than in deciding.
                    time.sleep(remaining)
            while len(inputs) < MAX_INPUTS:
                inputs += self._inbox.get_nowait()
        except Empty:
            pass
        return inputs

    def _carry_out(self, effects: list[t.Effect]) -> None:
        not_started: list[t.Input] = []
        for effect in effects:
            match effect:
                case t.StartRequest(batch):
                    if not self._transport.start(batch):
                        not_started += _never_sent(batch)
                case t.CancelRequest(batch):
                    self._transport.cancel(batch)
                case t.AbandonAttempt(batch, attempt, notify_replica, expired):
                    self._transport.abandon(batch, attempt, notify_replica, expired)
                case t.CloseIdleConnections(address):
                    self._transport.close_idle(address)
                case t.CompleteQuery(on_result, result, _):
                    on_result(result)
                case _:
                    self._notify(effect)
        if not_started:
            self._inbox.put(not_started)

    def _notify(self, effect: t.Effect) -> None:
        """Carry out an effect that concerns neither a request nor a query."""
        match effect:
            case t.LogMessage(text):
                self.observer.log_message(text)
            case t.ReplicaHealthChanged(change):
                self.observer.replica_health_changed(change)
            case t.WatchMembership():
                self._ports.watch_membership()
            case t.SendToPeers(payload):
                self._ports.send_to_peers(payload)

    def _fail_all(self) -> None:
        """Fail all open queries, which promises nothing, and those still in the inbox until the stop."""
        failed = t.QueryResult(
            t.QueryStatus.FAILED,
            detail="internal: the decision thread broke",
            reason=api.QueryEndReason.INTERNAL,
        )
        for on_result in self._driver.abandon():
            on_result(failed)
        while not self._stop.is_set() or not self._inbox.empty():
            try:
                inputs = self._inbox.get(timeout=FAILED_POLL_INTERVAL)
            except Empty:
                continue
            for item in inputs:
                if isinstance(item, t.QuerySubmitted):
                    item.on_result(failed)


def _never_sent(batch: t.BatchRequest) -> list[t.AttemptFinished]:
    """Return the ends of the attempts of a batch request for which no sender is free."""
    now = time.monotonic()
    return [
        t.AttemptFinished(
            attempt.part,
            attempt.attempt,
            api.AttemptOutcome.NEVER_SENT,
            now,
            None,
            "every sender is taken",
        )
        for attempt in batch.attempts
    ]


class CoordinatorFactory(NamedTuple):
    """Makes the coordinators of one process over its connection pool."""

    pool: Pool
    sender_limits: SenderLimits
    admission_limits: AdmissionLimits
    seed: int | None  # of the decision modules; None: a random one each

    def make(self, settings: api.Settings, observer: QueryObserver, offset: int = 0) -> QueryCoordinator:
        """Return a coordinator that has not been started; `offset` sets its seed apart from the others'."""
        seed = int.from_bytes(os.urandom(8), "big") if self.seed is None else self.seed + offset
        return QueryCoordinator(
            DecisionEngine(settings, seed),
            settings,
            self.admission_limits,
            observer,
            lambda report: RequestSenders(self.pool, self.sender_limits, report),
        )
