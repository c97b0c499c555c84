"""What one call to discovery went through: its times and its end, for the log and the counters."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum

from gingervane.node.config import Address
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_format import FieldValue
from gingervane.telemetry.node_telemetry import Log

NEVER = -1.0  # stands in the log for something that did not happen


class CallEnd(Enum):
    """Why a call to discovery ended."""

    SILENT = "fell silent"  # no line came in time: while connecting, before the head, or between two lines
    UNREACHABLE = "unreachable"  # the connection was refused or has no way
    BROKEN = "broken"  # the connection was reset, or ended inside a message
    ENDED = "ended by discovery"
    STATUS = "status"  # answered with a status other than 200
    MALFORMED = "malformed"  # what came is no HTTP, or no list where one is due
    MOVED = "moved"  # the configuration names another address now, or the node stops
    INTERNAL = "internal error"


@dataclass
class CallProgress:
    """One call as far as it has come. Times are monotonic seconds, 0 for what has not happened.

    `number` counts the calls of this process from 1; `since` is the version that was asked from.
    """

    number: int
    address: Address
    since: int
    started_at: float = field(default_factory=time.monotonic)
    connected_at: float = 0.0
    first_byte_at: float = 0.0
    first_list_at: float = 0.0
    lines: int = 0
    lists: int = 0
    bytes: int = 0

    def record_bytes(self, count: int) -> None:
        """Note bytes that have come."""
        if count and not self.bytes:
            self.first_byte_at = time.monotonic()
        self.bytes += count

    def record_list(self) -> None:
        """Note a list or a change that could be read."""
        if not self.lists:
            self.first_list_at = time.monotonic()
        self.lists += 1

    def log_start(self, log: Log, idle_seconds: float, silent_seconds: float) -> None:
        """Log that the call begins.

        `idle_seconds`: since the call before it ended; `silent_seconds`: since a line last came on any call.
        """
        log(
            LogEvent.DISCOVERY_CALL_STARTED,
            call=self.number,
            discovery=_text(self.address),
            since=self.since,
            idle_seconds=round(idle_seconds, 3),
            silent_seconds=round(silent_seconds, 3),
        )

    def log_end(self, log: Log, reason: CallEnd, detail: str) -> None:
        """Log how the call ended, and after how many seconds it had come how far."""
        fields: dict[str, FieldValue] = {
            "call": self.number,
            "discovery": _text(self.address),
            "reason": reason,
            "detail": detail,
            "seconds": round(time.monotonic() - self.started_at, 3),
            "connected_seconds": self._after(self.connected_at),
            "first_byte_seconds": self._after(self.first_byte_at),
            "first_list_seconds": self._after(self.first_list_at),
            "lines": self.lines,
            "lists": self.lists,
            "bytes": self.bytes,
        }
        log(LogEvent.DISCOVERY_CALL_ENDED, **fields)

    def _after(self, at: float) -> float:
        return round(at - self.started_at, 3) if at else NEVER


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
