"""Events that the daemon and the node log: one vocabulary for both programs.

Fields are keyword arguments of the call that logs the event. The same thing has the same name in every event:

- `replica`, `coordinator`, `core`, `address`, `discovery`: the component concerned. A replica is identified
  by its host's name in the node and by its number in the daemon.
- `query`, `request`, `query_class`: this process's number for the query, the client's identifier for it, and
  its class.
- `status`, `outcome`, `reason`: how a query, an attempt or anything else ended; values of `QueryStatus`,
  `AttemptOutcome` and of the enumeration of reasons that belongs to the event.
- `detail`: further text for human readers; programs should not match it.
- `error`, `trace`: an exception's type and text, and its stack trace.
- durations end in `_seconds`, counts are plain plurals (`parts_requested`, `attempts_in_flight`).
"""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """Name of an event as written to the log; `meaning` describes when it is logged."""

    meaning: str

    def __new__(cls, name: str, meaning: str) -> LogEvent:
        """Create a member whose value is `name` alone."""
        member = str.__new__(cls, name)
        member._value_ = name
        member.meaning = meaning
        return member

    # Queries and attempts
    QUERY_COMPLETED = "query_completed", "A query ended other than complete; at debug level, any query ended."
    ATTEMPT_FINISHED = "attempt_finished", "An attempt ended; at debug level only."
    SUBTREE_FAILED = "subtree_failed", "A child co-ordinator's subtree did not come back complete."
    REQUEST_HANDLER_FAILED = (
        "request_handler_failed",
        "A request's handler raised; its client got status 500.",
    )

    # Clients
    CLIENT_CONNECTION_CLOSED = (
        "client_connection_closed",
        "A client's connection was closed for what it did or for lack of room; `reason` says for which.",
    )

    # Replicas
    REPLICA_EJECTED = "replica_ejected", "A replica was ejected as an outlier, for `ejection_seconds`."
    REPLICA_REINSTATED = "replica_reinstated", "An ejected replica may be sent to again."
    REPLICA_UPDATED = "replica_updated", "The endpoint list changed a replica, or has it as other than ready."
    REPLICA_CONNECTION_CLOSED = (
        "replica_connection_closed",
        "A connection to a replica closed with attempts in flight; at debug level, any.",
    )

    # Endpoint lists
    ENDPOINTS_UPDATED = "endpoints_updated", "An endpoint list or a change to it was taken."
    ENDPOINT_INVALID = "endpoint_invalid", "An entry of the endpoint list made no sense and was skipped."
    ENDPOINT_LIST_INVALID = "endpoint_list_invalid", "A value from discovery was no endpoint list; skipped."
    CACHED_ENDPOINTS_INVALID = (
        "cached_endpoints_invalid",
        "The endpoint list cached in the configuration could not be used.",
    )
    WATCH_STATE_CHANGED = "watch_state_changed", "The watch of discovery went from one state to another."
    DISCOVERY_CALL_STARTED = (
        "discovery_call_started",
        "A call to discovery began; what is known is `silent_seconds` old.",
    )
    DISCOVERY_CALL_ENDED = (
        "discovery_call_ended",
        "A call to discovery ended, `reason` says why; -1 stands for what it never came to.",
    )
    START_TIMES_CORRECTED = (
        "start_times_corrected",
        "The wall clock proved wrong; start times of replicas were corrected.",
    )
    MEMBERSHIP_FAULT = "membership_fault", "A source of endpoints, their snapshot or the registration failed."

    # The program itself
    CLASS_SETTINGS = "class_settings", "At start: what the platform demands of a query class."
    SETTINGS = "settings", "At start: what the platform demands of the node."
    MEMORY_DIVIDED = (
        "memory_divided",
        "At start: the memory limit, what is in use, and what clients may take.",
    )
    MEMORY_LIMIT_TOO_LOW = (
        "memory_limit_too_low",
        "At start: the memory limit leaves less than the least that serving needs; the process may pass it.",
    )
    THREAD_FAILED = "thread_failed", "A thread ended by an unexpected exception: a fault of this program."
    LISTENING = "listening", "Requests are accepted from now on."
    READY = "ready", "The node is reported as ready: it has a list, or requests one at intervals."
    READY_ON_CACHED_LIST = (
        "ready_on_cached_list",
        "The node is ready without a list from discovery: it serves on the one of its configuration.",
    )
    CONFIGURATION_RELOADED = "configuration_reloaded", "SIGHUP: the configuration was read again."
    CONFIGURATION_RELOAD_FAILED = (
        "configuration_reload_failed",
        "SIGHUP: the file made no sense; the configuration stays as it was.",
    )
    SHUTDOWN_STARTED = "shutdown_started", "A signal asked for the end; the graceful shutdown begins."
    SHUTDOWN_COMPLETED = "shutdown_completed", "Every query has been answered; the process is about to exit."
    COUNTERS = "counters", "Totals by name and reason since the start."
    MESSAGE = "message", "Text of the decision engine, of replicated writes or of their repair."
    VECTOR_FAULT = "vector_fault", "The vector service's endpoint sources or its write-ahead log failed."
    INTERNAL_ERROR = "internal_error", "The decision thread raised and has ended: a fault of this program."
