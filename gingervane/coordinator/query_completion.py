"""How queries end: what an answer may claim, the result of a query, and the ends at a shutdown. Free of I/O.

The decision module is not believed: what an answer may claim is asked of `decisions.completeness` again, from the
results received.
"""

from __future__ import annotations

from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.open_queries import OpenQueries, OpenQuery
from gingervane.decisions.completeness import Coverage, is_complete, may_answer

ANSWERED = (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)


class Completion(NamedTuple):
    """How a query ends. `detail`: in place of the last failed attempt's; `complete`: marked as complete."""

    status: t.QueryStatus
    reason: api.QueryEndReason
    retry_after: float = 0.0
    detail: str = ""
    complete: bool = False


CLIENT_DISCONNECTED = Completion(t.QueryStatus.CLIENT_DISCONNECTED, api.QueryEndReason.CLIENT_DISCONNECTED)


def shutdown_completion(status: t.QueryStatus) -> Completion:
    """Return the completion of a query that a shutdown ends."""
    return Completion(status, api.QueryEndReason.SHUTDOWN, detail="shutting down")


def coverage_violation(
    query: OpenQuery, query_class: api.QueryClass, coverage: Coverage, complete: bool
) -> str:
    """Say what is wrong with an answer from the results received; empty if nothing is."""
    if not may_answer(query_class, query.state, coverage):
        return "an answer under its least share"
    if complete and not (query.first_step_complete and is_complete(query_class, query.state, coverage)):
        return "an answer marked whole that is not"
    return ""


def result_of(query: OpenQuery, completion: Completion) -> t.QueryResult:
    """Return the result of a query that ends so."""
    coverage = query.coverage
    answered = completion.status in ANSWERED
    return t.QueryResult(
        completion.status,
        query.results if answered else {},
        completion.retry_after,
        completion.detail or _default_detail(query, completion.status),
        query.attempts,
        min(coverage.weight_received, 1.0),
        query.result_bytes if answered else 0,
        completion.complete,
        completion.reason,
        2 if query.in_second_step else 1,
        coverage.parts_requested,
        coverage.parts_received,
    )


def _default_detail(query: OpenQuery, status: t.QueryStatus) -> str:
    if status is t.QueryStatus.REJECTED and not query.attempts:
        return "nothing was sent: too much is waiting, or a part has no replica that may be asked"
    return query.detail


def completions_at_shutdown(open_queries: OpenQueries, settings: api.Settings) -> dict[int, Completion]:
    """How to end every open query at a shutdown, by id.

    A query is rejected if the client may repeat it without harm, else failed. No event tells the decision module, and
    none is needed: it follows from what may have run.
    """
    completions: dict[int, Completion] = {}
    for query in open_queries.queries.values():
        query_class = settings.query_classes[query.submitted.plan.query_class]
        parts = [open_queries.parts[part_id] for part_id in query.part_ids]
        may_have_run = any(part.possible_executions or part.in_flight for part in parts)
        safe_to_retry = query_class.retry_safety is api.RetrySafety.IDEMPOTENT or not may_have_run
        status = t.QueryStatus.REJECTED if safe_to_retry else t.QueryStatus.FAILED
        completions[query.id] = shutdown_completion(status)
    return completions
