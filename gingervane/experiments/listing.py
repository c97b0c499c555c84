"""How a rehearsal's director says what is listed: a file that it rewrites, or entries in the stand-in of Consul."""

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
    """A node or a co-ordinator. `started`: Unix time, None if the list does not say."""

    number: int
    name: str
    address: tuple[str, int]
    zone: str
    cell: int
    state: str
    started: float | None


class Listing(Protocol):
    """Makes the list what it is to be now."""

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None: ...


class FileListing:
    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None:
        rows = [
            list_row(
                r.number, f"{r.address[0]}:{r.address[1]}", r.zone, r.cell, r.state, r.started, table, r.name
            )
            for table, found in (("node", nodes), ("coordinator", coordinators))
            for r in found
        ]
        write_list(self._path, "\n".join(rows))


class ConsulListing:
    """Registers through an agent of its own, as operators and health checks do; co-ordinators register themselves.

    A drain is a mark in the entry's meta for nodes of even number and maintenance for the others; a node that is
    gone has a critical check, and is still listed.
    """

    def __init__(self, agent: tuple[str, int], service: str) -> None:
        self._agent, self._service = agent, service
        self._pool = Pool(Limits(16384, 1 << 20), 1, 60.0)
        self._written: dict[int, Row] = {}

    def write(self, nodes: list[Row], coordinators: list[Row]) -> None:
        for row in nodes:
            was = self._written.get(row.number)
            if row == was:
                continue
            marked = row.state == "draining" and row.number % 2 == 0
            before = was is not None and was.state == "draining" and row.number % 2 == 0
            if was is None or marked != before or row.started != was.started:
                self._register(row, marked)
            if row.number % 2 and (row.state == "draining") != (was is not None and was.state == "draining"):
                enable = "true" if row.state == "draining" else "false"
                self._put(f"service/maintenance/{row.name}?enable={enable}", None)
            if was is not None and (row.state == "gone") != (was.state == "gone"):
                status = "critical" if row.state == "gone" else "passing"
                self._put(f"check/update/service:{row.name}", {"Status": status})
            self._written[row.number] = row

    def fault(self, agent: tuple[str, int], fault: str) -> None:
        """Give an agent of the stand-in a fault, or take it away."""
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
        data = http1.head(f"PUT {target} HTTP/1.1", fields) + body
        status, _, said = exchange(self._pool, agent, data, time.monotonic() + 10.0)
        if status != 200:
            raise OSError(f"{target}: {status}: {said[:100]!r}")
