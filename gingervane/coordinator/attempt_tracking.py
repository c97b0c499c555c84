"""Ends attempts: reported by the transport, timed out, cancelled, or withheld before they were sent. Free of I/O.

If an attempt ends several times, the first end counts. When the driver ends an attempt, it claims it: an attempt that
no sender had claimed by then was not sent and never will be.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.driver_counts import Counts, increment
from gingervane.coordinator.open_queries import OpenAttempt, OpenPart, OpenQueries

AttemptObserver = Callable[[api.AttemptOutcome, int, float], None]  # takes the outcome, replica and seconds


class AttemptTracker:
    """Records the end of each attempt: its result, its record, effects, and one event for the decision engine."""

    def __init__(
        self, open_queries: OpenQueries, counts: Counts, cancellation_allowed: bool, observe: AttemptObserver
    ) -> None:
        """`cancellation_allowed`: whether replicas may be sent cancellations."""
        self._open = open_queries
        self._counts = counts
        self._cancellation_allowed = cancellation_allowed
        self._observe = observe

    def record_end(self, finished: t.AttemptFinished, effects: list[t.Effect]) -> list[api.Event]:
        """Record the first end of an attempt; later ones are only counted."""
        part = self._open.parts.get(finished.part)
        attempt = part.in_flight.pop(finished.attempt, None) if part else None
        if part is None or attempt is None:
            self._counts.late_endings += 1
            return []
        outcome = finished.outcome
        seconds = max(finished.finished_at - attempt.sent_at, 0.0)
        part.possible_executions += not outcome.never_ran
        if outcome is api.AttemptOutcome.OK:
            self._open.add_result(part, finished.result)
        elif finished.detail:
            part.query.detail = finished.detail
        part.query.attempts.append(_attempt_record(part, attempt, outcome, seconds))
        increment(self._counts.outcomes, outcome.value)
        self._observe(outcome, attempt.replica, seconds)
        _release_batch(attempt, effects)
        self._open.forget_part(finished.part)
        events: list[api.Event] = [
            api.AttemptEnded(finished.part, attempt.number, attempt.replica, outcome, seconds)
        ]
        if outcome is api.AttemptOutcome.OK:
            events += self.withhold_unsent(finished.part, finished.finished_at, effects)
        return events

    def end_locally(
        self,
        now: float,
        part_id: int,
        number: int,
        outcome: api.AttemptOutcome,
        detail: str,
        effects: list[t.Effect],
    ) -> list[api.Event]:
        """End an attempt in flight from this side, whatever the state of its connection."""
        part = self._open.parts.get(part_id)
        attempt = part.in_flight.get(number) if part else None
        if attempt is None:
            return []
        if attempt.claim():
            outcome = api.AttemptOutcome.NEVER_SENT
        elif attempt.request and attempt.batch:
            # The setting applies to timeouts too: the platform may forbid any cancellation.
            effects.append(
                t.AbandonAttempt(attempt.batch, attempt.request, self._cancellation_allowed, expired=True)
            )
        return self.record_end(t.AttemptFinished(part_id, number, outcome, now, None, detail), effects)

    def end_unsent(
        self, now: float, part_id: int, number: int, detail: str, effects: list[t.Effect]
    ) -> list[api.Event]:
        """End an attempt that was not sent and can no longer be sent."""
        never_sent = t.AttemptFinished(part_id, number, api.AttemptOutcome.NEVER_SENT, now, None, detail)
        return self.record_end(never_sent, effects)

    def withhold_unsent(self, part_id: int, now: float, effects: list[t.Effect]) -> list[api.Event]:
        """End the unsent attempts of a part whose result is no longer needed, also if cancellation is not allowed.

        Otherwise an attempt that waits for a connection could be sent long after its query was answered. Partly
        written frames are not completed either.
        """
        events: list[api.Event] = []
        part = self._open.parts.get(part_id)
        for attempt in list(part.in_flight.values()) if part else ():
            if attempt.claim():
                events += self.end_unsent(now, part_id, attempt.number, "not wanted any more", effects)
            elif attempt.request and attempt.batch and not self._cancellation_allowed:
                effects.append(
                    t.AbandonAttempt(attempt.batch, attempt.request, notify_replica=False, expired=False)
                )
        return events

    def withhold_from_replicas(
        self, replicas: Collection[int], now: float, effects: list[t.Effect]
    ) -> list[api.Event]:
        """End the unsent attempts to these replicas, which are draining or gone."""
        affected = [
            (part_id, attempt)
            for part_id, part in self._open.parts.items()
            for attempt in part.in_flight.values()
            if attempt.replica in replicas
        ]
        events: list[api.Event] = []
        for part_id, attempt in affected:
            if attempt.claim():
                events += self.end_unsent(now, part_id, attempt.number, "its replica drains", effects)
        return events


def _attempt_record(
    part: OpenPart, attempt: OpenAttempt, outcome: api.AttemptOutcome, seconds: float
) -> t.AttemptRecord:
    return t.AttemptRecord(
        part.plan.shard,
        attempt.number,
        attempt.replica,
        outcome.value,
        seconds,
        attempt.earlier_executions,
        outcome.never_ran,
    )


def _release_batch(attempt: OpenAttempt, effects: list[t.Effect]) -> None:
    """Cancel the attempt's batch request if it was the last open attempt of the batch."""
    if (batch := attempt.batch) is not None:
        batch.open_attempts -= 1
        if batch.open_attempts == 0:
            effects.append(t.CancelRequest(batch))
