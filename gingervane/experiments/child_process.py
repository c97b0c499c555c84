"""Child processes of a scenario run, whose standard output is read line by line on a thread."""

from __future__ import annotations

import contextlib
import queue
import signal
import subprocess
import threading
import time
from pathlib import Path
from typing import IO

_LINE_TIMEOUT = 30.0  # seconds
_EXIT_TIMEOUT = 20.0  # seconds


class ScenarioRunError(Exception):
    """The scenario could not be run, so its records cannot be audited."""


class ChildProcess:
    """A process whose standard error is appended to a log file."""

    def __init__(self, command: list[str], log: Path, keep_stdin: bool = False) -> None:
        self._log = log.open("ab")
        self._name = " ".join(command)
        self.child = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=self._log,
            stdin=subprocess.PIPE if keep_stdin else None,
        )
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        assert self.child.stdout is not None
        threading.Thread(target=self._read_lines, args=(self.child.stdout,), daemon=True).start()

    def _read_lines(self, out: IO[bytes]) -> None:
        for line in out:
            self._lines.put(line.decode())
        self._lines.put("")

    def wait_for_line(self, prefix: str, timeout: float = _LINE_TIMEOUT) -> str:
        """Wait for the first line with a prefix and return the rest of it. Raises ScenarioRunError."""
        deadline = time.monotonic() + timeout
        while True:
            try:
                line = self._lines.get(timeout=max(deadline - time.monotonic(), 0.01))
            except queue.Empty:
                raise ScenarioRunError(f"{self._name}: no line {prefix!r} in {timeout:g} s") from None
            if line.startswith(prefix):
                return line.removeprefix(prefix).strip()
            if not line:
                raise ScenarioRunError(f"{self._name}: ended; see {self._log.name}")

    def close_stdin(self) -> None:
        """Close the standard input of the process; fake servers then write their records and exit."""
        if self.child.stdin:
            self.child.stdin.close()

    def wait_or_terminate(self, timeout: float = _EXIT_TIMEOUT) -> None:
        """Wait up to `timeout` seconds for the process to exit by itself, then terminate it."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.child.wait(timeout)
        self.terminate()

    def terminate(self, force: bool = False, timeout: float = _EXIT_TIMEOUT) -> int:
        """Send SIGTERM, or SIGKILL if `force` or after the time-out; return the exit status."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL if force else signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()
        finally:
            self._log.close()
