"""Counts the requests that must be answered, and how many were: a refusal breaks no rule, but must be the exception.

An answer is expected if all of these hold from shortly before the request to its end:
- the query class is idempotent, and the client stayed connected;
- the node's process ran, and was neither paused nor sent SIGTERM or SIGKILL;
- at least one replica was in service, the process had been notified of that, and no fault was injected in the replica
  or on the link from the node to it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from math import inf

from faults.ledger import Ledger, NodeRun, Request
from faults.plans import Plan

FAULT_EFFECT_SECONDS = 0.5  # a fault this long before a request may still affect it
CHANGE_PROPAGATION_SECONDS = 6.0  # after which a node counts as notified of a change
MIN_ANSWERED_SHARE = 0.5  # of the expected answers; the platform requires half of what can be served


class ExpectedAnswers:
    """Counts for one run. `by_outcome`: requests with an expected answer by HTTP status, or `none` for no answer."""

    def __init__(self, plan: Plan, ledger: Ledger) -> None:
        self._plan, self._ledger = plan, ledger
        self._faults = defaultdict[tuple[int | None, int], list[float]](list)  # by node (None: any), replica
        for fault in ledger.injected:
            self._faults[fault.node, fault.replica].append(fault.at)
        for times in self._faults.values():
            times.sort()
        self.by_outcome = Counter[str]()
        for request in ledger.requests:
            if self._is_expected(request):
                self.by_outcome[str(request.status or "none")] += 1

    @property
    def share(self) -> float:
        """The share of the expected answers that were given; 1 if none was expected."""
        count = sum(self.by_outcome.values())
        return self.by_outcome["200"] / count if count else 1.0

    def _is_expected(self, request: Request) -> bool:
        class_plan = self._plan.classes[request.query_class]
        if class_plan.retry_safety != "safe" or request.disconnected_at is not None or self._plan.is_crowded:
            return False
        since, until = request.sent_at - FAULT_EFFECT_SECONDS, request.sent_at + request.timeout
        run = self._ledger.run_of(request.node, request.sent_at)
        if request.connected_at < run.started_at or not _runs_through(run, since, until):
            return False
        if any(n == request.node and at < until and end > since for at, end, n in self._ledger.pauses):
            return False
        ended = min(until, request.answered_at or until)
        return any(
            self._is_in_service(replica, since, until) and not self._has_fault(request, replica, since, ended)
            for replica in range(self._plan.replicas)
        )

    def _is_in_service(self, replica: int, since: float, until: float) -> bool:
        """Return whether a replica was in service throughout, and every process had been notified of that."""
        last_health = "SERVING"
        changed_at = -inf
        for change in self._ledger.endpoint_changes:
            if change.replica != replica:
                continue
            if change.at > until:
                break
            if change.at > since:
                return False
            last_health, changed_at = change.health, change.at
        return last_health == "SERVING" and changed_at + CHANGE_PROPAGATION_SECONDS < since

    def _has_fault(self, request: Request, replica: int, since: float, until: float) -> bool:
        for node in (None, request.node):
            times = self._faults[node, replica]
            first = bisect_left(times, since)
            if first < len(times) and times[first] <= until:
                return True
        return False


def _runs_through(run: NodeRun, since: float, until: float) -> bool:
    return run.started_at < since and until < min(run.terminated_at, run.killed_at)
