"""Logs and counters of a node: one line for each event, as `key=value` pairs, written by a separate thread.

A line has the wall clock and the monotonic clock (the wall clock may be stepped), the node's name, the event
and its fields, of which `reason` is a value of an enumeration. Callers never block: a line is dropped and
counted if the queue is full, or if the rate limit of its event is exceeded. Counters are exact; they are
written every `CALLBACK_INTERVAL` seconds if one has changed, on SIGUSR1 and at shutdown.

Built on `logging`, whose records hold the fields. Every function may be called from any thread.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, Mapping
from typing import Protocol, TextIO

from gingervane.telemetry.counters import Counters
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import FIELDS_ATTRIBUTE, FieldValue, KeyValueFormatter
from gingervane.telemetry.log_handler import BackgroundHandler

UNNAMED = "-"  # the node's name in lines that are logged before its configuration is read


class Log(Protocol):
    """Logs one event with its fields, without blocking. `event`: the value of a `LogEvent`."""

    def __call__(self, event: str, **fields: FieldValue) -> None:
        """Log the event."""


class Telemetry:
    """The log and the counters of one node."""

    def __init__(self, stream: TextIO | None = None, level: int = logging.INFO) -> None:
        """`stream`: standard error by default. Lines logged before `start` are queued."""
        self.counters = Counters()
        self._handler = BackgroundHandler(stream or sys.stderr, self.dump)
        self._handler.setFormatter(KeyValueFormatter(UNNAMED))
        # Not registered with `logging`, so that no other code adds handlers to it.
        self._logger = logging.Logger("gingervane.node", level)
        self._logger.addHandler(self._handler)
        self._logged_totals: dict[tuple[str, str], int] = {}
        self._sources: list[tuple[str, Callable[[], Mapping[str, int]]]] = []
        self.add_source("log_lines_dropped", lambda: self._handler.dropped)

    def name(self, node: str) -> None:
        """Set the node's name in all further lines."""
        self._handler.setFormatter(KeyValueFormatter(node))

    def add_source(self, name: str, totals: Callable[[], Mapping[str, int]]) -> None:
        """Add counters by reason that another object maintains; a value read may be stale by one change."""
        self._sources.append((name, totals))

    def start(self) -> None:
        """Start the writing thread. Call this after signals are blocked, as the thread inherits the mask."""
        self._handler.start()

    def stop(self) -> None:
        """Write the counters and all queued lines, then end the writing thread."""
        self.dump()
        self._handler.finish()

    @property
    def debug_enabled(self) -> bool:
        """Whether events at debug level are logged."""
        return self._logger.isEnabledFor(logging.DEBUG)

    def debug(self, event: str, **fields: FieldValue) -> None:
        """Log an event that is useful only when a single query is investigated."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: FieldValue) -> None:
        """Log an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: FieldValue) -> None:
        """Log a fault despite which the node continues."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: FieldValue) -> None:
        """Log a fault of this program. Such lines are not rate-limited."""
        self._log(logging.ERROR, event, fields)

    def dump(self) -> None:
        """Log the counters if any has changed since they were last logged."""
        totals = self.counters.snapshot()
        for name, read_totals in self._sources:
            totals |= {(name, reason): count for reason, count in list(read_totals().items())}
        if totals == self._logged_totals:
            return
        self._logged_totals = totals
        fields = {
            f"{name}[{reason}]".replace(" ", "_"): count for (name, reason), count in sorted(totals.items())
        }
        self._log(logging.INFO, LogEvent.COUNTERS, fields)

    def _log(self, level: int, event: str, fields: Mapping[str, FieldValue]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, "%s", event, extra={FIELDS_ATTRIBUTE: fields})
