"""Publishing the server list of a scenario run: as a list file, or as entries in the fake Consul."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from gingervane.fake_servers.server_list import list_row, write_list
from gingervane.wire import http1
from gingervane.wire.http1 import Limits
from gingervane.wire.pool import Pool, exchange


class Row(NamedTuple):
    """A node or a co-ordinator of the list. `started` is a Unix time, None if the list does not state it."""

    number: int
    name: str
    address: tuple[str, int]
    zone: str
    cell: int
    state: str
    started: float | None


class Listing(Protocol):
    """Publishes the server list."""

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None:
        """Publish the current list."""


class FileListing:
    """Publishes the list as a file, which it replaces atomically."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None:
        """Replace the list file."""
        rows = [
            list_row(
                r.number, f"{r.address[0]}:{r.address[1]}", r.zone, r.cell, r.state, r.started, table, r.name
            )
            for table, rows_of_table in (("node", nodes), ("coordinator", coordinators))
            for r in rows_of_table
        ]
        write_list(self._path, "\n".join(rows))


class ConsulListing:
    """Registers nodes through an agent that co-ordinators do not use, as operators and health checks do.

    Both ways of draining are used: nodes with an even number get a `drain` mark in their meta data, the
    others maintenance mode. A node that is gone stays listed, with a critical check.
    """

    def __init__(self, agent: tuple[str, int], service: str) -> None:
        self._agent = agent
        self._service = service
        self._pool = Pool(Limits(16384, 1 << 20), 1, 60.0)
        self._written: dict[int, Row] = {}

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None:  # noqa: ARG002 - they register themselves
        """Register, drain or fail the nodes that have changed since the last call."""
        for row in nodes:
            if row != self._written.get(row.number):
                self._update(row, self._written.get(row.number))
                self._written[row.number] = row

    def _update(self, row: Row, previous: Row | None) -> None:
        is_draining = row.state == "draining"
        was_draining = previous is not None and previous.state == "draining"
        uses_meta_mark = row.number % 2 == 0
        is_marked = is_draining and uses_meta_mark
        if (
            previous is None
            or is_marked != (was_draining and uses_meta_mark)
            or row.started != previous.started
        ):
            self._register(row, is_marked)
        if not uses_meta_mark and is_draining != was_draining:
            enable = "true" if is_draining else "false"
            self._put(f"service/maintenance/{row.name}?enable={enable}", None)
        if previous is not None and (row.state == "gone") != (previous.state == "gone"):
            status = "critical" if row.state == "gone" else "passing"
            self._put(f"check/update/service:{row.name}", {"Status": status})

    def fault(self, agent: tuple[str, int], fault: str) -> None:
        """Set the fault of an agent of the fake Consul; an empty string removes it."""
        self._call(agent, "/control", {"fault": fault})

    def _register(self, row: Row, marked: bool) -> None:
        meta = {"zone": row.zone, "cell": str(row.cell), "gingervane-id": str(row.number)}
        meta |= {"started": f"{row.started:.3f}"} if row.started is not None else {}
        meta |= {"drain": "true"} if marked else {}
        self._put(
            "service/register",
            {
                "ID": row.name,
                "Name": self._service,
                "Address": row.address[0],
                "Port": row.address[1],
                "Meta": meta,
                "Check": {
                    "CheckID": f"service:{row.name}",
                    "Status": "critical" if row.state == "gone" else "passing",
                },
            },
        )

    def _put(self, path: str, content: Any) -> None:
        self._call(self._agent, f"/v1/agent/{path}", content)

    def _call(self, agent: tuple[str, int], target: str, content: Any) -> None:
        body = b"" if content is None else json.dumps(content).encode()
        fields = [("Host", "agent"), ("Content-Length", str(len(body)))]
        data = http1.encode_head(f"PUT {target} HTTP/1.1", fields) + body
        status, _, reply = exchange(self._pool, agent, data, time.monotonic() + 10.0)
        if status != 200:
            raise OSError(f"{target}: {status}: {reply[:100]!r}")
