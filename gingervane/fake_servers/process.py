"""Runs fake servers in a process of their own: `python -m MODULE CONFIG.json`.

The file describes the servers, their faults, with times on the monotonic clock, and the file for records. The
process prints `ready` and a JSON list of ports once all servers listen, and ends when its standard input is
closed.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.recorder import Recorder


class ServerGroup(Protocol):
    """A group of fake servers that a process runs."""

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The servers' addresses."""

    def stop(self) -> None:
        """Stop all servers."""


ServerConfig = dict[str, Any]
STACK_SIZE = 256 * 1024  # bytes per thread; small, because each connection has its own thread


def serve(build: Callable[[ServerConfig, Recorder, dict[int, list[Fault]]], ServerGroup]) -> int:
    """Build servers from the configuration file, print their ports and run until standard input is closed."""
    config = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(STACK_SIZE)
    silent = config.get("silent") or not config.get("records")
    recorder = Recorder(None if silent else Path(config["records"]))
    faults = {int(node): [Fault(**table) for table in tables] for node, tables in config["faults"].items()}
    nodes = build(config, recorder, faults)
    print("ready", json.dumps([port for _, port in nodes.addresses]), flush=True)
    sys.stdin.read()
    nodes.stop()
    recorder.close()
    return 0
