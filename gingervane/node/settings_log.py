"""Logs the platform's settings at startup, which are needed to judge the answers in the log."""

from __future__ import annotations

from gingervane.node.config import NodeConfig
from gingervane.node.memory_limits import MemoryLimits
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.node_telemetry import Telemetry


def log_settings(telemetry: Telemetry, config: NodeConfig) -> None:
    """Log the settings of each query class and of the node."""
    for name, class_settings in zip(config.class_names, config.settings.query_classes, strict=True):
        telemetry.info(
            LogEvent.CLASS_SETTINGS,
            query_class=name,
            retry_safety=class_settings.retry_safety,
            latency_objective_seconds=class_settings.latency_objective,
            deadline_seconds=class_settings.deadline,
            idempotency_window_seconds=class_settings.idempotency_window or 0.0,
            second_step_parts=class_settings.second_step_parts,
            required_coverage=class_settings.required_coverage,
            complete_coverage=class_settings.complete_coverage,
        )
    settings = config.settings
    telemetry.info(
        LogEvent.SETTINGS,
        coordinators=settings.coordinator_count,
        shards=config.shards,
        streams=config.streams_per_connection,
        max_parts_per_request=settings.max_parts_per_request,
        max_attempts=settings.max_attempts,
        cancellation_allowed=settings.cancellation_allowed,
        hedging_allowed=settings.hedging_allowed,
        drain_grace_seconds=settings.drain_grace,
        membership_polled=settings.membership_polled,
        sockets=config.max_sockets,
        memory_mb=config.memory_bytes / (1 << 20),
    )


def log_memory(telemetry: Telemetry, memory: MemoryLimits) -> None:
    """Log how the memory limit is divided, and a warning if it is too low to be kept."""
    telemetry.info(LogEvent.MEMORY_DIVIDED, limit=memory.limit, at_rest=memory.at_rest, budget=memory.budget)
    if memory.is_too_low:
        telemetry.warning(LogEvent.MEMORY_LIMIT_TOO_LOW, limit=memory.limit, at_rest=memory.at_rest)
