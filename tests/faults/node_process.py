"""One node of the rig: its process, which may end and be restarted, and its proxies to the replicas."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import time
from pathlib import Path

from ports import ReservedPort

from faults.discovery import DiscoveryService
from faults.ledger import Ledger, NodeRun
from faults.plans import Plan
from faults.proxy import Proxy

READY_TIMEOUT_SECONDS = 20.0
MAX_SOCKETS = 256  # limit of file descriptors in a node's configuration


def memory_of(pid: int, key: str) -> float:
    """Return `VmHWM` or `VmRSS` of a process in MB; 0 once it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(rf"{key}:\s+(\d+) kB", text)
    return int(found[1]) / 1024 if found else 0.0


def wait_until_ready(address: tuple[str, int], log: Path) -> None:
    """Wait until a node answers that it is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection(address, 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            if b" 200 " in sock.recv(4096):
                return
        time.sleep(0.01)
    raise AssertionError(f"the node at {address} is not ready: {log.read_text()[-2000:]}")


def ignore_hang_up() -> None:
    """Ignore SIGHUP until the program handles it, as the deploy file does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class Program:
    """How a node is started: the checkout, the interpreter, and additional environment variables."""

    def __init__(self, root: Path, python: str, env: dict[str, str]) -> None:
        self.root, self.python, self.env = root, python, env

    def start(self, config: Path, log: Path) -> subprocess.Popen[bytes]:
        with log.open("a") as output:
            return subprocess.Popen(
                [self.python, "-m", "gingervane.node"],
                cwd=self.root,
                stderr=output,
                stdin=subprocess.DEVNULL,
                preexec_fn=ignore_hang_up,  # noqa: PLW1509
                env={"NODE_CONFIG": str(config), "PATH": os.environ["PATH"], **self.env},
            )


class Node:
    """One node. The threads that play the plan start and end its process."""

    def __init__(
        self,
        plan: Plan,
        number: int,
        replica_addresses: list[tuple[str, int]],
        discovery: DiscoveryService,
        ledger: Ledger,
        folder: Path,
        program: Program,
    ) -> None:
        self.number = number
        self.termination_requested = False  # SIGTERM or SIGKILL was sent
        self.log = folder / f"n{number}.log"
        self._plan, self._ledger, self._discovery, self._program = plan, ledger, discovery, program
        self._config = folder / f"n{number}.json"
        self.proxies = [
            Proxy(address, number, i, plan.proxy_faults, f"{plan.seed}/{number}/{i}", ledger)
            for i, address in enumerate(replica_addresses)
        ]
        self._discovery_addresses = discovery.add_node(
            number, [f"127.0.0.1:{proxy.port}" for proxy in self.proxies]
        )
        self._reserved_port = ReservedPort()
        self.address = self._reserved_port.address
        self._initial_list = discovery.full_list(number)
        self.start()

    def start(self) -> None:
        """Start a process whose configuration has the saved endpoint list."""
        self._configure()
        self.termination_requested = False
        self._ledger.runs.append(NodeRun(self.number, time.monotonic(), self._initial_list["seq"]))
        self.process = self._program.start(self._config, self.log)

    def save_list(self) -> None:
        """Save the current endpoint list for the configuration of the next process."""
        self._initial_list = self._discovery.full_list(self.number)

    def move_discovery(self) -> None:
        """Write discovery's other address to the configuration, and make the process reload it."""
        self._discovery_addresses.reverse()
        self._configure()
        self._ledger.count_fault("discovery moved")
        self.signal(signal.SIGHUP)

    def record_memory(self) -> None:
        """Record the peak of resident memory of the process so far."""
        peak_mb = memory_of(self.process.pid, "VmHWM")
        run = self._ledger.run_of(self.number, time.monotonic())
        run.peak_memory_mb = max(run.peak_memory_mb, peak_mb)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; record the time of SIGTERM and SIGKILL, and the memory before."""
        self.record_memory()
        now = time.monotonic()
        run = self._ledger.run_of(self.number, now)
        if number == signal.SIGTERM:
            self.termination_requested, run.terminated_at = True, now
        elif number == signal.SIGKILL:
            self.termination_requested, run.killed_at = True, now
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def wait_ready(self) -> None:
        wait_until_ready(self.address, self.log)

    def close(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._reserved_port.close()
        for proxy in self.proxies:
            proxy.close()

    def _configure(self) -> None:
        document = {
            "name": f"n{self.number}",
            "listen": "{}:{}".format(*self.address),
            "discovery": self._discovery_addresses[0],
            "seed": f"{self._plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": self._plan.sockets},
            "known": self._initial_list,
            "settings": self._plan.settings(self.number),
        }
        new = self._config.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(self._config)
