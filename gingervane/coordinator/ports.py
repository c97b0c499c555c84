"""Interfaces that a query co-ordinator calls: its observer, its transport, and services of the cluster.

All are called on the decision thread and must not block.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t


class QueryObserver(Protocol):
    """Notified of completed queries, ended attempts and other events, for logs and metrics."""

    def query_completed(
        self, query_id: int, plan: t.QueryPlan, result: t.QueryResult, seconds: float
    ) -> None:
        """A query was completed, `seconds` after it was submitted."""

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        """An attempt ended, `seconds` after it was decided."""

    def log_message(self, text: str) -> None:
        """The decision engine wrote a log message."""

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        """A replica was ejected or reinstated."""

    def internal_error(self, error: BaseException) -> None:
        """The decision thread has failed; no further query is admitted."""


class Transport(Protocol):
    """Sends batch requests to replicas. Ended attempts may be reported on any thread."""

    @property
    def in_flight(self) -> int:
        """The number of accepted batch requests that have not ended."""

    def start(self, batch: t.BatchRequest) -> bool:
        """Accept a batch request and report each of its attempts once; false if there is no capacity for it."""

    def maintain(self) -> None:
        """Continue operations that could not be completed at once. Called on each turn."""

    def cancel(self, batch: t.BatchRequest) -> None:
        """Drop a batch request none of whose attempts is open any more."""

    def abandon(
        self, batch: t.BatchRequest, attempt: t.AttemptRequest, notify_replica: bool, expired: bool
    ) -> None:
        """Drop a claimed attempt; see `types.AbandonAttempt`."""

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""

    def close(self) -> None:
        """Start no further requests, and release the connections."""


# Takes the callback to which the transport reports ended attempts.
TransportFactory = Callable[[Callable[[list[t.AttemptFinished]], None]], Transport]


def _ignore_watch() -> None:
    """Do nothing: membership is not watched."""


def _ignore_readiness(cached_list_age: float | None) -> None:
    """Do nothing: readiness is not reported."""


def _ignore_message(payload: bytes) -> None:
    """Do nothing: there are no peers."""


class ClusterPorts(NamedTuple):
    """Services of the cluster that the decision engine uses."""

    watch_membership: Callable[[], None] = _ignore_watch
    send_to_peers: Callable[[bytes], None] = _ignore_message
    report_ready: Callable[[float | None], None] = _ignore_readiness
