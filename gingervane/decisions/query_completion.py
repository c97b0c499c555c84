"""Ends queries, and steps of queries, as soon as their end is known."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.admission import AdmissionControl
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.completeness import QueryState, is_complete, may_answer
from gingervane.decisions.query_state import Query

# Timer granularities before a moment at which to act, so that the action is in time though a timer is late.
TIMER_MARGIN = 2


class QueryCompletion:
    """The queries that are not settled yet, and what settles them."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        *,
        admission: AdmissionControl,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self._settings = settings
        self._context = context
        self._admission = admission
        self._dispatcher = dispatcher
        self._margin = TIMER_MARGIN * settings.timer_granularity
        self.queries = dict[int, Query]()  # by id
        self.queries_by_number = dict[int, Query]()

    def open(self, query: Query) -> None:
        """Keep a query until it is settled."""
        self.queries[query.arrived.id] = query
        self.queries_by_number[query.arrived.number] = query

    def update(self, query: Query) -> None:
        """End what can be: with enough for a complete answer, with all there is to come, or for want of it.

        Between its steps a query has no parts, which says nothing of what was received: a timer that came
        just then once took no open part for all parts received, and answered without any.
        """
        if not query.state.has_parts:
            return
        query_class = query.query_class
        coverage = query.coverage
        if is_complete(query_class, query.state, coverage):
            all_parts = coverage.complete
            reason = api.QueryEndReason.ALL_PARTS if all_parts else api.QueryEndReason.COMPLETE_COVERAGE
            self._answer(query, True, reason)
        elif query.is_unanswerable():
            self.reject_or_fail(query, api.QueryEndReason.PARTS_LOST)
        elif may_answer(query_class, query.state, coverage):
            if self._partial_answer_pays(query):
                self._answer(query, False, api.QueryEndReason.PARTIAL_AT_OBJECTIVE)
            elif all(part.done or part.lost for part in query.parts):
                self._answer(query, False, api.QueryEndReason.PARTIAL_NO_MORE_PARTS)

    def _partial_answer_pays(self, query: Query) -> bool:
        """Whether a partial answer now is worth more than a complete one that misses the objective."""
        if self._context.now < query.objective_at - self._margin:
            return False
        query_class = query.query_class
        value = query_class.partial_weight * query.weight_received / query_class.complete_coverage
        return value > query_class.late_weight

    def on_deadline(self, query: Query) -> None:
        """Time is nearly up: a partial answer where the class permits one, else none."""
        if may_answer(query.query_class, query.state, query.coverage):
            self._answer(query, False, api.QueryEndReason.PARTIAL_AT_DEADLINE)
        elif not query.settled:
            self.reject_or_fail(query, api.QueryEndReason.DEADLINE)

    def _answer(self, query: Query, complete: bool, reason: api.QueryEndReason) -> None:
        answer = api.Answer(query.arrived.id, complete and query.first_step_complete, reason)
        self._context.actions.append(answer)
        if query.query_class.second_step_parts and query.state is QueryState.FIRST_STEP:
            self._cancel_parts(query)
            query.close_first_step(complete)
        else:
            self.close(query)

    def reject_or_fail(self, query: Query, reason: api.QueryEndReason) -> None:
        """End a query without an answer: rejected where to try again is harmless, else failed."""
        harmless = query.query_class.retry_safety is api.RetrySafety.IDEMPOTENT or not any(
            part.may_have_run for part in query.parts
        )
        if harmless and query.state is QueryState.FIRST_STEP:
            self._context.actions.append(api.Reject(query.arrived.id, self._retry_after(), reason))
        else:
            self._context.actions.append(api.Fail(query.arrived.id, reason))
        self.close(query)

    def _retry_after(self) -> float:
        """Seconds after which to try again; 0 where advice is not allowed."""
        if not self._settings.retry_after_allowed:
            return 0.0
        expected = max(self._admission.expected_latency(), self._settings.timer_granularity)
        return min(self._settings.max_retry_after, expected)

    def abandon(self, query_id: int) -> None:
        """Let go of a query whose client waits no longer."""
        query = self.queries.get(query_id)
        if query is not None:
            self.close(query)

    def close(self, query: Query) -> None:
        """Settle a query and cancel what is still out of it."""
        del self.queries[query.arrived.id]
        del self.queries_by_number[query.arrived.number]
        self._cancel_parts(query)
        query.settle()

    def _cancel_parts(self, query: Query) -> None:
        for part in query.parts:
            self._dispatcher.cancel(part)
