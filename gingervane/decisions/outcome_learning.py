"""What the end of an attempt tells of its replica's health, of latencies, and of what replicas have answered."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.attempt_timing import AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.hedging import NO_RESPONSE_DELAYS, Hedging
from gingervane.decisions.idle_connections import IdleConnectionLimit
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.outlier_ejection import FAILURE_WEIGHT, REJECTION_WEIGHT, OutlierDetector
from gingervane.decisions.query_state import Attempt, Part, Query
from gingervane.decisions.replica_leases import ReplicaLeases
from gingervane.decisions.slow_start import SlowStart

# Outcomes that prove that the replica responds.
RESPONSE_OUTCOMES = (api.AttemptOutcome.OK, api.AttemptOutcome.ERROR, api.AttemptOutcome.REJECTED)
# Outcomes that are no evidence of a replica's health.
NEUTRAL_OUTCOMES = (api.AttemptOutcome.CANCELLED, api.AttemptOutcome.NEVER_SENT)


class OutcomeLearning:
    """Passes the evidence in attempts that have ended to the objects that keep it."""

    def __init__(
        self,
        context: BatchContext,
        *,
        hedging: Hedging,
        idle_connections: IdleConnectionLimit,
        latency: LatencyEstimator,
        leases: ReplicaLeases,
        outlier_detector: OutlierDetector,
        slow_start: SlowStart,
        timing: AttemptTiming,
    ) -> None:
        self._context = context
        self._hedging = hedging
        self._idle_connections = idle_connections
        self._latency = latency
        self._leases = leases
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._timing = timing

    def record_end(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Record the end of an attempt, before its part is answered or retried."""
        self._record_health(attempt, event.outcome)
        self._record_response(attempt, event)

    def record_unanswered(self, query: Query) -> None:
        """Count the time that open attempts have taken as their latency, which is at least as long.

        Without them an overload would look shorter than the callers' time however long it is. Attempts at ejected
        replicas, and those whose answers were lost, say nothing about queues.
        """
        if self._context.process_paused:
            return
        for part in query.parts:
            for attempt in part.attempts:
                replica, sent_at = attempt.replica, attempt.request.sent_at
                if not replica.ejected_for and replica.last_answered_send_at < sent_at:
                    now = self._context.now
                    query_class = query.arrival.query_class
                    self._latency.record_outcome(query_class, now - sent_at, attempt.requests_ahead, now)

    def _record_health(self, attempt: Attempt, outcome: api.AttemptOutcome) -> None:
        """Record an outcome as evidence for or against the health of the replicas concerned."""
        replica = attempt.replica
        if outcome is api.AttemptOutcome.OK:
            self._slow_start.record_answer()
            # An answer after the attempt has counted as without response is no evidence of health: it would
            # reinstate an overloaded replica, here and at all peers.
            if attempt.hedge_delays < NO_RESPONSE_DELAYS:
                self._outlier_detector.record_outcome(replica, 0.0)
            if attempt.hedged and not attempt.part.done and not self._context.process_paused:
                self._record_lost_to_hedge(attempt.part)
        elif outcome not in NEUTRAL_OUTCOMES:
            self._hedging.record_failure()
            if outcome not in RESPONSE_OUTCOMES:
                replica.last_unresponsive_at = self._context.now
            # Ejecting a replica whose queue is merely full would move its load to the next holder.
            rejected = outcome is api.AttemptOutcome.REJECTED
            weight = REJECTION_WEIGHT if rejected else FAILURE_WEIGHT
            self._outlier_detector.record_outcome(replica, weight, api.EjectionReason(outcome.value))

    def _record_lost_to_hedge(self, part: Part) -> None:
        """Record that a later hedge was faster: evidence against the replica even when the whole fleet is slow."""
        for attempt in part.attempts:
            self._outlier_detector.record_outcome(
                attempt.replica, FAILURE_WEIGHT, api.EjectionReason.LOST_TO_HEDGE
            )

    def _record_response(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the replica's state and the latency estimates from a response of any kind."""
        if event.outcome not in RESPONSE_OUTCOMES:
            return
        replica = attempt.replica
        replica.last_answered_send_at = max(replica.last_answered_send_at, attempt.request.sent_at)
        replica.unresponsive_until = 0.0
        if event.outcome is api.AttemptOutcome.OK:
            replica.last_served_send_at = max(replica.last_served_send_at, attempt.request.sent_at)
            self._leases.record_served()
        elif event.outcome is api.AttemptOutcome.REJECTED:
            replica.last_rejected_send_at = max(replica.last_rejected_send_at, attempt.request.sent_at)
        self._idle_connections.record_answer(attempt)
        if self._context.process_paused:
            return
        query = attempt.part.query
        query_class = query.arrival.query_class
        latency = relative_latency = event.latency
        if event.outcome is api.AttemptOutcome.REJECTED:
            # A full queue rejects at once, which says nothing about the queueing delay. Recording these short
            # latencies would hide an overload and prolong it. The slowest served parts were those of a long queue.
            latency = self._latency.slowest(query_class)
            # For its caller the part has used up one of the attempts that its time allows.
            relative_latency = self._timing.share_of_attempt(attempt.part)
        now = self._context.now
        self._latency.record_relative_latency(replica, query_class, relative_latency, now)
        self._latency.record_outcome(query_class, latency, attempt.requests_ahead, now)
