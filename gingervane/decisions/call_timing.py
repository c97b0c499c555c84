"""When a call to discovery is repeated after a failure, and when an unanswered one gets a further call beside it.

Both depend on the time that remains until a change that is still unknown may count as notified: calls become more
frequent as it runs out, and co-ordinators with a fresh list leave capacity in discovery's queue to those with a stale
one. A co-ordinator that does not serve yet, as it waits for its first list, breaks nothing by waiting longer: its
calls become less frequent, since discovery may be slow because a whole fleet is starting.
"""

from __future__ import annotations

from gingervane import interface as api

# First backoff in seconds after a failed watch. It is short and grows slowly: changes that the watch missed count as
# notified soon, and with many co-ordinators calling some calls are rejected.
INITIAL_BACKOFF = 0.1
# Growth factor of the backoff with each consecutive failure.
BACKOFF_GROWTH = 1.5
# Longest backoff, seconds.
MAX_BACKOFF = 2.0
# Minimum backoff per co-ordinator in seconds from the second consecutive failure on, when discovery is taken to be
# overloaded; limited by the longest backoff. Rejected calls take discovery's time too, so that a fleet that calls
# faster than they are processed would keep it overloaded.
OVERLOADED_BACKOFF_PER_COORDINATOR = 0.05
# Jitter factors of the backoff, so that co-ordinators do not call in step.
MIN_JITTER = 0.5
MAX_JITTER = 1.5
# The remaining time is divided by this to limit the backoff, so that several calls fit into it despite the jitter.
BACKOFFS_IN_REMAINING_TIME = 8
# The same in a large fleet while much time remains, which leaves capacity of discovery to co-ordinators with less.
LARGE_FLEET_BACKOFFS_IN_REMAINING_TIME = 2
# Limit per co-ordinator, in seconds, up to which the backoff is lengthened in a large fleet.
LARGE_FLEET_BACKOFF_PER_COORDINATOR = 0.07
# Longest backoff in seconds when no time remains, in the smallest fleets. This limit grows with the number of
# co-ordinators.
MIN_URGENT_BACKOFF = 0.05
# Largest mean rate of calls of the whole fleet when no co-ordinator has time remaining, calls per second.
MAX_FLEET_CALL_RATE = 6.0
# Longest backoff in seconds when no time remains, in the largest fleets.
MAX_URGENT_BACKOFF = 4 / 3
# Upper bound for the remaining time in the computation of a call's timeout, seconds.
MAX_REMAINING_TIME = 6.0
# A call without an answer gets a further call beside it after the remaining time divided by this.
CALL_TIMEOUTS_IN_REMAINING_TIME = 3
# Growth factor of that time with each call while this co-ordinator does not serve; the longest is `MAX_BACKOFF`.
CALL_TIMEOUT_GROWTH = 1.5
# Shortest time in seconds before that further call, as a place in discovery's queue is worth waiting for.
MIN_CALL_TIMEOUT = 1.25
# Where lists are pushed, the backoff is at most the drain grace divided by this, as all changes count as notified as
# soon as discovery has recovered.
PUSHED_BACKOFFS_PER_GRACE = 4
# Where lists are pushed, a call without an answer gets a further call after the drain grace divided by this.
PUSHED_CALL_TIMEOUTS_PER_GRACE = 2
# Upper bound for the drain grace in both cases, seconds.
MAX_PUSHED_GRACE = 6.0


class CallTiming:
    """The backoff after failed calls, and the timeout of unanswered ones. All times are in seconds."""

    def __init__(self, settings: api.Settings) -> None:
        self._polled = settings.membership_polled
        self._pushed_grace = min(max(settings.drain_grace, settings.timer_granularity), MAX_PUSHED_GRACE)
        coordinators = settings.coordinator_count
        self._urgent_backoff = min(
            max(MIN_URGENT_BACKOFF, coordinators / MAX_FLEET_CALL_RATE), MAX_URGENT_BACKOFF
        )
        self._fleet_backoff = LARGE_FLEET_BACKOFF_PER_COORDINATOR * coordinators
        self._overloaded_backoff = min(OVERLOADED_BACKOFF_PER_COORDINATOR * coordinators, MAX_BACKOFF)
        self.reset_backoff()

    def reset_backoff(self) -> None:
        """Start again with the first backoff and the first timeout."""
        self._backoff = INITIAL_BACKOFF
        self._first_list_timeout = MIN_CALL_TIMEOUT

    def next_backoff(self, remaining: float, is_serving: bool) -> float:
        """Return the backoff after a failure, without jitter, and lengthen the one after it.

        `remaining`: seconds until a change that is still unknown may count as notified. `is_serving`: whether this
        co-ordinator serves queries on the list that it has.
        """
        backoff = min(self._backoff, self._max_backoff(remaining)) if is_serving else self._backoff
        self._backoff = min(BACKOFF_GROWTH * self._backoff, MAX_BACKOFF)
        if self._polled or not is_serving:
            self._backoff = max(self._backoff, self._overloaded_backoff)
        return backoff

    def _max_backoff(self, remaining: float) -> float:
        if not self._polled:
            return self._pushed_grace / PUSHED_BACKOFFS_PER_GRACE
        large_fleet_backoff = min(remaining / LARGE_FLEET_BACKOFFS_IN_REMAINING_TIME, self._fleet_backoff)
        return max(remaining / BACKOFFS_IN_REMAINING_TIME, large_fleet_backoff, self._urgent_backoff)

    def call_timeout(self, remaining: float, is_serving: bool) -> float:
        """Return the time after which an unanswered call gets a further call; arguments as in `next_backoff`."""
        if not is_serving:
            timeout = self._first_list_timeout
            self._first_list_timeout = min(CALL_TIMEOUT_GROWTH * timeout, MAX_BACKOFF)
            return timeout
        if not self._polled:
            return self._pushed_grace / PUSHED_CALL_TIMEOUTS_PER_GRACE
        return max(min(remaining, MAX_REMAINING_TIME) / CALL_TIMEOUTS_IN_REMAINING_TIME, MIN_CALL_TIMEOUT)
