"""Logs and counters of a node: one line for each event, in `key=value` form, written by a thread of its own.

A line holds the wall clock and the monotonic clock (the wall clock may be stepped), the node's name, the event and
its fields, of which `reason` comes from a closed set (an enumeration). Callers never wait: a full queue drops the
line and counts it, and each kind of event has a rate beyond which its lines are counted and not written. Counters are
exact and are written every `IDLE_INTERVAL` seconds where something has changed, on SIGUSR1 and at the end.

Built on `logging`, whose records carry the fields. Every function may be called from any thread.
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

UNNAMED = "-"  # the node's name in lines that come before its configuration is read


class Log(Protocol):
    """Takes one event with its fields; never waits. `event`: the value of a `LogEvent`."""

    def __call__(self, event: str, **fields: FieldValue) -> None:
        """Take the event."""


class Telemetry:
    """The log and the counters of one node."""

    def __init__(self, stream: TextIO | None = None, level: int = logging.INFO) -> None:
        """`stream`: standard error if none is given. Lines that come before `start` wait."""
        self.counters = Counters()
        self._handler = BackgroundHandler(stream or sys.stderr, self.dump)
        self._handler.setFormatter(KeyValueFormatter(UNNAMED))
        # A logger of its own: no other code adds handlers to it.
        self._logger = logging.Logger("gingervane.node", level)
        self._logger.addHandler(self._handler)
        self._dumped: dict[tuple[str, str], int] = {}
        self._sources: list[tuple[str, Callable[[], Mapping[str, int]]]] = []
        self.add_source("log_lines_dropped", lambda: self._handler.dropped)

    def name(self, node: str) -> None:
        """Put this node's name into the lines that follow."""
        self._handler.setFormatter(KeyValueFormatter(node))

    def add_source(self, name: str, totals: Callable[[], Mapping[str, int]]) -> None:
        """Dump totals by reason that another owner keeps; what is read may be one change behind."""
        self._sources.append((name, totals))

    def start(self) -> None:
        """Begin to write. To be called after signals are blocked, as the thread inherits the mask."""
        self._handler.start()

    def stop(self) -> None:
        """Write the counters and all lines that wait, then end the writing thread."""
        self.dump()
        self._handler.finish()

    @property
    def debug_on(self) -> bool:
        """Whether lines at debug level are written."""
        return self._logger.isEnabledFor(logging.DEBUG)

    def debug(self, event: str, **fields: FieldValue) -> None:
        """Log an event that matters to who looks into one query only."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: FieldValue) -> None:
        """Log an event of normal service."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: FieldValue) -> None:
        """Log a fault that the node goes on without."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: FieldValue) -> None:
        """Log a fault of this program. Such lines are not limited in rate."""
        self._log(logging.ERROR, event, fields)

    def dump(self) -> None:
        """Write the counters, if any has changed since they were last written."""
        totals = self.counters.snapshot()
        for name, read in self._sources:
            totals |= {(name, reason): count for reason, count in list(read().items())}
        if totals == self._dumped:
            return
        self._dumped = totals
        fields = {
            f"{name}[{reason}]".replace(" ", "_"): count for (name, reason), count in sorted(totals.items())
        }
        self._log(logging.INFO, LogEvent.COUNTERS, fields)

    def _log(self, level: int, event: str, fields: Mapping[str, FieldValue]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, "%s", event, extra={FIELDS_ATTRIBUTE: fields})
