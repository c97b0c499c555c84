"""How old the knowledge of the endpoint list is, and when discovery is asked for it again.

Where the host says so, a change counts as notified some seconds after discovery had it, arrived or not. So the pause
between two calls, and the wait for an answer before a further call is made beside it, are measured by the time that
is left: calls come closer as it runs out, and co-ordinators whose knowledge is fresh leave the places in discovery's
queue to those whose knowledge is old.

While no watch is up, a replica holds a lease: what it has served proves that it did not drain when that was sent.
One whose lease has run out is doubtful: others go first. If it has only turned parts away since, or should have
served something meanwhile, it is sent nothing for a while.
"""

from __future__ import annotations

from enum import Enum
from functools import partial
from math import inf
from typing import NamedTuple

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.replica_state import KnownReplica

# Seconds that the list which a process finds at its start is taken to be old: nobody says how old it is.
CACHED_LIST_AGE = 3.0
# Seconds before a failed watch is asked for again at first. It is short and grows little: what an ended
# watch missed counts as notified soon, and of many co-ordinators that ask some are rejected.
INITIAL_BACKOFF = 0.1
# Growth of the backoff with each failure in a row.
BACKOFF_GROWTH = 1.5
# Longest backoff, seconds.
MAX_BACKOFF = 2.0
# From the second failure in a row on discovery is crowded: the backoff is at least so many seconds for each
# co-ordinator, up to the longest. Calls that are refused take its time too: a fleet that asks again faster than they
# are worked off keeps it crowded for good.
CROWDED_BACKOFF_PER_COORDINATOR = 0.05
# Random spread of the backoff as factors, so that co-ordinators do not ask in step.
MIN_JITTER = 0.5
MAX_JITTER = 1.5
# The backoff is at most the time that is left over this: with its spread, several calls still fit in. ...
BACKOFFS_IN_TIME_LEFT = 8
# ... In a large fleet two do, as long as there is much time: so places in discovery's queue are left to those ...
CROWDED_BACKOFFS_IN_TIME_LEFT = 2
# ... that have little of it. Seconds for each co-ordinator up to which that lengthens the backoff.
LARGE_FLEET_BACKOFF_PER_COORDINATOR = 0.07
# Shortest backoff for want of time, seconds.
MIN_URGENT_BACKOFF = 0.05
# Calls a second that all co-ordinators together make at most, in the mean, if none of them has any time left.
MAX_FLEET_CALL_RATE = 6.0
# Longest backoff for want of time, seconds.
MAX_URGENT_BACKOFF = 4 / 3
# Time left that counts for a wait at most, seconds.
MAX_TIME_LEFT = 6.0
# A call that has not been answered gets another beside it after the time that is left over this ...
WAITS_IN_TIME_LEFT = 3
# ... but not sooner than this many seconds, as a place in discovery's queue is worth waiting for.
MIN_WAIT = 1.25
# Where lists are pushed the backoff is at most the drain grace over this, as all changes count as notified
# at once when discovery is back, ...
PUSHED_BACKOFFS_PER_GRACE = 4
# ... and a call waits for the grace over this before there is another beside it.
PUSHED_WAITS_PER_GRACE = 2
# Longest drain grace that counts for that, seconds.
MAX_PUSHED_GRACE = 6.0
# Seconds after its lease ran out, or it last turned a part away, for which a replica is not sent to at all. Then it
# is tried again, if there is no other: it may serve all the same, and discovery may be away for long.
BAR_DURATION = 12.0
# Seconds for which a peer's report that a replica drains or is gone holds; it is told again every 2 s.
REPORT_LIFETIME = 6.0
# Parts that a ready replica has served in the mean while the watch is down, from which on one that has shown nothing
# is barred: where traffic is thinner, that it was not asked says nothing, and to bar it would cost whole shards.
EXPECTED_PARTS_SERVED = 3.0


class WatchTerms(NamedTuple):
    """What the host of the decisions can do, and what it owes, in the watch of the endpoint list.

    `parallel_calls`: how many calls to discovery it can have waiting at once. `notified_within`: seconds after
    discovery had a change, and could be reached, by when it counts as notified, arrived or not.
    """

    parallel_calls: int = 1
    notified_within: float = inf


DEFAULT_WATCH_TERMS = WatchTerms()


class WatchPhase(Enum):
    """What has been heard of the watch."""

    PENDING = "pending"  # nothing yet, or nobody has asked
    UP = "up"  # a list
    DOWN = "down"  # since the last list: a failure, or no answer for too long


class MembershipWatch:
    """The watch of the endpoint list, as far as it is decided upon."""

    def __init__(self, settings: api.Settings, context: BatchContext, terms: WatchTerms) -> None:
        self._context = context
        self._polled = settings.membership_polled
        self._calls_may_overlap = terms.parallel_calls > 1
        self._notified_within = terms.notified_within
        self._pushed_grace = min(max(settings.drain_grace, settings.timer_granularity), MAX_PUSHED_GRACE)
        coordinators = settings.coordinator_count
        self._min_backoff = min(
            max(MIN_URGENT_BACKOFF, coordinators / MAX_FLEET_CALL_RATE), MAX_URGENT_BACKOFF
        )
        self._fleet_backoff = LARGE_FLEET_BACKOFF_PER_COORDINATOR * coordinators
        self._crowded_backoff = min(CROWDED_BACKOFF_PER_COORDINATOR * coordinators, MAX_BACKOFF)
        self._backoff = INITIAL_BACKOFF
        self._phase = WatchPhase.PENDING
        self._known_at = -inf  # while it is not up: when all was known that discovery had then
        self._served_parts = 0  # by all replicas, while it is not up
        self.ready_replicas = 0  # in the endpoint list
        self._calls = 0  # that have been asked for
        self._retry_pending = False

    def ask(self) -> None:
        """Ask for the endpoint list and its changes; once more beside that, if no answer comes in time."""
        self._retry_pending = False
        self._calls += 1
        self._context.actions.append(api.WatchMembership())
        if self._calls_may_overlap:
            self._context.set_timer(self._longest_wait(), partial(self._hedge, self._calls))

    def record_list(self) -> None:
        """Note that a list has come, or a change, or word that there is none."""
        self._backoff = INITIAL_BACKOFF
        self._phase = WatchPhase.UP
        self._served_parts = 0

    def on_interruption(self, event: api.WatchInterrupted) -> None:
        """Take word that the watch has ended or fallen silent."""
        self.record_failure(event.silent_for)

    def record_failure(self, silent_for: float = 0.0) -> None:
        """Note that a call has failed, or that the watch last spoke so many seconds ago: ask again soon."""
        if self._phase is WatchPhase.UP:
            self._known_at = self._context.now - silent_for
        self._phase = WatchPhase.DOWN
        if self._retry_pending:
            return
        self._retry_pending = True
        jitter = self._context.random.uniform(MIN_JITTER, MAX_JITTER)
        self._context.set_timer(min(self._backoff, self._max_backoff()) * jitter, self.ask)
        self._backoff = min(BACKOFF_GROWTH * self._backoff, MAX_BACKOFF)
        if self._polled:
            self._backoff = max(self._backoff, self._crowded_backoff)

    @property
    def is_up(self) -> bool:
        """Whether a list has come on the watch since it last failed."""
        return self._phase is WatchPhase.UP

    def record_served(self) -> None:
        """Count a part that a replica has served."""
        self._served_parts += 1

    def is_doubtful(self, replica: KnownReplica) -> bool:
        """Whether a replica may have begun to drain, or have gone, without this being known in time."""
        return self._phase is WatchPhase.DOWN and self._has_lease_expired(replica)

    def is_barred(self, replica: KnownReplica) -> bool:
        """Whether a replica is to be sent nothing: it drains, or what it may have begun counts as notified by now."""
        if not self.is_up and self._context.now < replica.reported_draining_at + REPORT_LIFETIME:
            return True
        if not self.is_doubtful(replica):
            return False
        if not _only_turns_away(replica) and not self._should_have_served():
            return False
        since = max(self._lease_end(replica), replica.last_rejected_send_at)
        return self._context.now < since + BAR_DURATION

    def _should_have_served(self) -> bool:
        """Whether traffic is dense enough that each replica in service would have served something by now."""
        return self._served_parts >= EXPECTED_PARTS_SERVED * max(self.ready_replicas, 1)

    def _has_lease_expired(self, replica: KnownReplica) -> bool:
        return self._polled and self._context.now > self._lease_end(replica)

    def _lease_end(self, replica: KnownReplica) -> float:
        """Until when no change that is not known can count as notified."""
        return max(self._known_since(), replica.last_served_send_at) + self._notified_within

    def _hedge(self, call: int) -> None:
        """Ask once more if the last call asked for is still without an answer."""
        if call == self._calls and self._phase is not WatchPhase.UP and not self._retry_pending:
            self._phase = WatchPhase.DOWN
            self.ask()

    def _known_since(self) -> float:
        return max(self._known_at, self._context.started_at - CACHED_LIST_AGE)

    def _time_left(self) -> float:
        """Seconds until what is not known yet may count as notified."""
        return self._known_since() + self._notified_within - self._context.now

    def _max_backoff(self) -> float:
        if not self._polled:
            return self._pushed_grace / PUSHED_BACKOFFS_PER_GRACE
        left = self._time_left()
        in_crowd = min(left / CROWDED_BACKOFFS_IN_TIME_LEFT, self._fleet_backoff)
        return max(left / BACKOFFS_IN_TIME_LEFT, in_crowd, self._min_backoff)

    def _longest_wait(self) -> float:
        if not self._polled:
            return self._pushed_grace / PUSHED_WAITS_PER_GRACE
        left = min(self._time_left(), MAX_TIME_LEFT)
        return max(left / WAITS_IN_TIME_LEFT, MIN_WAIT)


def _only_turns_away(replica: KnownReplica) -> bool:
    """Whether a replica has turned parts away and served none that was sent later: one that drains does so."""
    return replica.last_rejected_send_at > replica.last_served_send_at
