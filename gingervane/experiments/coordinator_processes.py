"""The co-ordinator processes of a scenario run, which it starts, stops, resumes and kills."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path
from typing import Any

from gingervane.experiments.child_process import ChildProcess
from gingervane.experiments.toml_text import toml
from gingervane.fake_servers.recorder import Recorder

Address = tuple[str, int]


class CoordinatorProcesses:
    """The running processes by co-ordinator number. Its lock is never held while a process starts or ends."""

    def __init__(self, out: Path, command: list[str], roots: int, notice: float, director: Recorder) -> None:
        """`command` starts a co-ordinator; clients go on sending to a killed one for `notice` seconds."""
        self._out = out
        self._command = command
        self._roots = roots
        self._notice = notice
        self._director = director
        self._lock = threading.Lock()
        self._processes: dict[int, ChildProcess] = {}
        self._addresses: dict[int, Address] = {}
        # For each killed co-ordinator: when clients stop sending to it.
        self._targeted_until: dict[int, float] = {}
        self._launches = 0

    def launch(self, number: int, settings: dict[str, Any]) -> Address:
        """Start a co-ordinator, wait until it listens, and return its address."""
        path = self._out / f"coordinator-{number}.toml"
        path.write_text(toml(settings))
        self._launches += 1
        tap = self._out / f"tap-{number}-{self._launches}.jsonl"
        command = [*self._command, "--config", str(path), "--tap", str(tap)]
        process = ChildProcess(command, self._out / f"coordinator-{number}.log")
        host, _, port = process.wait_for_line("listening on ").rpartition(":")
        address = host, int(port)
        with self._lock:
            self._processes[number] = process
            self._addresses[number] = address
        self._director.put("launched", coordinator=number, tap=tap.name, port=int(port))
        return address

    def targets(self) -> list[tuple[int, Address]]:
        """Numbers and addresses of the co-ordinators that clients send to."""
        now = time.monotonic()
        with self._lock:
            return [
                (number, address)
                for number, address in self._addresses.items()
                if (not self._roots or number < self._roots)
                and (number in self._processes or now < self._targeted_until.get(number, 0.0))
            ]

    def kill(self, number: int) -> None:
        """Kill a co-ordinator with SIGKILL."""
        with self._lock:
            process = self._processes.pop(number, None)
            self._targeted_until[number] = time.monotonic() + self._notice
        if process:
            self._director.put("killed", coordinator=number)
            process.terminate(force=True)

    def send_signal(self, number: int, signal_to_send: signal.Signals) -> None:
        """Send a signal to a co-ordinator if it runs, and record it."""
        if self._send_signal(number, signal_to_send):
            self._director.put("signal", coordinator=number, signal=signal_to_send.name)

    def resume_all(self) -> None:
        """Send SIGCONT to all co-ordinators, without recording the signals."""
        for number in list(self._processes):
            self._send_signal(number, signal.SIGCONT)

    def _send_signal(self, number: int, signal_to_send: signal.Signals) -> bool:
        with self._lock:
            process = self._processes.get(number)
        if process is None or process.child.poll() is not None:
            return False
        os.kill(process.child.pid, signal_to_send)
        return True

    def usage(self) -> dict[int, dict[str, float]]:
        """CPU seconds and resident MiB of each running co-ordinator."""
        out = {}
        with self._lock:
            pids = {number: process.child.pid for number, process in self._processes.items()}
        for number, pid in pids.items():
            try:
                fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            except FileNotFoundError:  # killed by the script and not yet restarted
                continue
            ticks = os.sysconf("SC_CLK_TCK")
            out[number] = {
                "cpu_s": (int(fields[11]) + int(fields[12])) / ticks,
                "rss_mib": int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20),
            }
        return out

    def end_all(self) -> dict[int, int]:
        """Stop all co-ordinators with SIGTERM and return their exit statuses."""
        with self._lock:
            processes, self._processes = self._processes, {}
        return {number: process.terminate() for number, process in processes.items()}
