"""Logs the platform's settings at startup, which are needed to judge the answers in the log."""

from __future__ import annotations

from gingervane.node.config import NodeConfig
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.node_telemetry import Telemetry


def log_settings(telemetry: Telemetry, config: NodeConfig) -> None:
    """Log the settings of each query class and of the node."""
    for name, kind in zip(config.class_names, config.settings.query_classes, strict=True):
        telemetry.info(
            LogEvent.CLASS_SETTINGS,
            query_class=name,
            retry_safety=kind.retry_safety,
            latency_objective_seconds=kind.latency_objective,
            deadline_seconds=kind.deadline,
            idempotency_window_seconds=kind.idempotency_window or 0.0,
            second_step_parts=kind.second_step_parts,
            required_coverage=kind.required_coverage,
            complete_coverage=kind.complete_coverage,
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
    )
