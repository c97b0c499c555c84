"""A log handler whose callers never block: lines are rate-limited, queued and written by a thread."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from queue import Empty, Full, Queue
from threading import Event, Thread
from typing import TextIO

from gingervane.telemetry.log_format import MONOTONIC_ATTRIBUTE
from gingervane.wire.local_failures import start_thread

CALLBACK_INTERVAL = 10.0  # seconds between two calls of `on_interval`
MAX_QUEUED_LINES = 2048
RATE_LIMIT_BURST = 60  # lines of one event at once
RATE_LIMIT_PER_SECOND = 20.0  # lines of one event on average
FLUSH_TIMEOUT = 0.5  # seconds that `finish` waits for the last lines
MIN_POLL_TIMEOUT = 0.01  # seconds
UNWRITABLE = "unwritable"  # key in `dropped` for lines that could not be written to the stream


class EventRateLimiter:
    """A token bucket for each event name. Not thread-safe: the handler calls it under its own lock."""

    def __init__(self, burst: int = RATE_LIMIT_BURST, rate: float = RATE_LIMIT_PER_SECOND) -> None:
        self._burst = burst
        self._rate = rate
        self._buckets: dict[str, tuple[float, float]] = {}  # event -> tokens, and the time of that count

    def allows(self, event: str, now: float) -> bool:
        """Whether one more line of this event may be written at `now` (monotonic seconds)."""
        tokens, updated_at = self._buckets.get(event, (float(self._burst), now))
        tokens = min(float(self._burst), tokens + (now - updated_at) * self._rate)
        allowed = tokens >= 1.0
        self._buckets[event] = (tokens - allowed, now)
        return allowed


class BackgroundHandler(logging.Handler):
    """Queues lines for a thread, which writes them and calls `on_interval` every `CALLBACK_INTERVAL` seconds.

    The callback is called even if the queue is never empty.
    """

    def __init__(self, stream: TextIO, on_interval: Callable[[], None] = lambda: None) -> None:
        super().__init__()
        self._stream = stream
        self._on_interval = on_interval
        self._queue: Queue[str | None] = Queue(MAX_QUEUED_LINES)
        self._limiter = EventRateLimiter()
        self._finished = Event()
        self._thread: Thread | None = None
        self.dropped: Counter[str] = Counter()  # lines not written, by event

    def start(self) -> None:
        """Start the writing thread. Lines logged before stay queued until then."""
        self._thread = start_thread(self._run, "log")

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line, or drop and count it. Called under the handler's lock."""
        now = time.monotonic()
        event = record.getMessage()
        if record.levelno < logging.ERROR and not self._limiter.allows(event, now):
            self.dropped[event] += 1
            return
        setattr(record, MONOTONIC_ATTRIBUTE, now)
        try:
            self._queue.put_nowait(self.format(record))
        except Full:
            self.dropped[event] += 1

    def finish(self) -> None:
        """Write the queued lines and end the thread; return after `FLUSH_TIMEOUT` seconds at the latest."""
        try:
            self._queue.put_nowait(None)
        except Full:
            return
        if self._thread:
            self._finished.wait(FLUSH_TIMEOUT)

    def _run(self) -> None:
        next_call_at = time.monotonic() + CALLBACK_INTERVAL
        while True:
            if time.monotonic() >= next_call_at:
                self._on_interval()
                next_call_at = time.monotonic() + CALLBACK_INTERVAL
            try:
                line = self._queue.get(timeout=max(next_call_at - time.monotonic(), MIN_POLL_TIMEOUT))
            except Empty:
                continue
            if line is None:
                break
            self._write(line)
        self._finished.set()

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):  # the stream is closed: the service continues without a log
            self.dropped[UNWRITABLE] += 1
