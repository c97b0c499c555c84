"""Schedule of one watcher's blocking queries: time, index, consistency mode and agent of the next one. Free of I/O.

Follows the public documentation (https://developer.hashicorp.com/consul/api-docs/features/blocking): the index is
reset when it decreases, an answer's index counts as at least 1, as 0 would not block, and answers that come at once
without a change must not cause a busy loop.
"""

from __future__ import annotations

import random
from typing import NamedTuple

WAIT_JITTER_DIVISOR = 16  # Consul adds up to wait/16 to a blocking query's wait
_MAX_DOUBLINGS = 16  # limit on the exponent of a backoff, against overflow
_STALE_ANSWERS_BEFORE_CONFIRMATION = 2  # successive stale answers after which a consistent query is sent
_ROUND_TRIP_ALLOWANCE = 2.0  # seconds of network time added to a blocking query's wait
_LONG_AGO = -1e18  # seconds on the monotonic clock; before any reading of it


class Backoff(NamedTuple):
    """Delays of one watcher, in seconds.

    `min_interval`: least time between two requests. `initial_delay`: delay after a failure, doubling up to
    `max_delay`. `blocking_wait`: how long a blocking query waits for a change. `stale_answer_wait`: the same after an
    answer with an index below the known one; short, as most agents catch up in a moment. It doubles up to
    `blocking_wait` with each consistent query that fails.
    """

    min_interval: float = 0.2
    initial_delay: float = 0.5
    max_delay: float = 15.0
    blocking_wait: float = 30.0
    stale_answer_wait: float = 2.0

    @property
    def max_response_time(self) -> float:
        """Longest time until a healthy agent answers: the wait, Consul's jitter on it, and the round trip."""
        return self.blocking_wait * (1 + 1 / WAIT_JITTER_DIVISOR) + _ROUND_TRIP_ALLOWANCE

    def delay_after(self, failures: int) -> float:
        """Return the delay after this many successive failures, before jitter."""
        delay: float = self.initial_delay * 2 ** min(failures - 1, _MAX_DOUBLINGS)
        return min(delay, self.max_delay)


def jittered(delay: float, rng: random.Random) -> float:
    """Return a random delay from 0.5 to 1.5 times the given one, so that many clients do not retry at once."""
    return delay * rng.uniform(0.5, 1.5)


def assign_agents(agents: int, watchers: int, rng: random.Random) -> list[list[int]]:
    """Return the indexes of each watcher's agents; watchers without an agent are left out.

    Watchers share no agent, so a stalled agent blocks only one watcher. The order is random, which spreads the
    co-ordinators over the agents.
    """
    order = rng.sample(range(agents), agents)
    return [order[watcher::watchers] for watcher in range(min(watchers, agents))]


class BlockingQueryState:
    """The state of one watcher's sequence of blocking queries."""

    def __init__(self, agents: int, backoff: Backoff, rng: random.Random) -> None:
        self._agent_count = agents
        self._backoff = backoff
        self._rng = rng
        self.agent = 0
        self.index = 0
        self.consistent = False  # the next request is consistent and does not block, after a doubtful answer
        self.index_resets = 0
        self._failures = 0  # successive
        self._highest_index = 0  # highest index seen, unless the leader has since confirmed a lower one
        self._requested_at = _LONG_AGO
        self._unchanged_answers = 0  # successive answers that came early and changed nothing
        self._entry_count = 0  # of the last answer
        self._stale_answers = 0  # successive
        self._failed_confirmations = 0  # successive consistent requests that failed

    @property
    def wait(self) -> float:
        """Seconds for which the next blocking query waits for a change."""
        backoff = self._backoff
        if not self._stale_answers:
            return backoff.blocking_wait
        doublings = min(self._failed_confirmations, _MAX_DOUBLINGS)
        return min(backoff.stale_answer_wait * 2.0**doublings, backoff.blocking_wait)

    @property
    def is_blocking(self) -> bool:
        """Whether the next request waits for a change."""
        return self.index > 0 and not self.consistent

    @property
    def response_timeout(self) -> float:
        """Seconds after which the next request counts as failed."""
        return self._backoff.max_response_time if self.is_blocking else self._backoff.max_delay

    def record_request(self, now: float) -> None:
        """Record that a request is sent now."""
        self._requested_at = now

    def record_success(
        self, index: int, leader_known: bool, now: float, entry_count: int = 0, known_index: int = 0
    ) -> float:
        """Record an answer with its index and number of entries; return the seconds until the next request.

        `leader_known`: whether the agent reports that the cluster has a leader. `known_index`: the newest index known
        for the service, also from other agents and from the snapshot.
        """
        self._failures = 0
        is_early = now - self._requested_at < self._backoff.blocking_wait / 2
        was_consistent = self.consistent
        index_decreased = index < self._highest_index and not was_consistent
        list_halved = entry_count < self._entry_count / 2 and not was_consistent
        self._entry_count = entry_count
        self._highest_index = index if was_consistent else max(index, self._highest_index)
        self._count_stale_answer(index < known_index and not was_consistent)
        # A doubtful answer is confirmed by a consistent request before it counts. One stale answer is not doubtful:
        # agents catch up with each other in moments, so the leader is asked only if it is still stale after a wait.
        self.consistent = (
            index_decreased or list_halved or self._stale_answers >= _STALE_ANSWERS_BEFORE_CONFIRMATION
        )
        if index_decreased:  # a stale agent, a catalogue restored from a snapshot, or another cluster
            self.index = 0
            self._unchanged_answers = 0
            self.index_resets += 1
            return self._pause(self._backoff.initial_delay)
        has_changed = index > self.index
        self.index = max(index, 1)  # a query with an index below 1 would not block
        if self.consistent:
            return self._pause(self._backoff.min_interval)
        is_unchanged = is_early and not has_changed and not was_consistent
        self._unchanged_answers = self._unchanged_answers + 1 if is_unchanged else 0
        return self._pause_after_answer(leader_known, now)

    def _count_stale_answer(self, is_stale: bool) -> None:
        """Count successive stale answers, that is, with an index below the known one."""
        if self.consistent:
            self._failed_confirmations = 0
        self._stale_answers = self._stale_answers + 1 if is_stale else 0

    def _pause_after_answer(self, leader_known: bool, now: float) -> float:
        backoff = self._backoff
        if not leader_known:
            return self._pause(backoff.initial_delay)
        if self._unchanged_answers:
            delay = backoff.min_interval * 2 ** min(self._unchanged_answers, _MAX_DOUBLINGS)
            return self._pause(min(delay, backoff.max_delay))
        return max(backoff.min_interval - (now - self._requested_at), 0.0)

    def record_failure(self, retry_after: float = 0.0) -> float:
        """Record a request that failed or timed out; return the seconds until the next one, which another agent gets.

        The whole delay is jittered, so that co-ordinators that lost the catalogue at the same moment do not reconnect
        at the same moment.
        """
        self._failures += 1
        self.agent = (self.agent + 1) % self._agent_count
        # The next agent may be behind this one's index: its present list must be read before a change is waited
        # for. A failed consistent request confirms nothing; while answers stay doubtful, it is repeated less and
        # less often.
        if self.consistent:
            self._highest_index = 0
            self._stale_answers = 0
            self._failed_confirmations += 1
        if self._agent_count > 1:
            self.index = 0
        self.consistent = False
        pause = self._pause(self._backoff.delay_after(self._failures))
        return max(pause, min(retry_after, self._backoff.max_delay), self._backoff.min_interval)

    def _pause(self, delay: float) -> float:
        return max(jittered(delay, self._rng), self._backoff.min_interval)
