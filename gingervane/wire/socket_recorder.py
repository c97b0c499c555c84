"""A record of what passes at this process's socket ends, for audits and traces: off unless a file is named.

One JSON object a line: `t` on the monotonic clock, `kind`, and the ports of the connection's two ends, by which the
records of both ends can be matched. It is written below everything that decides or counts, so that an audit rests
on what passed and not on what the program says of itself.
"""

from __future__ import annotations

import base64
import json
import time
from pathlib import Path
from threading import Lock
from typing import IO, Any


class SocketRecorder:
    """Writes records; does nothing until opened. Lines are flushed at once: the process may be killed."""

    def __init__(self) -> None:
        self._file: IO[str] | None = None
        self._lock = Lock()

    def open(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    @property
    def on(self) -> bool:
        return self._file is not None

    def put(self, kind: str, near: int, far: int, data: bytes = b"", **fields: Any) -> None:
        if self._file is None:
            return
        record = {"t": time.monotonic(), "kind": kind, "near": near, "far": far, **fields}
        if data:
            record["data"] = base64.b64encode(data).decode()
        line = json.dumps(record)
        with self._lock:
            self._file.write(line + "\n")


SOCKET_RECORDER = SocketRecorder()
