"""Completes queries and their steps as soon as the outcome is known."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.admission import AdmissionControl
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.completeness import QueryState, is_complete, may_answer
from gingervane.decisions.hedging import NO_RESPONSE_DELAYS
from gingervane.decisions.query_state import Query

# Number of timer granularities by which a timer is set early, so that the action is in time even if it fires late.
TIMER_MARGIN = 2


class QueryCompletion:
    """The open queries, and the rules by which they complete."""

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
        self.queries = dict[int, Query]()  # open queries by id
        self.queries_by_number = dict[int, Query]()

    def open(self, query: Query) -> None:
        """Keep a query until it completes."""
        self.queries[query.arrival.id] = query
        self.queries_by_number[query.arrival.number] = query

    def update(self, query: Query) -> None:
        """Answer the query's step or end the query if its outcome is known.

        It is known if the parts suffice for a complete answer, if no further part can come, or if no answer is
        possible. While a part may still come in the caller's time, a partial answer waits for it, as long as that
        leaves time for a second step. Between its steps a query has no parts, which does not mean that all parts were
        received: without the check a timer that fires then would give an answer without any part.
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
            if not _awaits_proof(query):
                self.reject_or_fail(query, api.QueryEndReason.PARTS_LOST)
        elif may_answer(query_class, query.state, coverage):
            if all(part.done or part.lost for part in query.parts):
                self._answer(query, False, api.QueryEndReason.PARTIAL_NO_MORE_PARTS)
            elif query.state is QueryState.FIRST_STEP and self._context.now >= query.first_step_ends_at:
                self._answer(query, False, api.QueryEndReason.PARTIAL_AT_DEADLINE)

    def on_deadline(self, query: Query) -> None:
        """Shortly before the deadline, give a partial answer if the class permits one, else none."""
        if may_answer(query.query_class, query.state, query.coverage):
            self._answer(query, False, api.QueryEndReason.PARTIAL_AT_DEADLINE)
        elif not query.settled:
            self.reject_or_fail(query, api.QueryEndReason.DEADLINE)

    def _answer(self, query: Query, complete: bool, reason: api.QueryEndReason) -> None:
        answer = api.Answer(query.arrival.id, complete and query.first_step_complete, reason)
        self._context.actions.append(answer)
        if query.query_class.second_step_parts and query.state is QueryState.FIRST_STEP:
            self._cancel_parts(query)
            query.close_first_step(complete)
        else:
            self.close(query)

    def reject_or_fail(self, query: Query, reason: api.QueryEndReason) -> None:
        """End a query without an answer: rejected if a retry is harmless, failed otherwise."""
        harmless = query.query_class.retry_safety is api.RetrySafety.IDEMPOTENT or not any(
            part.may_have_run for part in query.parts
        )
        if harmless and query.state is QueryState.FIRST_STEP:
            self._context.actions.append(
                api.Reject(query.arrival.id, self._retry_after(query.arrival.query_class), reason)
            )
        else:
            self._context.actions.append(api.Fail(query.arrival.id, reason))
        self.close(query)

    def _retry_after(self, query_class: int) -> float:
        """Advised seconds before a client retry; 0 if advice is not allowed."""
        if not self._settings.retry_after_allowed:
            return 0.0
        expected = max(self._admission.expected_latency(query_class), self._settings.timer_granularity)
        return min(self._settings.max_retry_after, expected)

    def abandon(self, query_id: int) -> None:
        """Close a query whose client has disconnected."""
        query = self.queries.get(query_id)
        if query is not None:
            self.close(query)

    def close(self, query: Query) -> None:
        """Remove a query and cancel its open attempts."""
        del self.queries[query.arrival.id]
        del self.queries_by_number[query.arrival.number]
        self._cancel_parts(query)
        query.settle()

    def _cancel_parts(self, query: Query) -> None:
        for part in query.parts:
            self._dispatcher.cancel(part)


def _awaits_proof(query: Query) -> bool:
    """Whether attempts whose replicas may still respond are all that keeps a query from being rejected.

    Without the proof that nothing was executed the caller of such a class may not send it again.
    """
    if (
        query.query_class.retry_safety is api.RetrySafety.IDEMPOTENT
        or query.state is not QueryState.FIRST_STEP
    ):
        return False
    awaited = False
    for part in query.parts:
        expected = {a.number for a in part.attempts if a.hedge_delays < NO_RESPONSE_DELAYS}
        if not expected.issuperset(part.may_have_run):
            return False
        awaited = awaited or bool(part.may_have_run)
    return awaited
