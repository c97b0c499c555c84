"""Formats of a log line, shared by the daemon and the node: `key=value` pairs, or a JSON object."""

from __future__ import annotations

import json
import logging
import time
import traceback
from collections.abc import Mapping
from enum import Enum

FieldValue = str | int | float | bool | None | Enum

# Attributes added to a `logging.LogRecord`: the event's fields, and the monotonic time in seconds.
FIELDS_ATTRIBUTE = "fields"
MONOTONIC_ATTRIBUTE = "monotonic"

_NEEDS_QUOTES = frozenset(' "=\n\r\t\\')


class KeyValueFormatter(logging.Formatter):
    """`2026-12-02T10:42:28.123Z mono=123.456 node=n0 level=info event=... key=value`.

    `node` is left out if it has no name.
    """

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self._origin = f" node={node}" if node else ""

    def format(self, record: logging.LogRecord) -> str:
        """Format the clocks, the node, the level, the event and its fields as one line."""
        monotonic: float = getattr(record, MONOTONIC_ATTRIBUTE, None) or time.monotonic()
        words = [
            f"{_wall_clock(record)} mono={monotonic:.3f}{self._origin}",
            f"level={record.levelname.lower()}",
            f"event={_format_value(record.getMessage())}",
        ]
        words += [f"{key}={_format_value(value)}" for key, value in _fields(record).items()]
        return " ".join(words)


class JsonFormatter(logging.Formatter):
    """One JSON object per line: the event's fields, then `event`, `level` and `timestamp`."""

    def format(self, record: logging.LogRecord) -> str:
        """Format the record as one JSON object."""
        entry = dict(_fields(record))
        entry |= {
            "event": record.getMessage(),
            "level": record.levelname.lower(),
            "timestamp": _wall_clock(record),
        }
        return json.dumps(entry, default=repr)


def error_fields(error: BaseException) -> dict[str, FieldValue]:
    """Return the fields `error` and `trace` of an exception."""
    return {
        "error": f"{type(error).__name__}: {error}",
        "trace": "".join(traceback.format_exception(error)),
    }


def _fields(record: logging.LogRecord) -> Mapping[str, FieldValue]:
    fields: Mapping[str, FieldValue] = getattr(record, FIELDS_ATTRIBUTE, {})
    return fields


def _wall_clock(record: logging.LogRecord) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"


def _format_value(value: FieldValue) -> str:
    """Format a value without line breaks; quoted unless it is a single plain word."""
    if isinstance(value, Enum):
        value = str(value.value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(character in _NEEDS_QUOTES for character in text):
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', '\\"') + '"'
