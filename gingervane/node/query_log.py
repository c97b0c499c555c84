"""Logs and counts the events of the node's core: completed queries, ejected replicas and internal errors."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import error_fields
from gingervane.telemetry.node_telemetry import Log, Telemetry
from gingervane.wire.socket_recorder import SOCKET_RECORDER

# Statuses of which each query is logged; load shedding is only counted.
_LOGGED_STATUSES = frozenset({t.QueryStatus.PARTIAL, t.QueryStatus.FAILED, t.QueryStatus.REJECTED})
# Reasons that indicate a bug in this program.
_INTERNAL_FAULTS = frozenset(
    {api.QueryEndReason.COVERAGE_CHECK_FAILED, api.QueryEndReason.INTERNAL, api.QueryEndReason.UNSTATED}
)
_ANY_REASON = "any"  # label of a counter without reasons


class QueryLog:
    """Observes the core: counts all events, and logs failures and changes of replicas.

    `host_name` returns a replica's name. Called on the decision thread.
    """

    def __init__(
        self, telemetry: Telemetry, class_names: tuple[str, ...], host_name: Callable[[int], str]
    ) -> None:
        self._telemetry = telemetry
        self._class_names = class_names
        self._host_name = host_name

    def query_completed(self, query: int, plan: t.QueryPlan, result: t.QueryResult, seconds: float) -> None:
        """Count a query by status and reason, and log it if `_log_function` returns a function for it."""
        self._telemetry.counters.add(f"queries_{result.status.value}", result.reason)
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record(
                "settled",
                0,
                0,
                query=plan.tag,
                verdict=result.status.value,
                seconds=seconds,
                why=result.detail,
            )
        log = self._log_function(result)
        if log is None:
            return
        outcomes = Counter(record.outcome for record in result.attempts)
        log(
            LogEvent.QUERY_COMPLETED,
            request=plan.tag,
            query=query,
            query_class=self._class_names[plan.query_class],
            status=result.status,
            reason=result.reason,
            step=result.step,
            parts_requested=result.parts_requested,
            parts_received=result.parts_received,
            coverage=result.coverage,
            marked_complete=result.marked_complete,
            duration_seconds=seconds,
            attempts=" ".join(f"{count}x{outcome}" for outcome, count in outcomes.items()),
            detail=result.detail,
        )

    def _log_function(self, result: t.QueryResult) -> Log | None:
        """Return the log function of the level for a result, or None if it is not logged."""
        if result.reason in _INTERNAL_FAULTS:
            return self._telemetry.error
        if result.status in _LOGGED_STATUSES and result.reason is not api.QueryEndReason.OVERLOAD:
            return self._telemetry.info
        return self._telemetry.debug if self._telemetry.debug_enabled else None

    def attempt_finished(self, outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
        """Log an attempt at debug level."""
        if SOCKET_RECORDER.enabled:
            SOCKET_RECORDER.record("told", 0, 0, outcome=outcome.value, replica=replica, seconds=seconds)
        if self._telemetry.debug_enabled:
            self._telemetry.debug(
                LogEvent.ATTEMPT_FINISHED,
                replica=self._host_name(replica),
                outcome=outcome,
                duration_seconds=seconds,
            )

    def log_message(self, text: str) -> None:
        """Log a message of the decision engine."""
        self._telemetry.info(LogEvent.MESSAGE, detail=text)

    def replica_health_changed(self, change: api.ReplicaHealthChange) -> None:
        """Count and log the ejection or reinstatement of a replica."""
        replica = self._host_name(change.replica)
        if isinstance(change, api.ReplicaEjected):
            self._telemetry.counters.add("replicas_ejected", change.reason)
            self._telemetry.info(
                LogEvent.REPLICA_EJECTED,
                replica=replica,
                ejection_seconds=change.seconds,
                reason=change.reason,
            )
        else:
            self._telemetry.counters.add("replicas_reinstated", _ANY_REASON)
            self._telemetry.info(LogEvent.REPLICA_REINSTATED, replica=replica)

    def internal_error(self, error: BaseException) -> None:
        """Log the exception that ended the decision thread."""
        self._telemetry.error(LogEvent.INTERNAL_ERROR, **error_fields(error))
