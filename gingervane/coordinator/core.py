"""The running co-ordinator: one decision thread around a `Driver`.

Ownership: only the decision thread uses the driver, and through it the decision engine. Front threads pass queries to
`submit`, sender threads pass ended attempts; both only put them into the inbox. The inbox needs no limit of its own:
admission limits its queries, the attempts in flight limit its ended attempts, and discovery paces its endpoint lists.
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
from gingervane.coordinator.driver import DecisionEngineProtocol, Driver
from gingervane.coordinator.driver_counts import Counts
from gingervane.coordinator.pending_queries import PendingQuery, ResultReceiver
from gingervane.coordinator.ports import ClusterPorts, QueryObserver, TransportFactory
from gingervane.coordinator.request_senders import RequestSenders, SenderLimits
from gingervane.decisions.engine import DecisionEngine
from gingervane.wire.local_failures import start_thread
from gingervane.wire.pool import Pool

MAX_INPUTS = 512  # a turn takes no further inputs once it has this many
MAX_INBOX_WAIT = 60.0  # longest wait for inputs, in seconds
DRAIN_POLL_INTERVAL = 0.005  # seconds between checks whether all queries are released, while stopping
FAILED_POLL_INTERVAL = 0.5  # seconds between checks whether to stop, after the decision thread has failed


class QueryCoordinator:
    """Runs the decision thread. Each pending query that `submit` returns is completed exactly once."""

    def __init__(
        self,
        engine: DecisionEngineProtocol,
        settings: api.Settings,
        limits: AdmissionLimits,
        observer: QueryObserver,
        make_transport: TransportFactory,
        ports: ClusterPorts | None = None,
        batch_interval: float = 0.0,
    ) -> None:
        """`batch_interval`: minimum seconds between two turns; inputs that arrive meanwhile form one batch."""
        self.settings = settings
        self.observer = observer
        # Seconds; the longest Retry-After of a rejection, 0 where none may be sent.
        self.max_retry_after = settings.max_retry_after if settings.retry_after_allowed else 0.0
        self.admission = Admission(limits, self.max_retry_after)
        self.broken = Event()  # set when the decision thread has failed
        self._driver = Driver(engine, settings, observer.attempt_finished)
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
        """Start the decision thread. Endpoint lists and queries received earlier are waiting in the inbox."""
        self._inbox.put([])  # the first turn does not wait for inputs
        self._thread = start_thread(self._run, "decisions")

    @property
    def driver_counts(self) -> Counts:
        """The driver's running totals; another thread may read them while a step is updating them."""
        return self._driver.counts

    @property
    def requests_in_flight(self) -> int:
        """Batch requests that are being sent or wait for a sender."""
        return self._transport.in_flight

    def submit(self, plan: t.QueryPlan, results: ResultReceiver | None = None) -> PendingQuery:
        """Submit a query, or raise `Rejected` without having started any part of it.

        `results`: receives its result, for callers that wait for several queries at once or for none.
        """
        # Without the lock a query admitted just before the shutdown could be queued after it and never be read.
        with self._submit_lock:
            self.admission.admit(1 + len(plan.parts), self._driver.open_result_bytes)
            query = PendingQuery(
                next(self._query_ids), plan, self.admission, self.observer, self.client_disconnected, results
            )
            self._inbox.put([t.QuerySubmitted(query.id, plan, query.complete)])
        return query

    def client_disconnected(self, query: int) -> None:
        """Report that the client of a query has disconnected."""
        self._inbox.put([t.ClientDisconnected(query)])

    def endpoints_updated(self, update: t.EndpointsUpdated) -> None:
        """Report an endpoint list or a change to it."""
        self._inbox.put([update])

    def watch_interrupted(self, seconds_without_data: float) -> None:
        """Report that the endpoint list's watch ended or stalled, `seconds_without_data` after its last line."""
        self._inbox.put([t.WatchInterrupted(seconds_without_data)])

    def discovery_address_changed(self, seconds_without_data: float) -> None:
        """Report a new address of discovery, `seconds_without_data` after the last line of a watch."""
        self._inbox.put([t.DiscoveryAddressChanged(seconds_without_data)])

    def discovery_contact_changed(self, is_waiting: bool) -> None:
        """Report whether a call to discovery has been accepted and waits for its first list."""
        self._inbox.put([t.DiscoveryContactChanged(is_waiting)])

    def peer_message_received(self, sender: int, payload: bytes) -> None:
        """Report a message from another co-ordinator. Messages may be lost: a full inbox drops them."""
        if self._inbox.qsize() < MAX_INPUTS:
            self._inbox.put([t.PeerMessageReceived(sender, payload)])

    def close(self) -> None:
        """Admit no further queries; all admitted ones are in the inbox when this returns."""
        with self._submit_lock:
            self.admission.close("shutting down")

    def stop(self, grace: float) -> None:
        """Admit no further queries, give open ones `grace` seconds, reject or fail the rest, and stop the thread."""
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
        except Exception as error:  # noqa: BLE001 - after any exception the driver's state may be inconsistent
            self.broken.set()
            self.admission.close("the decision thread broke")
            self.observer.internal_error(error)
            self._fail_all()

    def _turn(self) -> bool:
        """Run one step of the driver; return whether to continue."""
        inputs = self._collect_inputs()
        self._last_turn_at = time.monotonic()
        self._carry_out(self._driver.step(self._last_turn_at, inputs))
        self._transport.maintain()
        # The thread ends when a stop was requested and there is no input, no open query and no deferred event.
        idle = self._inbox.empty() and not self._driver.open_queries and self._driver.next_due() > 0
        return not (self._stop.is_set() and idle)

    def _collect_inputs(self) -> list[t.Input]:
        """Wait for inputs until the driver is due, and return those that have arrived."""
        inputs: list[t.Input] = []
        wait = self._driver.next_due() - time.monotonic()
        try:
            if wait > 0:
                inputs += self._inbox.get(timeout=min(wait, MAX_INBOX_WAIT))
            if self._batch_interval:
                remaining = self._last_turn_at + self._batch_interval - time.monotonic()
                if remaining > 0:
                    # A turn for each reply would cost more CPU in thread wake-ups than in decisions.
                    time.sleep(remaining)
            while len(inputs) < MAX_INPUTS:
                inputs += self._inbox.get_nowait()
        except Empty:
            pass
        return inputs

    def _carry_out(self, effects: list[t.Effect]) -> None:
        unsent_attempts: list[t.Input] = []
        for effect in effects:
            match effect:
                case t.StartRequest(batch):
                    if not self._transport.start(batch):
                        unsent_attempts += _finish_unsent(batch)
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
        if unsent_attempts:
            self._inbox.put(unsent_attempts)

    def _notify(self, effect: t.Effect) -> None:
        """Pass an effect that concerns neither a request nor a query to the observer or the cluster ports."""
        match effect:
            case t.LogMessage(text):
                self.observer.log_message(text)
            case t.ReplicaHealthChanged(change):
                self.observer.replica_health_changed(change)
            case t.WatchMembership():
                self._ports.watch_membership()
            case t.AcceptQueries(cached_list_age):
                self._ports.report_ready(cached_list_age)
            case t.SendToPeers(payload):
                self._ports.send_to_peers(payload)

    def _fail_all(self) -> None:
        """Fail all open queries, and until `stop` those that are still in the inbox.

        They fail rather than being rejected because it is unknown which of their parts have run.
        """
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


def _finish_unsent(batch: t.BatchRequest) -> list[t.AttemptFinished]:
    """Return the ends of all attempts of a batch request that the transport had no capacity for."""
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
    """Creates the co-ordinators of one process, which share its connection pool."""

    pool: Pool
    sender_limits: SenderLimits
    admission_limits: AdmissionLimits
    seed: int | None  # of the decision engines; None: a random seed for each

    def make(self, settings: api.Settings, observer: QueryObserver, offset: int = 0) -> QueryCoordinator:
        """Return a co-ordinator that is not started; `offset` is added to the seed to make it distinct."""
        seed = int.from_bytes(os.urandom(8), "big") if self.seed is None else self.seed + offset
        return QueryCoordinator(
            DecisionEngine(settings, seed),
            settings,
            self.admission_limits,
            observer,
            lambda report: RequestSenders(self.pool, self.sender_limits, report),
        )
