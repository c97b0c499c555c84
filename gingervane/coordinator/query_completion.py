"""Completes queries: checks coverage, builds results, and ends queries at a shutdown. Free of I/O.

The coverage that the decision engine claims for an answer is checked again, with `decisions.completeness`, against
the results that were actually received.
"""

from __future__ import annotations

from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.open_queries import OpenQueries, OpenQuery
from gingervane.decisions.completeness import Coverage, is_complete, may_answer

ANSWERED = (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)


class Completion(NamedTuple):
    """How a query ends. `detail`: replaces that of the last failed attempt; `complete`: the answer is so marked."""

    status: t.QueryStatus
    reason: api.QueryEndReason
    retry_after: float = 0.0
    detail: str = ""
    complete: bool = False


CLIENT_DISCONNECTED = Completion(t.QueryStatus.CLIENT_DISCONNECTED, api.QueryEndReason.CLIENT_DISCONNECTED)


def shutdown_completion(status: t.QueryStatus) -> Completion:
    """Return the completion of a query that ends because of a shutdown."""
    return Completion(status, api.QueryEndReason.SHUTDOWN, detail="shutting down")


def coverage_violation(
    query: OpenQuery, query_class: api.QueryClass, coverage: Coverage, complete: bool
) -> str:
    """Return how an answer from the results received would violate the coverage rules; empty if it would not."""
    if not may_answer(query_class, query.state, coverage):
        return "an answer under its least share"
    if complete and not (query.first_step_complete and is_complete(query_class, query.state, coverage)):
        return "an answer marked whole that is not"
    return ""


def result_of(query: OpenQuery, completion: Completion) -> t.QueryResult:
    """Return the result of a query for this completion."""
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
    """Return the completion of every open query at a shutdown, by query id.

    A query is rejected if its client may safely retry it, and fails otherwise. That depends only on the query class
    and on whether any attempt may have run, so the decision engine is not consulted.
    """
    completions: dict[int, Completion] = {}
    for query in open_queries.queries.values():
        query_class = settings.query_classes[query.submitted.plan.query_class]
        may_have_run = any(part.may_have_run for part in open_queries.parts_of(query))
        safe_to_retry = query_class.retry_safety is api.RetrySafety.IDEMPOTENT or not may_have_run
        status = t.QueryStatus.REJECTED if safe_to_retry else t.QueryStatus.FAILED
        completions[query.id] = shutdown_completion(status)
    return completions
