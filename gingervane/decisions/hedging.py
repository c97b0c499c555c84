"""Hedged requests: a part that is late goes to a second replica, and the first good answer wins."""

from __future__ import annotations

from functools import partial

from gingervane import interface as api
from gingervane.decisions.admission import AdmissionControl
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.circuit_breaker import CircuitBreaker
from gingervane.decisions.idle_connections import IdleConnectionLimit
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.outlier_ejection import FAILURE_WEIGHT, MAX_EJECTION, OutlierDetector
from gingervane.decisions.query_state import Attempt, Part, Query
from gingervane.decisions.replica_selection import ReplicaSelector
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Share of the class's parts that end within the hedge delay (docs/design.md).
HEDGE_PERCENTILE = 0.95
# Hedge delays after which an attempt that nothing has overtaken counts as without response
# (docs/design.md).
NO_RESPONSE_DELAYS = 2
# Largest share of the open attempts that may be hedges (docs/design.md, circuit breaker).
MAX_HEDGED_SHARE = 0.25
# Hedges that a query may have in any case, as a share of its parts (docs/design.md, circuit breaker).
MIN_HEDGED_SHARE_OF_QUERY = 0.10
# Expected latency, as a multiple of the class's baseline, above which replicas are taken to queue
# (docs/design.md, no hedge under queueing).
QUEUEING_LATENCY = 2.0
# Weight of a query that is missing at most where its late parts are stragglers and not queued
# (docs/design.md).
MAX_STRAGGLER_WEIGHT = 0.10
# Seconds for which a replica that does not respond is next reached over a new connection.
RECONNECT_PERIOD = 2 * MAX_EJECTION


class Hedging:
    """Watches over open attempts, and sends one hedge for a part that is late."""

    def __init__(
        self,
        context: BatchContext,
        *,
        admission: AdmissionControl,
        dispatcher: AttemptDispatcher,
        first_sends: SlidingWindowCount,
        idle_connections: IdleConnectionLimit,
        latency: LatencyEstimator,
        outlier_detector: OutlierDetector,
        selector: ReplicaSelector,
    ) -> None:
        self._context = context
        self._admission = admission
        self._dispatcher = dispatcher
        self._first_sends = first_sends
        self._idle_connections = idle_connections
        self._latency = latency
        self._outlier_detector = outlier_detector
        self._selector = selector
        self._hedges = CircuitBreaker(TRAFFIC_WINDOW)
        self.failures = CircuitBreaker(TRAFFIC_WINDOW)

    def record_failure(self) -> None:
        """Count an attempt that failed: many failures stop hedges."""
        self.failures.add(self._context.now)

    def start_timer(self, attempt: Attempt) -> None:
        """Come back to an attempt after the hedge delay."""
        delay = self._latency.percentile(attempt.part.query.arrived.query_class, HEDGE_PERCENTILE)
        self._context.set_timer(delay, partial(self._on_timer, attempt))

    def _on_timer(self, attempt: Attempt) -> None:
        """Record a missing response, and send a hedge if the attempt is still open and that can be of use."""
        if not attempt.open:
            return
        self.start_timer(attempt)
        attempt.hedge_delays += 1
        is_ejection = False
        if attempt.hedge_delays % NO_RESPONSE_DELAYS == 0:
            is_ejection = self._check_response(attempt)
        part = attempt.part
        breakers_open = self._breakers_open()
        if part.has_failed:
            self._retry_failed(part)
        elif not breakers_open and self._is_hedge_useful(part) and self._is_below_cap(part):
            self._send_hedge(part)
        if is_ejection:
            self._retry_overdue(attempt.replica)

    def _check_response(self, attempt: Attempt) -> bool:
        """Take an attempt for unanswered if no part sent as late or later has been answered there.

        Return whether that ejects the replica, which was not ejected before.
        """
        replica = attempt.replica
        if replica.last_answered_send_at >= attempt.request.sent_at:
            return False
        was_ejected = replica.ejected_for > 0
        replica.last_unresponsive_at = self._context.now
        self._outlier_detector.record_outcome(replica, FAILURE_WEIGHT, api.EjectionReason.NO_RESPONSE)
        replica.unresponsive_until = self._context.now + RECONNECT_PERIOD
        self._idle_connections.record_no_response(attempt)
        return replica.ejected_for > 0 and not was_ejected

    def _retry_overdue(self, replica: KnownReplica) -> None:
        """Send those parts again that had no response at a replica before it was ejected for that.

        Each of them was evidence, and would have gone with a later check. Their next delay is long where rescued
        parts have raised the percentile. What is out there for a shorter time waits for its own delay: to send
        everything again at an ejection doubled the load.
        """
        attempts = list(self._dispatcher.open_attempts.values())
        for attempt in attempts:
            overdue = attempt.open and attempt.hedge_delays >= NO_RESPONSE_DELAYS
            if overdue and attempt.replica is replica and attempt.part.has_failed:
                self._retry_failed(attempt.part)

    def _breakers_open(self) -> bool:
        """Ask both breakers, as each changes its state only when asked."""
        now = self._context.now
        parts = self._first_sends.count(now)
        hedges_open = self._hedges.is_open(now, parts)
        failures_open = self.failures.is_open(now, parts)
        return hedges_open or failures_open

    def _is_queueing(self, part: Part) -> bool:
        """Whether the replicas queue, so that a hedge would only lengthen the queues.

        With nearly all of its query received, a part is late by itself.
        """
        query = part.query
        usual = self._latency.baseline[query.arrived.query_class]
        queueing = self._admission.expected_latency() > QUEUEING_LATENCY * usual
        return queueing and query.weight_received < 1 - MAX_STRAGGLER_WEIGHT

    def _retry_failed(self, part: Part) -> None:
        """Make another attempt at a part that is out at ejected replicas alone, if it can come in with any value.

        Such a part has failed. What bounds it is what bounds a retry: the attempt cap, the retry budget and the
        effects of its class. The cap on open hedges held such parts back round after round, up to the objective;
        past it none was sent, although a late answer was of value.
        """
        query = part.query
        has_late_value = query.query_class.late_weight > 0.0
        if self._can_answer_by(query, query.answer_by if has_late_value else query.objective_at):
            self._send_hedge(part)

    def _is_hedge_useful(self, part: Part) -> bool:
        """Whether a hedge is safe, is the only one, can come in before the objective and lengthens no queues."""
        query = part.query
        if query.query_class.retry_safety is not api.RetrySafety.IDEMPOTENT or self._is_queueing(part):
            return False
        return len(part.attempts) == 1 and self._can_answer_by(query, query.objective_at)

    def _can_answer_by(self, query: Query, due: float) -> bool:
        """Whether an attempt that is sent now is likely to be answered by then."""
        median = self._latency.percentile(query.arrived.query_class, 0.5)
        return self._context.now + median <= due

    def _is_below_cap(self, part: Part) -> bool:
        """Whether there are few enough hedges open."""
        attempts = self._dispatcher.open_attempts
        hedges = sum(attempt.hedged for attempt in attempts.values())
        cap = max(MAX_HEDGED_SHARE * len(attempts), MIN_HEDGED_SHARE_OF_QUERY * len(part.query.parts))
        return hedges < cap

    def _send_hedge(self, part: Part) -> None:
        """Send a part to a preferred replica beside those that it is out at."""
        replica = self._selector.substitute(part)
        if replica is None or not self._selector.is_preferred(replica, part.query):
            return
        if self._dispatcher.send(part, replica, hedged=True):
            self._hedges.add(self._context.now)
