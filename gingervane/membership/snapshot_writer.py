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
from gingervane.membership.atomic_file import Pace, StoreError
from gingervane.membership.view import Member

Content = tuple[tuple[Member, ...], dict[str, Any], dict[str, Any]]  # list, states of merge and view


class SnapshotWriter:
    """Keeps a snapshot up to date at its pace."""

    def __init__(self, snapshot: Snapshot, complain: Callable[[str], None], pace: Pace | None = None) -> None:
        self.snapshot, self._complain, self._pace = snapshot, complain, pace or Pace()
        self._waiting: Content | None = None
        self._busy = self._ended = False
        self._turn = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="keeper", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def changed(self) -> None:
        """What there is to keep has changed."""
        with self._turn:
            self._pace.changed()

    def wants(self, now: float) -> bool:
        """Whether content that is made now would be written now."""
        with self._turn:
            return not self._busy and self._pace.ready(now)

    def next(self) -> float:
        """When `wants` turns true without more news, if no writing is under way."""
        with self._turn:
            return float("inf") if self._busy else self._pace.next()

    @property
    def due(self) -> bool:
        """Whether something has not been written yet."""
        with self._turn:
            return self._pace.due

    def put(self, content: Content) -> None:
        """Have it written."""
        with self._turn:
            self._waiting, self._busy, self._pace.due = content, True, False
            self._turn.notify_all()

    def stop(self, last: Content | None, patience: float) -> None:
        """Write `last` if there is one, and end; a disk that does not come back in time is left alone."""
        with self._turn:
            self._waiting, self._ended = last or self._waiting, True
            self._turn.notify_all()
        if self._thread.ident:
            self._thread.join(patience)
        self.snapshot.close()

    def _run(self) -> None:
        while True:
            with self._turn:
                while self._waiting is None and not self._ended:
                    self._turn.wait()
                content, self._waiting = self._waiting, None
            if content is None:
                return
            fault = ""
            try:
                self.snapshot.save(*content)
            except (OSError, StoreError) as error:
                fault = str(error)
            with self._turn:
                self._busy = False
                self._pace.wrote(time.monotonic(), not fault, self._pace.due)
            if fault:
                self._complain(f"the server list could not be kept: {fault}")
