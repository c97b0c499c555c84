"""Writes snapshots behind the back of who makes them: a disk that takes its time must not hold up news of a drain.

Owners: the thread that asks `wants` and calls `put` makes the content; the keeper's own thread writes it, one at a
time. The lock is over the pace and the one waiting content, never over the writing.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from gingervane.membership.snapshot import Snapshot
from gingervane.membership.atomic_file import WriteSchedule, StoreError
from gingervane.membership.view import Member

SnapshotContent = tuple[tuple[Member, ...], dict[str, Any], dict[str, Any]]  # list, states of merge and view


class SnapshotWriter:
    """Keeps a snapshot up to date at its pace."""

    def __init__(
        self, snapshot: Snapshot, complain: Callable[[str], None], pace: WriteSchedule | None = None
    ) -> None:
        self.snapshot, self._log_warning, self._schedule = snapshot, complain, pace or WriteSchedule()
        self._submitted: SnapshotContent | None = None
        self._writing = self._stopping = False
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def mark_changed(self) -> None:
        """What there is to keep has changed."""
        with self._condition:
            self._schedule.mark_changed()

    def is_write_due(self, now: float) -> bool:
        """Whether content that is made now would be written now."""
        with self._condition:
            return not self._writing and self._schedule.is_due(now)

    def next_write_at(self) -> float:
        """When `wants` turns true without more news, if no writing is under way."""
        with self._condition:
            return float("inf") if self._writing else self._schedule.next_attempt_at()

    @property
    def has_unsaved_changes(self) -> bool:
        """Whether something has not been written yet."""
        with self._condition:
            return self._schedule.has_unsaved_changes

    def submit(self, content: SnapshotContent) -> None:
        """Have it written."""
        with self._condition:
            self._submitted, self._writing, self._schedule.has_unsaved_changes = content, True, False
            self._condition.notify_all()

    def stop(self, last: SnapshotContent | None, patience: float) -> None:
        """Write `last` if there is one, and end; a disk that does not come back in time is left alone."""
        with self._condition:
            self._submitted, self._stopping = last or self._submitted, True
            self._condition.notify_all()
        if self._thread.ident:
            self._thread.join(patience)
        self.snapshot.close()

    def _run(self) -> None:
        while True:
            with self._condition:
                while self._submitted is None and not self._stopping:
                    self._condition.wait()
                content, self._submitted = self._submitted, None
            if content is None:
                return
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
