"""Writes records of events for the audit, one JSON object per line."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any


class Recorder:
    """Appends records to a file, with times on the monotonic clock; without a file it drops them."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a") if path else None
        self._lock = threading.Lock()

    def put(self, kind: str, **fields: Any) -> None:
        """Append one record with the present time."""
        if self._file:
            line = json.dumps({"t": time.monotonic(), "kind": kind, **fields}, separators=(",", ":"))
            with self._lock:
                self._file.write(line + "\n")

    def close(self) -> None:
        """Close the file; later records are dropped."""
        if self._file:
            with self._lock:
                self._file.close()
            self._file = None
