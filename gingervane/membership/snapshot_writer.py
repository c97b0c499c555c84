"""Writes snapshots on a thread of its own: a slow disk must not hold up the news of a drain.

Owners: the thread that asks `is_write_due` and calls `submit` makes the content; the writer's own thread writes it,
one at a time. The lock is over the schedule and the one submitted content, never over the writing.
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
    """What a snapshot holds: the list, and the states of reconciliation and view as JSON can hold them."""

    members: tuple[Member, ...]
    reconciliation: dict[str, Any]
    view: dict[str, Any]


class SnapshotWriter:
    """Keeps a snapshot up to date at the pace of its schedule."""

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
        """Start the thread that writes."""
        self._thread.start()

    def mark_changed(self) -> None:
        """Note that the content has changed."""
        with self._condition:
            self._schedule.mark_changed()

    def is_write_due(self, now: float) -> bool:
        """Tell whether content that is submitted now would be written now."""
        with self._condition:
            return not self._writing and self._schedule.is_due(now)

    def next_write_at(self) -> float:
        """Return when `is_write_due` turns true without further changes; infinite while a write is under way."""
        with self._condition:
            return inf if self._writing else self._schedule.next_attempt_at()

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether something has not been written yet."""
        with self._condition:
            return self._schedule.has_unsaved_changes

    def submit(self, content: SnapshotContent) -> None:
        """Have the content written."""
        with self._condition:
            self._submitted = content
            self._writing = True
            self._schedule.has_unsaved_changes = False
            self._condition.notify_all()

    def stop(self, last: SnapshotContent | None, timeout: float) -> None:
        """Write `last` if there is one, and end; a disk that does not come back in time is left alone."""
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
