"""Observers that log and measure what the cores do. Every method runs on the decision thread of its core."""

from __future__ import annotations

from collections.abc import Callable

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.settings.daemon_settings import Config
from gingervane.telemetry import daemon_log
from gingervane.telemetry.daemon_metrics import Metrics
from gingervane.telemetry.events import LogEvent

_DURATION_DIGITS = 4  # decimal places of logged seconds and coverage
_VARIANTS_PER_CLASS = 3  # a core's variants of each class in the settings: strict, lenient and collecting
_UNLOGGED_SUBTREE_STATUSES = frozenset({t.QueryStatus.COMPLETE, t.QueryStatus.CLIENT_DISCONNECTED})
_LOGGED_VECTOR_STATUSES = frozenset({t.QueryStatus.REJECTED, t.QueryStatus.FAILED})


class CoreObserver:
    """Logs the events that all cores have in common: messages, health of replicas and internal errors."""

    def __init__(self, log: daemon_log.DaemonLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def log_message(self, text: str) -> None:
        """Log a message of the decision engine."""
        self._log.info(LogEvent.MESSAGE, detail=text)

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        """Log that a replica was ejected or reinstated."""
        if isinstance(change, api.ReplicaEjected):
            self._log.info(
                LogEvent.REPLICA_EJECTED,
                replica=change.replica,
                ejection_seconds=change.seconds,
                reason=change.reason.value,
            )
        else:
            self._log.info(LogEvent.REPLICA_REINSTATED, replica=change.replica)

    def internal_error(self, error: BaseException) -> None:
        """Log the exception that ended the decision thread."""
        self._log.exception(LogEvent.INTERNAL_ERROR, error)


class CoordinatorObserver(CoreObserver):
    """Observes the core that queries replicas."""

    def __init__(self, config: Config, metrics: Metrics) -> None:
        super().__init__(daemon_log.get("coordinator"), metrics)
        self._class_names = [c.name for c in config.classes for _ in range(_VARIANTS_PER_CLASS)]
        self._debug = config.log.level == "debug"
        # Called with the ID of the replica after each successful attempt.
        self.on_replica_answered: Callable[[int], None] | None = None

    def query_completed(self, query: int, plan: t.QueryPlan, result: t.QueryResult, seconds: float) -> None:
        """Measure a query. Log it if its answer is not complete; at debug level, log every query."""
        status = result.status
        self._metrics.query_seconds.add((self._class_names[plan.query_class], status.value), seconds)
        complete = status is t.QueryStatus.COMPLETE
        if complete and not self._debug:
            return
        write = self._log.debug if complete else self._log.info
        write(
            LogEvent.QUERY_COMPLETED,
            query=query,
            query_class=plan.tag,
            status=status.value,
            duration_seconds=round(seconds, _DURATION_DIGITS),
            parts_requested=len(plan.parts),
            coverage=round(result.coverage, _DURATION_DIGITS),
            attempts=len(result.attempts),
            reason=result.reason.value,
            further_attempts=sum(record.attempt > 0 for record in result.attempts),
            detail=result.detail,
        )

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        """Measure an attempt, and call `on_replica_answered` if it succeeded."""
        if outcome is api.AttemptOutcome.OK and self.on_replica_answered is not None:
            self.on_replica_answered(replica)
        self._metrics.attempt_seconds.add((outcome.value,), seconds)
        if self._debug:
            self._log.debug(
                LogEvent.ATTEMPT_FINISHED,
                outcome=outcome.value,
                replica=replica,
                duration_seconds=round(seconds, _DURATION_DIGITS),
            )


class SubtreeObserver(CoreObserver):
    """Observes the core that queries child co-ordinators."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(daemon_log.get("tree"), metrics)

    def query_completed(
        self,
        query: int,  # noqa: ARG002 - of the observer protocol
        plan: t.QueryPlan,
        result: t.QueryResult,
        seconds: float,
    ) -> None:
        """Measure a subtree; log it if it failed."""
        status = result.status
        self._metrics.subtree_seconds.add((plan.tag, status.value), seconds)
        if status not in _UNLOGGED_SUBTREE_STATUSES:
            self._log.info(
                LogEvent.SUBTREE_FAILED,
                query_class=plan.tag,
                status=status.value,
                detail=result.detail,
                attempts=" ".join(f"{record.replica}:{record.outcome}" for record in result.attempts),
            )

    def attempt_finished(
        self,
        outcome: api.AttemptOutcome,
        replica: int,  # noqa: ARG002 - of the observer protocol
        seconds: float,
    ) -> None:
        """Measure an attempt at a child co-ordinator."""
        self._metrics.child_seconds.add((outcome.value,), seconds)

    def log_message(self, text: str) -> None:
        """Log a message of the decision engine, which calls child co-ordinators replicas."""
        super().log_message(text.replace("replica", "co-ordinator"))


class VectorObserver(CoreObserver):
    """Observes one core of the vector front. `core`: its name in logs and metrics."""

    def __init__(self, metrics: Metrics, core: str) -> None:
        super().__init__(daemon_log.get("vectors", core=core), metrics)
        self._core = core

    def query_completed(
        self,
        query: int,  # noqa: ARG002 - of the observer protocol
        plan: t.QueryPlan,
        result: t.QueryResult,
        seconds: float,
    ) -> None:
        """Measure a query; log it if it was rejected or failed."""
        status = result.status
        self._metrics.vector_seconds.add((self._core, plan.tag, status.value), seconds)
        if status in _LOGGED_VECTOR_STATUSES:
            self._log.info(
                LogEvent.QUERY_COMPLETED,
                query_class=plan.tag,
                status=status.value,
                parts_requested=len(plan.parts),
                detail=result.detail,
            )

    def attempt_finished(
        self,
        outcome: api.AttemptOutcome,
        replica: int,  # noqa: ARG002 - of the observer protocol
        seconds: float,
    ) -> None:
        """Measure an attempt."""
        self._metrics.vector_attempt_seconds.add((self._core, outcome.value), seconds)
