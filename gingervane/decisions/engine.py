"""The decision engine of a gingervane co-ordinator. Types, events and actions: `gingervane/interface.py`.

In the normal case a query goes to the replica position with the fewest open requests. An idempotent part that exceeds
the 95th percentile of its class's latency gets one hedge; the first good answer wins and the other attempt is
cancelled. A circuit breaker on the share of hedges suspends hedging. docs/design.md describes all other cases.

The engine passes each event to the object that owns the state which it changes. The rules and their constants are in
the other modules of this package, one concern per module.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from gingervane import interface as api
from gingervane.decisions.admission import AdmissionControl
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.attempt_timing import AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.completeness import QueryState
from gingervane.decisions.drain_reports import DrainReports
from gingervane.decisions.hedging import Hedging
from gingervane.decisions.idle_connections import IdleConnectionLimit
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.membership import Membership
from gingervane.decisions.outcome_learning import OutcomeLearning
from gingervane.decisions.outlier_ejection import OutlierDetector
from gingervane.decisions.query_completion import TIMER_MARGIN, QueryCompletion
from gingervane.decisions.query_state import Attempt, Part, Query
from gingervane.decisions.replica_selection import ReplicaSelector
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.retry_budget import RetryBudget
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount
from gingervane.decisions.slow_start import SlowStart
from gingervane.decisions.watch_options import DEFAULT_WATCH_OPTIONS, WatchOptions


class DecisionEngine:
    """Takes the decisions of one co-ordinator, from its settings and its events only."""

    def __init__(
        self, settings: api.Settings, seed: int, watch_options: WatchOptions = DEFAULT_WATCH_OPTIONS
    ) -> None:
        self.settings = settings
        self.context = BatchContext(settings.timer_granularity, seed)
        self.membership = Membership(settings, self.context, watch_options)
        self.slow_start = SlowStart(settings, self.context, self.membership)
        self.latency = LatencyEstimator(settings.query_classes)
        self._timing = AttemptTiming(settings, self.context, self.membership, self.latency)
        first_sends = SlidingWindowCount(TRAFFIC_WINDOW)
        self._outlier_detector = OutlierDetector(settings, self.context, self.membership, first_sends)
        self._drain_reports = DrainReports(settings, self.context, self.membership, watch_options)
        self._idle_connections = IdleConnectionLimit(self.context, self._timing)
        self._retry_budget = RetryBudget(settings, self.context)
        self._selector = ReplicaSelector(
            settings, self.context, self.membership, self.slow_start, self._timing
        )
        self._dispatcher = self._make_dispatcher(first_sends)
        self._admission = AdmissionControl(
            settings, self.context, self.membership, self.latency, self._timing, self._dispatcher
        )
        self.completion = QueryCompletion(
            settings, self.context, admission=self._admission, dispatcher=self._dispatcher
        )
        self.hedging = self._make_hedging(first_sends)
        self._learning = self._make_learning()
        self._changed_queries = dict[int, Query]()  # by id: queries with parts that arrived in this batch
        self._handlers = self._event_handlers()

    def _make_dispatcher(self, first_sends: SlidingWindowCount) -> AttemptDispatcher:
        return AttemptDispatcher(
            self.settings,
            self.context,
            selector=self._selector,
            slow_start=self.slow_start,
            retry_budget=self._retry_budget,
            idle_connections=self._idle_connections,
            first_sends=first_sends,
            start_hedge_timer=self._start_hedge_timer,
        )

    def _make_hedging(self, first_sends: SlidingWindowCount) -> Hedging:
        return Hedging(
            self.context,
            admission=self._admission,
            dispatcher=self._dispatcher,
            first_sends=first_sends,
            idle_connections=self._idle_connections,
            outlier_detector=self._outlier_detector,
            selector=self._selector,
            timing=self._timing,
            update_query=self.completion.update,
        )

    def _make_learning(self) -> OutcomeLearning:
        return OutcomeLearning(
            self.context,
            hedging=self.hedging,
            idle_connections=self._idle_connections,
            latency=self.latency,
            leases=self.membership.leases,
            outlier_detector=self._outlier_detector,
            slow_start=self.slow_start,
            timing=self._timing,
        )

    def _event_handlers(self) -> dict[type, Callable[..., None]]:
        """Handlers by event type. Health checks have none, as the engine does not request them."""
        return {
            api.AttemptEnded: self._on_attempt_ended,
            api.DiscoveryAddressChanged: self.membership.watch.on_address_change,
            api.DiscoveryContactChanged: self.membership.readiness.on_contact_change,
            api.MembershipChanged: self._drain_reports.on_membership,
            api.PartArrived: self._on_part_arrived,
            api.PeerMessageReceived: self._on_peer_message,
            api.QueryAbandoned: self._on_query_abandoned,
            api.QueryArrived: self._on_query_arrived,
            api.TimerFired: self.context.fire,
            api.WatchInterrupted: self.membership.watch.on_interruption,
        }

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Process one batch of events in order and return the resulting actions."""
        self.context.begin(now, events)
        self._selector.begin_batch()
        self._dispatcher.begin_batch()
        if self.context.batch == 1:
            self.membership.watch.start()
            self.membership.readiness.start()
        # Events received during a pause of this process are handled before any timer. Otherwise replicas that have
        # answered would count as unresponsive.
        for event in sorted(events, key=_is_timer):
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        changed = self._changed_queries
        self._changed_queries = {}
        for query in [query for query in changed.values() if not query.settled]:
            self._start_parts(query)
        return self.context.actions

    def _start_hedge_timer(self, attempt: Attempt) -> None:
        self.hedging.start_timer(attempt)

    def _on_peer_message(self, event: api.PeerMessageReceived) -> None:
        if not self._drain_reports.handle_message(event):
            self._outlier_detector.on_peer_message(event)

    def _on_query_abandoned(self, event: api.QueryAbandoned) -> None:
        self.completion.abandon(event.id)

    def _on_query_arrived(self, event: api.QueryArrived) -> None:
        now = self.context.now
        margin = TIMER_MARGIN * self.settings.timer_granularity
        query_class = self.settings.query_classes[event.query_class]
        answer_by = event.expires_at - margin
        query = Query(event, query_class, answer_by)
        self.completion.open(query)
        self._changed_queries[event.id] = query
        self._retry_budget.record_request()
        self._admission.record_query(event.tenant)
        self.latency.update_baseline(event.query_class, now)
        self.context.set_timer(answer_by - now, partial(self._on_deadline, query))
        if query_class.second_step_parts and query_class.required_coverage < query_class.complete_coverage:
            delay = answer_by - self._timing.second_step_time(query) - now
            query.first_step_ends_at = now + delay
            self.context.set_timer(delay, partial(self.completion.update, query))

    def _on_part_arrived(self, event: api.PartArrived) -> None:
        self._retry_budget.record_request()
        self.slow_start.record_request()
        query = self.completion.queries_by_number.get(event.query_number)
        if query is not None:
            query.add_part(Part(event, query, self.context.now))
            self._changed_queries[query.arrival.id] = query

    def _on_deadline(self, query: Query) -> None:
        if not query.settled:
            self._learning.record_unanswered(query)
        self.completion.on_deadline(query)

    def _start_parts(self, query: Query) -> None:
        """Send the parts of a step, or reject the query."""
        for part in query.parts:
            part.lost = not self._selector.has_usable_holder(part)
        parts = [part for part in query.parts if not part.lost]
        replicas = self._selector.assign(parts)
        if not self.membership.readiness.is_serving or not parts or query.is_unanswerable():
            self._reject(query, api.QueryEndReason.NO_REPLICA)
        elif self._is_over_capacity(query, parts, replicas):
            self._reject(query, api.QueryEndReason.OVERLOAD)
        else:
            self._send_parts(parts, replicas)
        self.completion.update(query)

    def _is_over_capacity(self, query: Query, parts: list[Part], replicas: list[KnownReplica]) -> bool:
        """Whether to shed a query. A query whose first step has been answered is never shed."""
        if query.state is QueryState.SECOND_STEP:
            return False
        return self._admission.is_over_capacity(query, parts, replicas)

    def _send_parts(self, parts: list[Part], replicas: list[KnownReplica]) -> None:
        for part, replica in zip(parts, replicas, strict=True):
            # Two parts of one query can use up a cold replica's tokens: the second goes to another replica.
            preferred = self._selector.is_preferred(replica, part)
            target = replica if preferred else self._selector.substitute(part)
            part.lost = target is None or not self._dispatcher.send(part, target)

    def _reject(self, query: Query, reason: api.QueryEndReason) -> None:
        """End a query of which no part was sent.

        If the reason is a lack of replicas, its parts earn slow-start tokens.
        """
        if query.is_unanswerable():
            self.slow_start.record_unservable(len(query.parts))
        self.completion.reject_or_fail(query, reason)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        attempt = self._dispatcher.close(event)
        if attempt is None:
            return
        self._learning.record_end(attempt, event)
        part = attempt.part
        if not part.done and event.outcome is api.AttemptOutcome.OK:
            self._receive_part(part, event.latency)
        else:
            self._schedule_retry(part, event.outcome)

    def _schedule_retry(self, part: Part, outcome: api.AttemptOutcome) -> None:
        """Retry a failed part at once or after a delay.

        It is given up at once if no retry is permitted, or if one after the delay would be too late for its caller.
        """
        delay = self._retry_delay(part, outcome)
        if not delay:
            self._retry(part)
        elif self._timing.can_be_answered(part, delay) and self._may_retry(part):
            self.context.set_timer(delay, partial(self._retry, part))
        elif not part.done:
            part.lost = not part.attempts
            self.completion.update(part.query)

    def _may_retry(self, part: Part) -> bool:
        """Whether a failed part could be sent again now."""
        replica = self._retry_target(part)
        return replica is not None and self._dispatcher.may_send(part, replica)

    def _retry_target(self, part: Part) -> KnownReplica | None:
        """The replica for another attempt at a failed part; None if there is none, or no answer is possible."""
        return None if part.query.is_unanswerable() else self._selector.substitute(part)

    def _retry_delay(self, part: Part, outcome: api.AttemptOutcome) -> float:
        """Seconds before the next attempt at a failed part.

        Immediate retries would overload replicas whose queues are full, and would keep a process busy that cannot
        send.
        """
        median_count = 0
        if outcome is api.AttemptOutcome.REJECTED and part.attempts_made < self.settings.max_attempts:
            median_count = part.attempts_made
        elif outcome is api.AttemptOutcome.NEVER_SENT and part.attempts_not_sent > 1:
            median_count = part.attempts_not_sent
        return median_count * self._timing.usual_latency(part)

    def _receive_part(self, part: Part, latency: float) -> None:
        """Process the first good answer to a part."""
        query = part.query
        if not self.context.process_paused:
            # A part rescued by a hedge counts as the hedge delay only. With the latency of the hedge added, rescued
            # parts would raise the percentile to the objective where over 5% of parts get no response.
            hedge_delay = part.may_have_run.get(1, 0.0) - part.first_sent_at
            self.latency.samples[query.arrival.query_class].append(max(latency, hedge_delay))
        self._dispatcher.cancel(part)
        query.receive(part)
        self.completion.update(query)

    def _retry(self, part: Part) -> None:
        """Retry a failed part at another replica; if no attempt is possible, the part is lost.

        Such a retry does not count as a hedge. An open attempt at an ejected replica has failed too, but may still be
        answered.
        """
        if part.done or (part.attempts and not part.has_failed):
            return
        replica = self._retry_target(part)
        sent = replica is not None and self._dispatcher.send(part, replica)
        part.lost = not sent and not part.attempts
        self.completion.update(part.query)


def _is_timer(event: api.Event) -> bool:
    return type(event) is api.TimerFired
