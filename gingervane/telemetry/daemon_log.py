"""The daemon's log on standard error: one line for each event, a JSON object or `key=value` pairs.

Built on `logging`. Before `configure` is called, only warnings and errors are written, by the defaults of
`logging`.
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
    """Set up logging for the process; `level` is the name of the lowest level that is written."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if style == "json" else KeyValueFormatter())
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(level.upper())


class DaemonLog:
    """Logs events; its own fields are added to each of them."""

    def __init__(self, **fields: FieldValue) -> None:
        self._fields = fields

    def debug(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log an event that is useful only when a single query is investigated."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def error(self, event: LogEvent, **fields: FieldValue) -> None:
        """Log a fault."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: LogEvent, error: BaseException, **fields: FieldValue) -> None:
        """Log a fault with its exception and the stack trace."""
        self._log(logging.ERROR, event, fields | error_fields(error))

    def _log(self, level: int, event: LogEvent, fields: dict[str, FieldValue]) -> None:
        if _logger.isEnabledFor(level):
            _logger.log(level, "%s", event, extra={FIELDS_ATTRIBUTE: self._fields | fields})


def get(part: str, **fields: FieldValue) -> DaemonLog:
    """Return a log whose lines name the part of the program, and contain `fields`."""
    return DaemonLog(part=part, **fields)
