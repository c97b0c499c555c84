"""The daemon's log on standard error: a JSON object or a line of `key=value` words for each event.

Built on `logging`. Before `configure`, only warnings and errors are written, as of any library.
"""

from __future__ import annotations

import logging
import sys
from typing import Literal

from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import (
    FIELDS_ATTRIBUTE,
    FieldValue,
    JsonFormatter,
    KeyValueFormatter,
    error_fields,
)

LogStyle = Literal["json", "console"]

_logger = logging.getLogger("gingervane.daemon")


def configure(style: LogStyle, level: str) -> None:
    """Set up logging for the process; `level` is the name of the least that is written."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if style == "json" else KeyValueFormatter())
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(level.upper())


class DaemonLog:
    """Logs events with fields that all of its lines carry."""

    def __init__(self, **fields: FieldValue) -> None:
        self._fields = fields

    def debug(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log an event that matters to who looks into one query only."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log an event of normal service."""
        self._log(logging.INFO, event, fields)

    def error(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log a fault."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: LogEvent, error: BaseException, **fields: FieldValue) -> None:
        """Log a fault with its exception and where that came from."""
        self._log(logging.ERROR, event, fields | error_fields(error))

    def _log(self, level: int, event: LogEvent, fields: dict[str, FieldValue]) -> None:
        if _logger.isEnabledFor(level):
            _logger.log(level, "%s", event, extra={FIELDS_ATTRIBUTE: self._fields | fields})


def get(part: str, **fields: FieldValue) -> DaemonLog:
    """Return a log whose lines name their part of the program, and carry `fields`."""
    return DaemonLog(part=part, **fields)
