"""When one watcher of Consul asks, from which index, how fresh the answer must be, and of which agent. Free of I/O.

By the public documentation (https://developer.hashicorp.com/consul/api-docs/features/blocking): the index starts anew
when it goes back, is never asked as 0 again once known to be positive, and an answer that changes nothing must not
become a loop.
"""

from __future__ import annotations

import random
from typing import NamedTuple

WAIT_JITTER_DIVISOR = 16  # Consul adds up to wait/16 to a wait
_MAX_DOUBLINGS = 16  # of a delay; keeps the power of two within bounds
_LAGGING_ANSWERS_TO_DOUBT = 2  # in a row
_ROUND_TRIP_ALLOWANCE = 2.0  # seconds for the way of a blocking query's answer
_LONG_AGO = -1e18  # seconds on the monotonic clock


class Backoff(NamedTuple):
    """Pauses of one watcher, in seconds.

    `min_interval` between two requests, `initial_delay` after a failure, doubling to `max_delay`. `blocking_wait`:
    how long a blocking query waits for a change. `lag_wait`: the same, for an agent that is behind what is known, as
    most are for a moment only; doubling to `blocking_wait` with each time that the leader could not be asked.
    """

    min_interval: float = 0.2
    initial_delay: float = 0.5
    max_delay: float = 15.0
    blocking_wait: float = 30.0
    lag_wait: float = 2.0

    @property
    def max_silence(self) -> float:
        """Longest that a healthy agent sends nothing: the wait, Consul's jitter on it, and the way."""
        return self.blocking_wait * (1 + 1 / WAIT_JITTER_DIVISOR) + _ROUND_TRIP_ALLOWANCE

    def delay_after(self, failures: int) -> float:
        """Return the delay after so many failures in a row, before jitter."""
        delay: float = self.initial_delay * 2 ** min(failures - 1, _MAX_DOUBLINGS)
        return min(delay, self.max_delay)


def jittered(delay: float, rng: random.Random) -> float:
    """Spread a delay over half to one and a half of it, so that many clients do not retry at once."""
    return delay * rng.uniform(0.5, 1.5)


def assign_agents(agents: int, watchers: int, rng: random.Random) -> list[list[int]]:
    """Deal agents out to watchers, so that no two ask the same one: an agent that hangs silences one of them only.

    In an order of its own for each co-ordinator, which spreads them over the agents. At most one watcher an agent.
    """
    order = rng.sample(range(agents), agents)
    return [order[first::watchers] for first in range(min(watchers, agents))]


class BlockingQueryState:
    """The state of one watcher's sequence of blocking queries."""

    def __init__(self, agents: int, backoff: Backoff, rng: random.Random) -> None:
        self._agent_count = agents
        self._backoff = backoff
        self._rng = rng
        self.agent = 0
        self.index = 0
        self.consistent = False  # the next request is a consistent one, at once: the last answer was doubtful
        self.index_resets = 0
        self._failures = 0
        self._highest_index = 0  # highest index seen, unless the leader has since vouched for a lower one
        self._requested_at = _LONG_AGO
        self._unchanged_answers = 0  # in a row, that came early and changed nothing
        self._entry_count = 0
        self._lagging_answers = 0  # in a row
        self._failed_vouchings = 0  # in a row: requests to the leader that failed

    @property
    def wait(self) -> float:
        """Seconds for which the next blocking query waits for a change."""
        backoff = self._backoff
        if not self._lagging_answers:
            return backoff.blocking_wait
        doublings = min(self._failed_vouchings, _MAX_DOUBLINGS)
        return min(backoff.lag_wait * 2.0**doublings, backoff.blocking_wait)

    @property
    def is_blocking(self) -> bool:
        """Whether the next request waits for a change."""
        return self.index > 0 and not self.consistent

    @property
    def response_timeout(self) -> float:
        """Seconds after which the next request has hung."""
        return self._backoff.max_silence if self.is_blocking else self._backoff.max_delay

    def record_request(self, now: float) -> None:
        """Note that a request is sent now."""
        self._requested_at = now

    def record_success(
        self, index: int, leader_known: bool, now: float, entry_count: int = 0, known_index: int = 0
    ) -> float:
        """Note an answer with its index and number of entries; return the seconds until the next request.

        `leader_known`: the agent says that it knows a leader. `known_index`: the index that the service has shown,
        also through other agents and to earlier processes.
        """
        self._failures = 0
        is_early = now - self._requested_at < self._backoff.blocking_wait / 2
        was_consistent = self.consistent
        went_back = index < self._highest_index and not was_consistent
        shrank = entry_count < self._entry_count / 2 and not was_consistent
        self._entry_count = entry_count
        self._highest_index = index if was_consistent else max(index, self._highest_index)
        self._note_lag(index < known_index and not was_consistent)
        # Ask the leader before anything is made of it. Agents follow each other within moments: of one that is behind
        # another the leader is asked only if it still is after a wait.
        self.consistent = went_back or shrank or self._lagging_answers >= _LAGGING_ANSWERS_TO_DOUBT
        if went_back:  # a lagging agent, one restored from a snapshot, or another cluster: begin anew
            self.index = 0
            self._unchanged_answers = 0
            self.index_resets += 1
            return self._pause(self._backoff.initial_delay)
        has_changed = index > self.index
        self.index = max(index, 1)  # an index below 1 cannot be asked from: it would not block
        if self.consistent:
            return self._pause(self._backoff.min_interval)
        is_unchanged = is_early and not has_changed and not was_consistent
        self._unchanged_answers = self._unchanged_answers + 1 if is_unchanged else 0
        return self._pause_after_answer(leader_known, now)

    def _note_lag(self, is_lagging: bool) -> None:
        """Count an answer that is behind what is known; any other ends the doubt."""
        if self.consistent:
            self._failed_vouchings = 0
        self._lagging_answers = self._lagging_answers + 1 if is_lagging else 0

    def _pause_after_answer(self, leader_known: bool, now: float) -> float:
        backoff = self._backoff
        if not leader_known:
            return self._pause(backoff.initial_delay)
        if self._unchanged_answers:
            delay = backoff.min_interval * 2 ** min(self._unchanged_answers, _MAX_DOUBLINGS)
            return self._pause(min(delay, backoff.max_delay))
        return max(backoff.min_interval - (now - self._requested_at), 0.0)

    def record_failure(self, retry_after: float = 0.0) -> float:
        """Note a request that failed or hung; return the seconds until the next one, which another agent gets.

        Jittered over the whole delay, so that many co-ordinators that lost a catalogue at once do not come back to it
        at once.
        """
        self._failures += 1
        self.agent = (self.agent + 1) % self._agent_count
        # Another agent may lag behind this one's index: what it has now must be seen before a change is waited for.
        # A consistent request that fails proves nothing; it is retried ever more seldom, while there is doubt.
        if self.consistent:
            self._highest_index = 0
            self._lagging_answers = 0
            self._failed_vouchings += 1
        if self._agent_count > 1:
            self.index = 0
        self.consistent = False
        pause = self._pause(self._backoff.delay_after(self._failures))
        return max(pause, min(retry_after, self._backoff.max_delay), self._backoff.min_interval)

    def _pause(self, delay: float) -> float:
        return max(jittered(delay, self._rng), self._backoff.min_interval)
