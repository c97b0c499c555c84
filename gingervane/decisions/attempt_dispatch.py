"""Sends attempts within the rules, and tracks open attempts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.idle_connections import IdleConnectionLimit
from gingervane.decisions.query_state import Attempt, Part
from gingervane.decisions.replica_selection import ReplicaSelector
from gingervane.decisions.replica_state import KnownReplica, RequestKey
from gingervane.decisions.retry_budget import RetryBudget, time_margin
from gingervane.decisions.sliding_window import SlidingWindowCount
from gingervane.decisions.slow_start import SlowStart

# Largest number of attempts at a part, including those that are never sent, as a multiple of the attempt cap. Without
# this limit a process that cannot send would keep trying.
MAX_ATTEMPTS_PER_CAP = 2


class AttemptDispatcher:
    """Sends and closes all attempts: no other class adds to or removes from the open attempts."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        *,
        selector: ReplicaSelector,
        slow_start: SlowStart,
        retry_budget: RetryBudget,
        idle_connections: IdleConnectionLimit,
        first_sends: SlidingWindowCount,
        start_hedge_timer: Callable[[Attempt], None],
    ) -> None:
        self._settings = settings
        self._context = context
        self._selector = selector
        self._slow_start = slow_start
        self._retry_budget = retry_budget
        self._idle_connections = idle_connections
        self._first_sends = first_sends
        self._time_margin = time_margin(settings)
        self._start_hedge_timer = start_hedge_timer
        self.open_attempts = dict[tuple[int, int], Attempt]()  # by part id and attempt number
        self._parts_sent = Counter[KnownReplica]()  # number of parts sent to each replica in this batch

    def begin_batch(self) -> None:
        """Reset the counts of the last batch: parts of different batches never share a request."""
        self._parts_sent.clear()

    def send(self, part: Part, replica: KnownReplica, hedged: bool = False) -> bool:
        """Send a part to a replica if all rules permit it. Return whether it was sent."""
        if not self.may_send(part, replica, hedged):
            return False
        now = self._context.now
        if part.attempts_made:
            self._retry_budget.record_further_attempt()
            self._slow_start.record_request()  # one more draw of the cold replicas
        else:
            self._first_sends.add(now)
        part.may_have_run[part.attempts_made] = now
        replica.slow_start_tokens -= 1.0
        self._selector.record_send(replica)
        attempt = self._open(part, replica, hedged)
        self._context.actions.append(api.Send(part.arrival.id, replica.endpoint.id, part.query.answer_by))
        self._start_hedge_timer(attempt)
        return True

    def _open(self, part: Part, replica: KnownReplica, hedged: bool) -> Attempt:
        """Create the attempt and record it with its part and its replica."""
        now = self._context.now
        batch = self._context.batch
        request = RequestKey(now, batch, self._parts_sent[replica] // self._settings.max_parts_per_request)
        self._parts_sent[replica] += 1
        requests_ahead = sum(key.batch < batch for key in replica.requests)
        idle_before = self._idle_connections.prepare_send(replica)
        attempt = Attempt(part, part.attempts_made, replica, request, hedged, idle_before, requests_ahead)
        replica.requests[request] = replica.requests.get(request, 0) + 1
        self.open_attempts[part.arrival.id, attempt.number] = attempt
        part.attempts_made += 1
        part.attempts.append(attempt)
        part.tried_replicas.append(replica)
        return attempt

    def may_send(self, part: Part, replica: KnownReplica, hedged: bool = False) -> bool:
        """Whether deadline, attempt cap, replica, hedging, retry safety and retry budget permit an attempt."""
        query = part.query
        if query.settled or part.done or self._context.now >= query.answer_by:
            return False
        if self._is_at_cap(part) or not self._slow_start.may_send(replica):
            return False
        if part.attempts and not self._settings.hedging_allowed:
            return False
        if part.may_have_run and not self._may_run_again(part):
            return False
        is_retry = part.has_failed or not hedged
        return not part.attempts_made or self._retry_budget.allows_further_attempt(not is_retry)

    def _is_at_cap(self, part: Part) -> bool:
        """Whether a part has reached its attempt cap.

        Attempts that were never sent do not count for the cap, as no replica has received them.
        """
        cap = self._settings.max_attempts
        sent = part.attempts_made - part.attempts_not_sent
        return sent >= cap or part.attempts_made >= MAX_ATTEMPTS_PER_CAP * cap

    def _may_run_again(self, part: Part) -> bool:
        """Whether a repeated execution is safe: the part is idempotent, or still within its idempotency window."""
        query_class = part.query.query_class
        if query_class.retry_safety is api.RetrySafety.IDEMPOTENT:
            window = inf
        elif query_class.retry_safety is api.RetrySafety.NOT_IDEMPOTENT:
            window = 0.0
        else:
            window = query_class.idempotency_window or 0.0
        first_run_at = min(part.may_have_run.values())
        return self._context.now < first_run_at + window - self._time_margin

    def close(self, event: api.AttemptEnded) -> Attempt | None:
        """Remove an attempt that has ended and return it; return None if it is unknown."""
        attempt = self.open_attempts.pop((event.part, event.attempt), None)
        if attempt is None:
            return None
        attempt.open = False
        requests = attempt.replica.requests
        requests[attempt.request] -= 1
        if not requests[attempt.request]:
            del requests[attempt.request]
        attempt.part.attempts.remove(attempt)
        attempt.part.attempts_not_sent += event.outcome is api.AttemptOutcome.NEVER_SENT
        if event.outcome.never_ran:
            del attempt.part.may_have_run[event.attempt]
        return attempt

    def cancel(self, part: Part) -> None:
        """Mark a part as done and cancel its open attempts, if the site permits cancellation."""
        part.done = True
        if not self._settings.cancellation_allowed:
            return
        for attempt in part.attempts:
            if attempt.open:
                attempt.open = False
                self._context.actions.append(api.Cancel(part.arrival.id, attempt.number))
