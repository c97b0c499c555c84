"""What a query coordinator needs from outside: an observer, a transport, and the cluster's services.

All are called on the decision thread and must not block.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t


class QueryObserver(Protocol):
    """Notified of what passes, for logs and metrics."""

    def query_completed(
        self, query_id: int, plan: t.QueryPlan, result: t.QueryResult, seconds: float
    ) -> None:
        """A query has its result, so many seconds after it was submitted."""

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        """An attempt has ended, so many seconds after it was decided."""

    def log_message(self, text: str) -> None:
        """The decision module has something for the log."""

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        """A replica was ejected or reinstated."""

    def internal_error(self, error: BaseException) -> None:
        """The decision thread broke; no query is admitted any more."""


class Transport(Protocol):
    """Carries batch requests to replicas. Reports of ended attempts may come on any thread."""

    @property
    def in_flight(self) -> int:
        """Batch requests taken that have not ended."""

    def start(self, batch: t.BatchRequest) -> bool:
        """Take a batch request; each of its attempts is reported once. False: no capacity, and nothing was begun."""

    def maintain(self) -> None:
        """Go on with what could not be done at once; called at each turn."""

    def cancel(self, batch: t.BatchRequest) -> None:
        """Drop a batch request: none of its attempts is waited for any more."""

    def abandon(
        self, batch: t.BatchRequest, attempt: t.AttemptRequest, notify_replica: bool, expired: bool
    ) -> None:
        """Drop a claimed attempt, as `types.AbandonAttempt` has it."""

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""

    def close(self) -> None:
        """Begin nothing more, and let go of open connections."""


TransportFactory = Callable[[Callable[[list[t.AttemptFinished]], None]], Transport]  # takes where to report


def _ignore_watch() -> None:
    """Stand in where membership is not watched."""


def _ignore_message(payload: bytes) -> None:
    """Stand in where there are no peers."""


class ClusterPorts(NamedTuple):
    """What the decision module may ask for besides requests and results."""

    watch_membership: Callable[[], None] = _ignore_watch
    send_to_peers: Callable[[bytes], None] = _ignore_message
