"""A fake Consul on loopback: agents that share a catalogue, with blocking queries, TTL checks and faults.

Implements, by the public documentation: /v1/health/service/:name, /v1/catalog/service/:name,
/v1/catalog/datacenters, /v1/agent/service/register, /deregister/:id, /maintenance/:id and
/v1/agent/check/{pass,warn,fail,update}/:id, with `index`, `wait`, `stale`, `consistent`, `passing`, `filter`
(only Service.Meta.KEY == "VALUE") and a token. `PUT /control` with `{"fault": ...}`, which sets a fault, is
not in Consul.

As a process: `python -m gingervane.fake_servers.consul CONFIG.json`, which prints `ready` and a list of
ports, and ends when its standard input is closed.
"""

from __future__ import annotations

import json
import random
import re
import sys
import threading
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

from gingervane.fake_servers.consul_catalogue import Catalogue, seconds
from gingervane.fake_servers.process import STACK_SIZE
from gingervane.fake_servers.recorder import Recorder
from gingervane.fronts.http_server import Exchange, HttpServer, Reply, ServerLimits, plain
from gingervane.wire import http1
from gingervane.wire.http1 import Request

# The faults `stale` and `lag` freeze an agent's data when the fault begins. With `stale`, the response
# headers report that there is no leader and how old the data is; with `lag`, they do not.
FAULTS = ("", "hang", "late", "500", "429", "empty", "garbage", "half", "cut", "no_leader", "stale", "lag")
_FILTER = re.compile(r'Service\.Meta\.([\w-]+) == "([^"]*)"')
# Canonical spelling of the keys of a registration, by the key in lower case.
_KEYS = {
    key.lower(): key
    for key in (
        "ID",
        "Name",
        "Tags",
        "Address",
        "Port",
        "Meta",
        "Check",
        "Checks",
        "CheckID",
        "TTL",
        "Status",
        "DeregisterCriticalServiceAfter",
    )
}
# Status set by each check endpoint.
_STATUSES = {"pass": "passing", "warn": "warning", "fail": "critical"}
_HANG_SECONDS = 300.0  # seconds for which an agent with the fault `hang` does not answer
_LATE_SECONDS = 1.0  # seconds that the fault `late` adds to each answer
_DEFAULT_WAIT = "300s"  # for a blocking query without `wait`
_MAX_WAIT = 600.0  # seconds that a blocking query may wait
_STOP_TIMEOUT = 5.0  # seconds
_JSON = [("Content-Type", "application/json")]

Entries = list[dict[str, Any]]


class Agent:
    """One agent. `fault` is one of FAULTS; `calls` counts its requests, `call_times` has their times."""

    def __init__(
        self,
        catalogue: Catalogue,
        recorder: Recorder | None = None,
        number: int = 0,
        token: str = "",
    ) -> None:
        self.catalogue = catalogue
        self.token = token
        self.fault = ""
        self.calls = 0
        self.call_times: list[float] = []
        self._recorder = recorder or Recorder(None)
        self._number = number
        self._entries_at_fault: dict[str, tuple[Entries, int]] = {}  # the catalogue when the fault began
        self._fault_since = 0.0
        # (service, index) and JSON of the last full list sent
        self._last_full_list: tuple[Any, bytes] = (None, b"")
        self._stop = threading.Event()
        self._rng = random.Random(number)
        self._server = HttpServer("127.0.0.1", 0, self._handle, ServerLimits())
        self.address = self._server.address
        self._server.start()

    def close(self) -> None:
        """End all blocking queries and stop the server."""
        self._stop.set()
        with self.catalogue.changed:
            self.catalogue.changed.notify_all()
        self._server.stop(_STOP_TIMEOUT)

    def set_fault(self, fault: str) -> None:
        """Set the fault, also for blocking queries that are open. Raises ValueError."""
        if fault not in FAULTS:
            raise ValueError(f"{fault!r} is not one of {', '.join(FAULTS)}")
        with self.catalogue.changed:
            self._entries_at_fault = self.catalogue.snapshot()
            self.fault = fault
            self._fault_since = time.monotonic()
            self.catalogue.changed.notify_all()

    def _handle(
        self,
        request: Request,
        body: bytes,
        arrived: float,  # noqa: ARG002 - the interface of a handler
        client: Exchange,
    ) -> Reply:
        target, _, text = request.target.partition("?")
        query = {key: values[0] for key, values in parse_qs(text, keep_blank_values=True).items()}
        segments = [unquote(word) for word in target.strip("/").split("/")]
        if segments == ["control"]:
            self.set_fault(json.loads(body)["fault"])
            return plain(200, "")
        self.calls += 1
        self.call_times.append(time.monotonic())
        self._recorder.put("asked", agent=self._number, peer=client.peer, target=request.target)
        if self.fault == "hang":
            self._stop.wait(_HANG_SECONDS)
        if self.fault == "late":
            self._stop.wait(_LATE_SECONDS)
        if self.fault in ("500", "429"):
            retry_after = (("Retry-After", "1"),) if self.fault == "429" else ()
            return plain(int(self.fault), "rpc error", fields=retry_after)
        if self.token and request.headers.get("x-consul-token") != self.token:
            return plain(403, "Permission denied: token with AccessorID lacks permission")
        try:
            return self._route(request.method, segments, query, body, client)
        except (ValueError, KeyError, TypeError) as error:
            return plain(400, f"bad request: {error!r}")

    def _route(
        self, method: str, segments: list[str], query: dict[str, str], body: bytes, client: Exchange
    ) -> Reply:
        match [method, *segments]:
            case ["GET", "v1", "health", "service", name]:
                return self._health(name, query, client)
            case ["GET", "v1", "catalog", "service", name]:
                return self._catalog_service(name)
            case ["GET", "v1", "catalog", "datacenters"]:
                return self._json(list(self.catalogue.datacenters), 1)
            case ["PUT", "v1", "agent", "service", "register"]:
                return self._register(_canonical(json.loads(body)))
            case ["PUT", "v1", "agent", "service", "deregister", name]:
                return _ok_or_not_found(self.catalogue.deregister(name), "unknown service")
            case ["PUT", "v1", "agent", "service", "maintenance", name]:
                status = "critical" if query["enable"] == "true" else None
                is_known = self.catalogue.check(name, f"_service_maintenance:{name}", status)
                return _ok_or_not_found(is_known, "unknown service")
            case ["PUT", "v1", "agent", "check", verb, check]:
                status = json.loads(body)["Status"] if verb == "update" else _STATUSES[verb]
                return self._set_check(check, status)
        return plain(404, "no such endpoint")

    def _catalog_service(self, name: str) -> Reply:
        with self.catalogue.changed:
            services = [
                {
                    "ServiceID": s["ID"],
                    "ServiceName": name,
                    "ServicePort": s["Port"],
                    "ServiceAddress": s.get("Address", ""),
                    "ServiceMeta": s["Meta"],
                    "ServiceTags": s["Tags"],
                    "Address": "127.0.0.1",
                    "Node": "n",
                }
                for s in (entry["Service"] for entry in self.catalogue.entries(name))
            ]
            index = self.catalogue.index_of(name)
        return self._json(services, index)

    def _register(self, service: dict[str, Any]) -> Reply:
        checks = [service["Check"]] if service.get("Check") else service.get("Checks") or []
        service = {**service, "Check": None, "Checks": [_canonical(check) for check in checks]}
        self.catalogue.register({**service, "ID": service.get("ID") or service["Name"]})
        return plain(200, "")

    def _set_check(self, check: str, status: str) -> Reply:
        name = check.removeprefix("service:")
        if not self.catalogue.has_check(name, check):
            return plain(404, f'Unknown check ID "{check}"')
        self.catalogue.check(name, check, status)
        return plain(200, "")

    # ---- blocking queries

    def _health(self, name: str, query: dict[str, str], client: Exchange) -> Reply:
        """Answer a blocking query; the fault that is active at its end applies."""
        dc = query.get("dc", self.catalogue.datacenters[0])
        if dc not in self.catalogue.datacenters:
            return plain(500, "No path to datacenter")
        requested_index = int(query.get("index", "0"))
        wait = seconds(query.get("wait", _DEFAULT_WAIT)) if query.get("index") else 0.0
        deadline = time.monotonic() + min(wait * (1 + self._rng.random() / 16), _MAX_WAIT)
        if self.fault == "stale" and "consistent" in query:
            return plain(500, "No cluster leader")
        is_frozen = self.fault in ("stale", "lag") and "consistent" not in query
        entries, index = self._wait_for_change(name, requested_index, deadline, is_frozen)
        if self.fault == "hang":
            self._stop.wait(_HANG_SECONDS)
        if self.fault in ("500", "429"):
            return plain(int(self.fault), "rpc error")
        if self.fault == "empty":
            entries = []
        entries = [entry for entry in entries if _matches_query(entry, query)]
        if self.fault == "garbage":
            return Reply(200, [*_JSON, ("X-Consul-Index", "7")], b'{"what": 1}')
        if self.fault == "half":
            return Reply(200, [*_JSON], json.dumps(entries).encode()[:-9])
        return self._send_entries(name, entries, index, query, client)

    def _wait_for_change(
        self, name: str, requested_index: int, deadline: float, is_frozen: bool
    ) -> tuple[Entries, int]:
        """Wait until the index differs from the requested one, the fault changes or the deadline passes.

        A frozen agent with a lower index waits too; otherwise a lower index is answered at once.
        """
        with self.catalogue.changed:
            fault = self.fault
            while (
                requested_index
                and not self._stop.is_set()
                and self.fault == fault
                and fault in ("", "stale", "lag")
            ):
                index = self._entries(name, is_frozen)[1] if is_frozen else self.catalogue.index_of(name)
                if index != requested_index and not (is_frozen and index < requested_index):
                    break
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                self.catalogue.changed.wait(remaining)
            return self._entries(name, is_frozen)

    def _entries(self, name: str, is_frozen: bool) -> tuple[Entries, int]:
        """Return a service's entries and index: the present ones, or those when the fault began if frozen."""
        if is_frozen:
            return self._entries_at_fault.get(name, ([], 1))
        return self.catalogue.entries(name), self.catalogue.index_of(name)

    def _send_entries(
        self, name: str, entries: Entries, index: int, query: dict[str, str], client: Exchange
    ) -> Reply:
        if self.fault not in ("empty", "cut"):  # the full list is sent
            self._recorder.put("told", agent=self._number, peer=client.peer, index=index, service=name)
        is_cacheable = self.fault == "" and not {"passing", "filter"} & query.keys()
        key, encoded = self._last_full_list
        if is_cacheable and key == (name, index):
            return self._json(entries, index, encoded)
        reply = self._json(entries, index)
        if is_cacheable:
            self._last_full_list = (name, index), reply.body
        if self.fault == "cut":
            data = http1.encode_response(200, reply.fields, reply.body)
            client.send_raw(data[: len(data) * 2 // 3])
            return reply._replace(result_expires_at=0.0)
        return reply

    def _json(self, body: Any, index: int, encoded: bytes | None = None) -> Reply:
        leader = "false" if self.fault in ("no_leader", "stale") else "true"
        contact_age_ms = (time.monotonic() - self._fault_since) * 1000 if self.fault == "stale" else 0.0
        fields = [
            *_JSON,
            ("X-Consul-Index", str(index)),
            ("X-Consul-KnownLeader", leader),
            ("X-Consul-LastContact", str(int(contact_age_ms))),
        ]
        return Reply(200, fields, json.dumps(body).encode() if encoded is None else encoded)


def _canonical(table: dict[str, Any]) -> dict[str, Any]:
    """Return a registration with its keys in canonical spelling; Consul accepts keys in any case."""
    return {_KEYS.get(key.lower(), key): value for key, value in table.items()}


def _ok_or_not_found(is_known: bool, error: str) -> Reply:
    return plain(200, "") if is_known else plain(404, error)


def _matches_query(entry: dict[str, Any], query: dict[str, str]) -> bool:
    """Whether an entry passes a query's filters. Raises ValueError."""
    if "passing" in query and any(check["Status"] != "passing" for check in entry["Checks"]):
        return False
    if "filter" not in query:
        return True
    match = _FILTER.fullmatch(query["filter"])
    if not match:
        raise ValueError(f"filter {query['filter']!r}: only Service.Meta.KEY == \"VALUE\" is known here")
    return bool(entry["Service"]["Meta"].get(match[1]) == match[2])


def main() -> int:
    """Run the agents that the configuration file describes until standard input is closed."""
    config = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(STACK_SIZE)
    recorder = Recorder(Path(config["records"]) if config.get("records") else None)
    catalogue = Catalogue(tuple(config.get("datacenters", ["dc1"])), recorder)
    agents = [Agent(catalogue, recorder, number) for number in range(config["agents"])]
    print("ready", json.dumps([agent.address[1] for agent in agents]), flush=True)
    sys.stdin.read()
    print("calls", json.dumps([agent.call_times for agent in agents]), flush=True)
    for agent in agents:
        agent.close()
    catalogue.close()
    recorder.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
