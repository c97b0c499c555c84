"""Forms of a log line, the same for daemon and node: `key=value` words, or a JSON object."""

from __future__ import annotations

import json
import logging
import time
import traceback
from collections.abc import Mapping
from enum import Enum

FieldValue = str | int | float | bool | None | Enum

# Attributes of a log record that carry what `logging` itself has no place for.
FIELDS_ATTRIBUTE = "fields"
MONOTONIC_ATTRIBUTE = "monotonic"

_NEEDS_QUOTES = frozenset(' "=\n\r\t\\')


class KeyValueFormatter(logging.Formatter):
    """`2026-12-02T10:42:28.123Z mono=123.456 node=n0 level=info event=... key=value`; `node` only where named."""

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self._origin = f" node={node}" if node else ""

    def format(self, record: logging.LogRecord) -> str:
        """Write the clocks, the origin, the level, the event and its fields on one line."""
        monotonic: float = getattr(record, MONOTONIC_ATTRIBUTE, None) or time.monotonic()
        words = [
            f"{_wall_clock(record)} mono={monotonic:.3f}{self._origin}",
            f"level={record.levelname.lower()}",
            f"event={_format_value(record.getMessage())}",
        ]
        words += [f"{key}={_format_value(value)}" for key, value in _fields(record).items()]
        return " ".join(words)


class JsonFormatter(logging.Formatter):
    """An object a line: the event's fields, then `event`, `level` and `timestamp`."""

    def format(self, record: logging.LogRecord) -> str:
        """Write the record as one JSON object."""
        entry = dict(_fields(record))
        entry |= {
            "event": record.getMessage(),
            "level": record.levelname.lower(),
            "timestamp": _wall_clock(record),
        }
        return json.dumps(entry, default=repr)


def error_fields(error: BaseException) -> dict[str, FieldValue]:
    """Describe an exception by the fields `error` and `trace`."""
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
    """Write a value on one line; in quotes where it would not be one word."""
    if isinstance(value, Enum):
        value = str(value.value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(character in _NEEDS_QUOTES for character in text):
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', '\\"') + '"'
