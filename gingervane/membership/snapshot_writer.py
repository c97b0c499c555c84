"""Writes snapshots on a thread of its own, so that a slow disk does not delay the update that reports a drain.

The caller checks `is_write_due` and passes the content to `submit`; the writer's thread writes one content at a time.
The lock protects the schedule and the submitted content; it is not held during a write.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from math import inf
from typing import Any, NamedTuple

from gingervane.membership.atomic_file import StoreError, WriteSchedule
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.view import Member


class SnapshotContent(NamedTuple):
    """Content of a snapshot: the list, and the states of reconciliation and view as JSON-compatible data."""

    members: tuple[Member, ...]
    reconciliation: dict[str, Any]
    view: dict[str, Any]


class SnapshotWriter:
    """Writes the snapshot no more often than its schedule allows."""

    def __init__(
        self, snapshot: Snapshot, log_warning: Callable[[str], None], schedule: WriteSchedule | None = None
    ) -> None:
        """`log_warning` is called on the writer's thread."""
        self.snapshot = snapshot
        self._log_warning = log_warning
        self._schedule = schedule or WriteSchedule()
        self._submitted: SnapshotContent | None = None
        self._writing = False
        self._stopping = False
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def mark_changed(self) -> None:
        """Record that the content has changed."""
        with self._condition:
            self._schedule.mark_changed()

    def is_write_due(self, now: float) -> bool:
        """Return whether no write is under way and the schedule allows one now."""
        with self._condition:
            return not self._writing and self._schedule.is_due(now)

    def next_write_at(self) -> float:
        """Return the time from which `is_write_due` is true; infinite without changes or during a write."""
        with self._condition:
            return inf if self._writing else self._schedule.next_attempt_at()

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether there are changes that have not been submitted, or whose write failed."""
        with self._condition:
            return self._schedule.has_unsaved_changes

    def submit(self, content: SnapshotContent) -> None:
        """Pass content to the writer's thread."""
        with self._condition:
            self._submitted = content
            self._writing = True
            self._schedule.has_unsaved_changes = False
            self._condition.notify_all()

    def stop(self, last: SnapshotContent | None, timeout: float) -> None:
        """Write `last` if given, and end; a write that does not finish within `timeout` seconds is not waited for."""
        with self._condition:
            self._submitted = last or self._submitted
            self._stopping = True
            self._condition.notify_all()
        if self._thread.ident:
            self._thread.join(timeout)
        self.snapshot.close()

    def _run(self) -> None:
        while True:
            with self._condition:
                while self._submitted is None and not self._stopping:
                    self._condition.wait()
                content = self._submitted
                self._submitted = None
            if content is None:
                return
            self._write(content)

    def _write(self, content: SnapshotContent) -> None:
        fault = ""
        try:
            self.snapshot.save(*content)
        except (OSError, StoreError) as error:
            fault = str(error)
        with self._condition:
            self._writing = False
            self._schedule.record_result(time.monotonic(), not fault, self._schedule.has_unsaved_changes)
        if fault:
            self._log_warning(f"the server list could not be kept: {fault}")
