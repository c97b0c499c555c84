"""Tracks the staleness of the endpoint list, and decides when to request it again from discovery.

Where the host sets a limit (`WatchOptions.notified_within`), a change counts as notified that many seconds after
discovery had it, received or not. The backoff between two calls, and the time after which a further call is made
while the first is unanswered, therefore depend on the time that remains: calls become more frequent as it runs out,
and co-ordinators with a fresh list leave capacity in discovery's queue to those with a stale one.

While no watch is up, each replica holds a lease. Each part that it serves renews the lease, as it proves that the
replica did not drain when that part was sent. A replica whose lease has expired is used only after all others. If it
has only rejected parts since, or should have served some meanwhile, it is excluded from selection for a while.
"""

from __future__ import annotations

from enum import Enum
from functools import partial
from math import inf
from typing import NamedTuple

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.replica_state import KnownReplica

# Assumed age in seconds of the list with which a process starts, as its real age is unknown.
CACHED_LIST_AGE = 3.0
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
# Shortest time in seconds before that further call, as a place in discovery's queue is worth waiting for.
MIN_CALL_TIMEOUT = 1.25
# Where lists are pushed, the backoff is at most the drain grace divided by this, as all changes count as notified as
# soon as discovery has recovered.
PUSHED_BACKOFFS_PER_GRACE = 4
# Where lists are pushed, a call without an answer gets a further call after the drain grace divided by this.
PUSHED_CALL_TIMEOUTS_PER_GRACE = 2
# Upper bound for the drain grace in both cases, seconds.
MAX_PUSHED_GRACE = 6.0
# Seconds for which a replica is excluded, from the later of the end of its lease and its last rejection. It is then
# tried again if there is no other holder: it may still serve, and discovery may be unavailable for long.
EXCLUSION_DURATION = 12.0
# Seconds for which a peer's drain report is valid; peers repeat it every 2 s.
REPORT_LIFETIME = 6.0
# Mean number of parts that each ready replica must have served while the watch is down before one that served none is
# excluded. With less traffic a replica may not have been sent any part, and excluding it would lose whole shards.
EXPECTED_PARTS_SERVED = 3.0


class WatchOptions(NamedTuple):
    """Properties of the host's watch of the endpoint list.

    `parallel_calls`: number of calls to discovery that can be waiting at once. `notified_within`: seconds after which
    a change counts as notified, received or not, from when discovery had it and could be reached.
    `pushed_on_request`: whether pushed lists, too, are received only after a request.
    """

    parallel_calls: int = 1
    notified_within: float = inf
    pushed_on_request: bool = False


DEFAULT_WATCH_OPTIONS = WatchOptions()


class WatchPhase(Enum):
    """State of the watch."""

    PENDING = "pending"  # nothing received yet, or not requested
    UP = "up"  # a list has been received
    DOWN = "down"  # since the last list a call failed or was not answered in time


class MembershipWatch:
    """Decides on the watch of the endpoint list, and whether replicas may be used while it is down."""

    def __init__(self, settings: api.Settings, context: BatchContext, watch_options: WatchOptions) -> None:
        self._context = context
        self._polled = settings.membership_polled
        self._requested_at_start = settings.membership_polled or watch_options.pushed_on_request
        self._calls_may_overlap = watch_options.parallel_calls > 1
        self._notified_within = watch_options.notified_within
        self._pushed_grace = min(max(settings.drain_grace, settings.timer_granularity), MAX_PUSHED_GRACE)
        coordinators = settings.coordinator_count
        self._urgent_backoff = min(
            max(MIN_URGENT_BACKOFF, coordinators / MAX_FLEET_CALL_RATE), MAX_URGENT_BACKOFF
        )
        self._fleet_backoff = LARGE_FLEET_BACKOFF_PER_COORDINATOR * coordinators
        self._overloaded_backoff = min(OVERLOADED_BACKOFF_PER_COORDINATOR * coordinators, MAX_BACKOFF)
        self._backoff = INITIAL_BACKOFF
        self._phase = WatchPhase.PENDING
        self._last_current_at = -inf  # while the watch is not up: time at which the list was last current
        self._served_parts = 0  # parts served by all replicas while the watch is not up
        self.ready_replicas = 0  # number of ready replicas in the endpoint list
        self._calls_made = 0  # number of calls requested
        self._retry_pending = False

    def start(self) -> None:
        """Make the first call, where lists come on request."""
        if self._requested_at_start:
            self.request_updates()

    def request_updates(self) -> None:
        """Request the endpoint list and its changes, and a further call if no answer comes in time."""
        self._retry_pending = False
        self._calls_made += 1
        self._context.actions.append(api.WatchMembership())
        if self._calls_may_overlap:
            self._context.set_timer(
                self._call_timeout(), partial(self._hedge_unanswered_call, self._calls_made)
            )

    def record_list(self) -> None:
        """Record that a list, a change or a confirmation without changes was received."""
        self._backoff = INITIAL_BACKOFF
        self._phase = WatchPhase.UP
        self._served_parts = 0

    def on_interruption(self, event: api.WatchInterrupted) -> None:
        """Process the end of a watch, or that no data was received on it."""
        self.record_failure(event.seconds_without_data)

    def on_address_change(self, event: api.DiscoveryAddressChanged) -> None:
        """Process a new address of discovery: the watch has ended, and no backoff applies to the new address."""
        self._record_loss(event.seconds_without_data)
        self._backoff = INITIAL_BACKOFF
        self.request_updates()

    def record_failure(self, seconds_without_data: float = 0.0) -> None:
        """Record a failed call, or a watch that received no data for `seconds_without_data`, and call again."""
        self._record_loss(seconds_without_data)
        if self._retry_pending:
            return
        self._retry_pending = True
        jitter = self._context.random.uniform(MIN_JITTER, MAX_JITTER)
        delay = min(self._backoff, self._max_backoff()) * jitter
        self._context.set_timer(delay, partial(self._retry_failed_call, self._calls_made))
        self._backoff = min(BACKOFF_GROWTH * self._backoff, MAX_BACKOFF)
        if self._polled:
            self._backoff = max(self._backoff, self._overloaded_backoff)

    @property
    def is_up(self) -> bool:
        """Whether a list has been received since the watch last failed."""
        return self._phase is WatchPhase.UP

    def record_served(self) -> None:
        """Count a part that a replica has served."""
        self._served_parts += 1

    def is_lease_expired(self, replica: KnownReplica) -> bool:
        """Whether a replica may be draining or removed while this co-ordinator cannot know of it."""
        return self._phase is WatchPhase.DOWN and self._is_past_lease_end(replica)

    def is_excluded(self, replica: KnownReplica) -> bool:
        """Whether a replica must not be sent to at present.

        A peer reported it as draining, or its lease has expired and it has only rejected parts since or should have
        served some.
        """
        if not self.is_up and self._context.now < replica.reported_draining_at + REPORT_LIFETIME:
            return True
        if not self.is_lease_expired(replica):
            return False
        if not _only_rejects(replica) and not self._should_have_served():
            return False
        since = max(self._lease_end(replica), replica.last_rejected_send_at)
        return self._context.now < since + EXCLUSION_DURATION

    def _should_have_served(self) -> bool:
        """Whether there is enough traffic that each ready replica should have served a part by now."""
        return self._served_parts >= EXPECTED_PARTS_SERVED * max(self.ready_replicas, 1)

    def _is_past_lease_end(self, replica: KnownReplica) -> bool:
        return self._polled and self._context.now > self._lease_end(replica)

    def _lease_end(self, replica: KnownReplica) -> float:
        """Time until which no unknown change of the replica can count as notified."""
        return max(self._list_current_at(), replica.last_served_send_at) + self._notified_within

    def _record_loss(self, seconds_without_data: float) -> None:
        """Record that there is no watch, and until when the list was current if there was one."""
        if self._phase is WatchPhase.UP:
            self._last_current_at = self._context.now - seconds_without_data
        self._phase = WatchPhase.DOWN

    def _retry_failed_call(self, call: int) -> None:
        """Make a further call, unless one was made since the failure."""
        if call == self._calls_made:
            self.request_updates()

    def _hedge_unanswered_call(self, call: int) -> None:
        """Make a further call if the last one is still without an answer."""
        if call == self._calls_made and self._phase is not WatchPhase.UP and not self._retry_pending:
            self._phase = WatchPhase.DOWN
            self.request_updates()

    def _list_current_at(self) -> float:
        return max(self._last_current_at, self._context.started_at - CACHED_LIST_AGE)

    def _remaining_time(self) -> float:
        """Seconds until a change that is still unknown may count as notified."""
        return self._list_current_at() + self._notified_within - self._context.now

    def _max_backoff(self) -> float:
        if not self._polled:
            return self._pushed_grace / PUSHED_BACKOFFS_PER_GRACE
        remaining = self._remaining_time()
        large_fleet_backoff = min(remaining / LARGE_FLEET_BACKOFFS_IN_REMAINING_TIME, self._fleet_backoff)
        return max(remaining / BACKOFFS_IN_REMAINING_TIME, large_fleet_backoff, self._urgent_backoff)

    def _call_timeout(self) -> float:
        if not self._polled:
            return self._pushed_grace / PUSHED_CALL_TIMEOUTS_PER_GRACE
        remaining = min(self._remaining_time(), MAX_REMAINING_TIME)
        return max(remaining / CALL_TIMEOUTS_IN_REMAINING_TIME, MIN_CALL_TIMEOUT)


def _only_rejects(replica: KnownReplica) -> bool:
    """Whether a replica has rejected parts and served none that was sent later, as a draining one does."""
    return replica.last_rejected_send_at > replica.last_served_send_at
