"""Hedged requests: a late part is also sent to a second replica, and the first good answer wins."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from gingervane import interface as api
from gingervane.decisions.admission import AdmissionControl
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.attempt_timing import AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.circuit_breaker import CircuitBreaker
from gingervane.decisions.idle_connections import IdleConnectionLimit
from gingervane.decisions.outlier_ejection import FAILURE_WEIGHT, MAX_EJECTION, OutlierDetector
from gingervane.decisions.query_state import Attempt, Part, Query
from gingervane.decisions.replica_selection import ReplicaSelector
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Hedge delays after which an attempt counts as without response, unless the replica has answered a part that was
# sent at the same time or later (docs/design.md).
NO_RESPONSE_DELAYS = 2
# Largest share of the open attempts that may be hedges (docs/design.md, circuit breaker).
MAX_HEDGED_SHARE = 0.25
# Hedges that a query may always have, as a share of its parts (docs/design.md, circuit breaker).
MIN_HEDGED_SHARE_OF_QUERY = 0.10
# Largest missing weight of a query whose late parts count as stragglers and not as queued (docs/design.md).
MAX_STRAGGLER_WEIGHT = 0.10
# Seconds after a missing response during which the next send to the replica opens a new connection.
RECONNECT_PERIOD = 2 * MAX_EJECTION


class Hedging:
    """Monitors open attempts, and sends one hedge for a late part."""

    def __init__(
        self,
        context: BatchContext,
        *,
        admission: AdmissionControl,
        dispatcher: AttemptDispatcher,
        first_sends: SlidingWindowCount,
        idle_connections: IdleConnectionLimit,
        outlier_detector: OutlierDetector,
        selector: ReplicaSelector,
        timing: AttemptTiming,
        update_query: Callable[[Query], None],
    ) -> None:
        """`update_query`: ends a query whose outcome is known."""
        self._context = context
        self._admission = admission
        self._dispatcher = dispatcher
        self._first_sends = first_sends
        self._idle_connections = idle_connections
        self._outlier_detector = outlier_detector
        self._selector = selector
        self._timing = timing
        self._update_query = update_query
        self._hedge_breaker = CircuitBreaker(TRAFFIC_WINDOW)
        self.failure_breaker = CircuitBreaker(TRAFFIC_WINDOW)

    def record_failure(self) -> None:
        """Count a failed attempt: many failures suspend hedging."""
        self.failure_breaker.add(self._context.now)

    def start_timer(self, attempt: Attempt) -> None:
        """Schedule a check of the attempt after the hedge delay."""
        self._context.set_timer(self._timing.hedge_delay(attempt.part), partial(self._on_timer, attempt))

    def _on_timer(self, attempt: Attempt) -> None:
        """Record a missing response, and send a hedge or a retry if the attempt is still open and one is useful."""
        if not attempt.open:
            return
        self.start_timer(attempt)
        attempt.hedge_delays += 1
        newly_ejected = False
        if attempt.hedge_delays % NO_RESPONSE_DELAYS == 0:
            newly_ejected = self._check_response(attempt)
        part = attempt.part
        breakers_open = self._breakers_open()
        if part.query.is_unanswerable():
            self._update_query(part.query)
        elif part.has_failed:
            self._retry_failed(part)
        elif not breakers_open and self._is_hedge_useful(part) and self._is_below_cap(part):
            self._send_hedge(part)
        if newly_ejected:
            self._retry_overdue(attempt.replica)

    def _check_response(self, attempt: Attempt) -> bool:
        """Record a missing response, unless the replica has answered a part sent at the same time or later.

        Return True if this ejects a replica that was not ejected before.
        """
        replica = attempt.replica
        if replica.last_answered_send_at >= attempt.request.sent_at:
            return False
        attempt.unresponsive = True
        was_ejected = replica.ejected_for > 0
        replica.last_unresponsive_at = self._context.now
        self._outlier_detector.record_outcome(replica, FAILURE_WEIGHT, api.EjectionReason.NO_RESPONSE)
        replica.unresponsive_until = self._context.now + RECONNECT_PERIOD
        self._idle_connections.record_no_response(attempt)
        return replica.ejected_for > 0 and not was_ejected

    def _retry_overdue(self, replica: KnownReplica) -> None:
        """Retry the parts that were already without response at a replica when it was ejected for that.

        Otherwise each of them would wait for its next check, whose delay is long where rescued parts have raised the
        percentile. Parts that were sent more recently wait for their own hedge delay: to resend all parts at an
        ejection doubled the load.
        """
        attempts = list(self._dispatcher.open_attempts.values())
        for attempt in attempts:
            overdue = attempt.open and attempt.hedge_delays >= NO_RESPONSE_DELAYS
            if overdue and attempt.replica is replica and attempt.part.has_failed:
                self._retry_failed(attempt.part)

    def _breakers_open(self) -> bool:
        """Update both breakers, as each changes its state only when read, and return whether either is open."""
        now = self._context.now
        parts = self._first_sends.count(now)
        hedges_open = self._hedge_breaker.is_open(now, parts)
        failures_open = self.failure_breaker.is_open(now, parts)
        return hedges_open or failures_open

    def _is_queueing(self, part: Part) -> bool:
        """Whether requests queue at the replicas, so that a hedge would only lengthen the queues.

        A part of a query that is nearly complete is a straggler: its lateness does not indicate queueing.
        """
        is_straggler = part.query.weight_received >= 1 - MAX_STRAGGLER_WEIGHT
        return not is_straggler and self._admission.may_be_queueing()

    def _retry_failed(self, part: Part) -> None:
        """Make another attempt at a part that is open at ejected replicas only, if it can be answered in time.

        Such a part has failed, so that the limits of a retry apply: the attempt cap, the retry budget and the retry
        safety of its class. The cap on open hedges does not apply: it would delay such parts check after check while
        the caller's time passes.
        """
        if self._timing.can_be_answered(part):
            self._send_hedge(part)

    def _is_hedge_useful(self, part: Part) -> bool:
        """Whether a hedge is safe, does not lengthen queues, is the only one and can be answered in time.

        If neither the part nor its hedge had a response, one more is useful, although their replicas may not be
        ejected: where those are more than may be, the caller waited in vain beside an idle holder.
        """
        query = part.query
        if query.query_class.retry_safety is not api.RetrySafety.IDEMPOTENT or self._is_queueing(part):
            return False
        is_hedged = len(part.attempts) > 1 and not all(attempt.unresponsive for attempt in part.attempts)
        return not is_hedged and self._timing.can_be_answered(part)

    def _is_below_cap(self, part: Part) -> bool:
        """Whether the number of open hedges, less those without response, is below the cap."""
        attempts = self._dispatcher.open_attempts
        hedges = sum(attempt.hedged and not attempt.unresponsive for attempt in attempts.values())
        cap = max(MAX_HEDGED_SHARE * len(attempts), MIN_HEDGED_SHARE_OF_QUERY * len(part.query.parts))
        return hedges < cap

    def _send_hedge(self, part: Part) -> None:
        """Send a part to a preferred replica at which it is not open."""
        replica = self._selector.substitute(part)
        if replica is None or not self._selector.is_preferred(replica, part):
            return
        if self._dispatcher.send(part, replica, hedged=True):
            self._hedge_breaker.add(self._context.now)
