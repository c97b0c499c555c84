"""Logs and counters of a node: one line for each event, in `key=value` form, written by a thread of its own.

A line holds the wall clock and the monotonic clock (the wall clock may be stepped), the node's name, the event and
its fields, of which `reason` comes from a closed set (an enumeration). Callers never wait: a full queue drops the
line and counts it, and each kind of event has a rate beyond which its lines are counted and not written. Counters are
exact and are written every `DUMP_EVERY` seconds where something has changed, on SIGUSR1 and at the end.

Built on `logging`, whose records carry the fields. Every function may be called from any thread.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum
from queue import Empty, Full, Queue
from threading import Event, Lock, Thread
from typing import Protocol, TextIO

from gingervane.wire.local_failures import start_thread

DUMP_EVERY = 10.0  # seconds between two lines of counters
MOST_WAITING = 2048  # lines that may wait to be written
BURST, RATE = 60, 20.0  # lines of one event: at once, and a second in the long run
JOIN = 0.5  # seconds that the end waits for the last lines

Field = str | int | float | bool | Enum


class Log(Protocol):
    """Takes one event with its fields; never waits."""

    def __call__(self, event: str, **fields: Field) -> None: ...


class Limiter:
    """A token bucket for each event name. Not locked: called by the handler under its own lock."""

    def __init__(self, burst: int = BURST, rate: float = RATE) -> None:
        self._burst, self._rate = burst, rate
        self._buckets: dict[str, tuple[float, float]] = {}  # event -> tokens left, and when that was

    def allows(self, event: str, now: float) -> bool:
        """Whether one more line of this event may be written at `now` (monotonic seconds)."""
        tokens, at = self._buckets.get(event, (float(self._burst), now))
        tokens = min(float(self._burst), tokens + (now - at) * self._rate)
        allowed = tokens >= 1.0
        self._buckets[event] = (tokens - allowed, now)
        return allowed


class Formatter(logging.Formatter):
    """`2026-12-02T10:42:28.123Z mono=123.456 node=n0 level=info event=... key=value`."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        wall = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        monotonic = getattr(record, "monotonic", 0.0)
        head = f"{wall}.{int(record.msecs):03d}Z mono={monotonic:.3f} node={self._node}"
        words = [head, f"level={record.levelname.lower()}", f"event={_text(record.getMessage())}"]
        fields: Mapping[str, Field] = getattr(record, "fields", {})
        words += [f"{key}={_text(value)}" for key, value in fields.items()]
        return " ".join(words)


def _text(value: Field) -> str:
    """A value on one line; in quotes where it would not be one word."""
    if isinstance(value, Enum):
        value = str(value.value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    plain = text and not any(c in text for c in ' "=\n\r\t\\')
    return text if plain else '"' + text.encode("unicode_escape").decode().replace('"', '\\"') + '"'


class BackgroundHandler(logging.Handler):
    """Queues lines for its own thread, which writes them. `idle` is called there every `DUMP_EVERY` seconds."""

    def __init__(self, stream: TextIO, idle: Callable[[], None] = lambda: None) -> None:
        super().__init__()
        self._stream, self._idle = stream, idle
        self._waiting: Queue[str | None] = Queue(MOST_WAITING)
        self._limiter = Limiter()
        self._ended = Event()
        self.dropped: Counter[str] = Counter()  # lines not written, by event
        self._thread: Thread | None = None

    def start(self) -> None:
        self._thread = start_thread(self._run, "log")

    def emit(self, record: logging.LogRecord) -> None:
        """Called under the handler's lock."""
        now = time.monotonic()
        event = record.getMessage()
        if record.levelno < logging.ERROR and not self._limiter.allows(event, now):
            self.dropped[event] += 1
            return
        record.monotonic = now
        try:
            self._waiting.put_nowait(self.format(record))
        except Full:
            self.dropped[event] += 1

    def finish(self) -> None:
        """Write what waits and end the thread; gives up after `JOIN` seconds."""
        try:
            self._waiting.put_nowait(None)
        except Full:
            return
        if self._thread:
            self._ended.wait(JOIN)

    def _run(self) -> None:
        due = time.monotonic() + DUMP_EVERY
        while True:
            if time.monotonic() >= due:  # also where lines never cease to come
                self._idle()
                due = time.monotonic() + DUMP_EVERY
            try:
                line = self._waiting.get(timeout=max(due - time.monotonic(), 0.01))
            except Empty:
                continue
            if line is None:
                break
            self._write(line)
        self._ended.set()

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):  # nobody reads the log any more: the service goes on without it
            self.dropped["unwritable"] += 1


class Counters:
    """Totals by name and reason, of this process's life. Exact: each change is made under a lock."""

    def __init__(self) -> None:
        self._lock, self._totals = Lock(), Counter[tuple[str, str]]()

    def add(self, name: str, reason: Enum | str, count: int = 1) -> None:
        key = (name, str(reason.value) if isinstance(reason, Enum) else reason)
        with self._lock:
            self._totals[key] += count

    def get(self, name: str, reason: Enum | str) -> int:
        key = (name, str(reason.value) if isinstance(reason, Enum) else reason)
        with self._lock:
            return self._totals[key]

    def snapshot(self) -> dict[tuple[str, str], int]:
        with self._lock:
            return dict(self._totals)


class Telemetry:
    """The log and the counters of one node."""

    def __init__(self, stream: TextIO | None = None, level: int = logging.INFO) -> None:
        """`stream`: standard error if none is given. Lines that come before `start` wait."""
        self.counters = Counters()
        self._handler = BackgroundHandler(stream or sys.stderr, self.dump)
        self._handler.setFormatter(Formatter("-"))
        self._logger = logging.Logger(
            "gingervane.node", level
        )  # of its own: no other code adds handlers to it
        self._logger.addHandler(self._handler)
        self._dumped: dict[tuple[str, str], int] = {}
        self._sources: list[tuple[str, Callable[[], Mapping[str, int]]]] = [
            ("log_lines_dropped", lambda: self._handler.dropped)
        ]

    def name(self, node: str) -> None:
        """From now on, lines carry this node's name."""
        self._handler.setFormatter(Formatter(node))

    def add_source(self, name: str, totals: Callable[[], Mapping[str, int]]) -> None:
        """Totals by reason that another owner keeps; read at each dump, may be one change behind."""
        self._sources.append((name, totals))

    def start(self) -> None:
        """Begin to write. To be called after signals are blocked, as the thread inherits the mask."""
        self._handler.start()

    def stop(self) -> None:
        self.dump()
        self._handler.finish()

    @property
    def debug_on(self) -> bool:
        return self._logger.isEnabledFor(logging.DEBUG)

    def debug(self, event: str, **fields: Field) -> None:
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Field) -> None:
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Field) -> None:
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Field) -> None:
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
        self._log(logging.INFO, "counters", fields)

    def _log(self, level: int, event: str, fields: Mapping[str, Field]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, "%s", event, extra={"fields": fields})
