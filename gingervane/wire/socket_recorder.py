"""A recorder of the traffic on this process's sockets, for audits and traces. Disabled by default.

Each line is a JSON object: `t` (monotonic clock), `kind`, and the local and remote port of the connection
(`near`, `far`), by which the records of both ends can be matched. The recorder works below all decisions and
metrics, so that an audit relies on the traffic itself and not on what the program reports about it.
"""

from __future__ import annotations

import base64
import json
import time
from pathlib import Path
from threading import Lock
from typing import IO, Any


class SocketRecorder:
    """Appends records to a file once opened. Flushes each line at once, since the process may be killed."""

    def __init__(self) -> None:
        self._file: IO[str] | None = None
        self._lock = Lock()

    def open(self, path: Path) -> None:
        """Start recording: append to the file at `path`."""
        self._file = path.open("a", buffering=1)

    @property
    def enabled(self) -> bool:
        """Whether a file is open, so that records are written."""
        return self._file is not None

    def record(self, kind: str, local_port: int, remote_port: int, data: bytes = b"", **fields: Any) -> None:
        """Write one record, with `data` in base64 and any further `fields`."""
        if self._file is None:
            return
        record = {"t": time.monotonic(), "kind": kind, "near": local_port, "far": remote_port, **fields}
        if data:
            record["data"] = base64.b64encode(data).decode()
        line = json.dumps(record)
        with self._lock:
            self._file.write(line + "\n")


SOCKET_RECORDER = SocketRecorder()
