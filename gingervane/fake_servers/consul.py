"""A stand-in for Consul on loopback: agents before one catalogue, with blocking queries, TTL checks and faults.

Speaks, by the public documentation: /v1/health/service/:name, /v1/catalog/service/:name, /v1/catalog/datacenters,
/v1/agent/service/register, /deregister/:id, /maintenance/:id, /v1/agent/check/{pass,warn,fail,update}/:id; with
`index`, `wait`, `stale`, `consistent`, `passing`, `filter` (Service.Meta.KEY == "VALUE" alone) and a token. `PUT
/control` with `{"fault": ...}` is its own. An index is that of the service's last change; a check's update that
changes nothing moves none.

Owners: the catalogue is its condition's; handlers wait on it in blocking queries, and a thread of its own on the
next TTL. As a process: `python -m gingervane.fake_servers.consul ORDERS.json`, which prints `ready` and a list of
ports, and ends when its standard input does.
"""

from __future__ import annotations

import json
import random
import re
import sys
import threading
import time
from math import inf
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

from gingervane.fronts.http_server import Exchange, HttpServer, Reply, ServerLimits, plain
from gingervane.fake_servers.recorder import Recorder
from gingervane.wire import http1
from gingervane.wire.http1 import Request

# `stale`: cut off from the others, says so by its contact; `lag`: so behind, and does not say so.
FAULTS = ("", "hang", "late", "500", "429", "empty", "garbage", "half", "cut", "no_leader", "stale", "lag")
_FILTER = re.compile(r'Service\.Meta\.([\w-]+) == "([^"]*)"')
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
_STATUSES = {"pass": "passing", "warn": "warning", "fail": "critical"}


class Catalogue:
    """Services by id, each with the indexes of its making and its last change, and its checks."""

    def __init__(self, datacenters: tuple[str, ...] = ("dc1",), recorder: Recorder | None = None) -> None:
        self.changed = threading.Condition()
        self.datacenters, self.index = datacenters, 10
        self._recorder = recorder or Recorder(None)
        self._services: dict[str, dict[str, Any]] = {}
        self._moved: dict[str, int] = {}  # service name -> index of its last change
        self._closed = False
        threading.Thread(target=self._watch_ttls, name="ttl", daemon=True).start()

    def close(self) -> None:
        with self.changed:
            self._closed = True
            self.changed.notify_all()

    def register(self, service: dict[str, Any]) -> None:
        """As the body of /v1/agent/service/register."""
        with self.changed:
            old = self._services.get(service["ID"], {})
            checks = dict(old.get("Checks", {}))
            asked = [service["Check"]] if service.get("Check") else service.get("Checks", [])
            for number, given in enumerate(asked, 1):
                ttl = _seconds(given.get("TTL", "0s"))
                own_id = f"service:{service['ID']}" + (f":{number}" if len(asked) > 1 else "")
                checks[given.get("CheckID", own_id)] = {
                    "Status": given.get("Status", "critical"),
                    "ttl": ttl,
                    "due": time.monotonic() + ttl if ttl else inf,
                    "remove": _seconds(given.get("DeregisterCriticalServiceAfter", "0s")),
                }
            own = {key: value for key, value in service.items() if key not in ("Check", "Checks")}
            own |= {"Checks": checks, "CreateIndex": old.get("CreateIndex", self.index + 1)}
            if {**old, "ModifyIndex": 0} != {**own, "ModifyIndex": 0}:
                self._services[service["ID"]] = own
                self._move(own)

    def deregister(self, name: str) -> bool:
        with self.changed:
            service = self._services.pop(name, None)
            if service:
                self._move(service)
        return service is not None

    def check(self, name: str, check: str, status: str | None) -> bool:
        """Set a check of a service, or take it away; whether there is such a service."""
        with self.changed:
            service = self._services.get(name)
            if service is None:
                return False
            known = service["Checks"].setdefault(
                check, {"Status": None, "ttl": 0.0, "due": inf, "remove": 0.0}
            )
            known["due"] = time.monotonic() + known["ttl"] if known["ttl"] else inf
            if status is None:
                del service["Checks"][check]
            if known["Status"] != status or status is None:
                known["Status"] = status
                self._move(service)
        return True

    def has_check(self, name: str, check: str) -> bool:
        with self.changed:
            return check in self._services.get(name, {}).get("Checks", {})

    def restore(self, keep: bool = True) -> None:
        """As after a restore from a snapshot: every index is lower, and made anew; or nothing is left at all."""
        with self.changed:
            self.index = 1
            if not keep:
                self._services.clear()
            self._moved = dict.fromkeys(self._moved, 1)
            for service in self._services.values():
                service["CreateIndex"] = service["ModifyIndex"] = 1
            self.changed.notify_all()

    def index_of(self, name: str) -> int:
        """Of a service's last change. Call with the condition held."""
        return self._moved.get(name, 1)

    def entries(self, name: str) -> list[dict[str, Any]]:
        """As /v1/health/service/:name has them. Call with the condition held."""
        return [self._entry(service) for service in self._services.values() if service["Name"] == name]

    def _entry(self, service: dict[str, Any]) -> dict[str, Any]:
        checks = [
            {"Node": "n", "CheckID": check, "Status": known["Status"], "ServiceID": service["ID"]}
            for check, known in service["Checks"].items()
        ]
        node = {"Node": "n", "Address": "127.0.0.1", "Datacenter": self.datacenters[0], "Meta": {}}
        own = {"Tags": [], "Meta": {}} | {key: value for key, value in service.items() if key != "Checks"}
        return {"Node": node, "Service": {**own, "Service": own["Name"]}, "Checks": checks}

    def _move(self, service: dict[str, Any]) -> None:
        """A service has changed. With the condition held."""
        self.index += 1
        service["ModifyIndex"] = self._moved[service["Name"]] = self.index
        checks = {check: known["Status"] for check, known in service["Checks"].items()}
        here = self._services.get(service["ID"]) is service
        self._recorder.put(
            "change",
            service=service["ID"],
            index=self.index,
            here=here,
            meta=service.get("Meta", {}),
            checks=checks,
        )
        self.changed.notify_all()

    def _watch_ttls(self) -> None:
        with self.changed:
            while not self._closed:
                now = time.monotonic()
                due, name, check = min(
                    (
                        (known["due"], s["ID"], check)
                        for s in self._services.values()
                        for check, known in s["Checks"].items()
                    ),
                    default=(inf, "", ""),
                )
                if due > now:
                    self.changed.wait(None if due == inf else due - now)
                else:
                    self._run_out(self._services[name], check, now)

    def _run_out(self, service: dict[str, Any], check: str, now: float) -> None:
        """A TTL has: critical at first, and taken out when that has lasted. With the condition held."""
        known = service["Checks"][check]
        if known["Status"] == "critical":
            del self._services[service["ID"]]
        known["Status"], known["due"] = "critical", now + (known["remove"] or inf)
        self._move(service)


def _canonical(table: dict[str, Any]) -> dict[str, Any]:
    """Consul takes keys in any case."""
    return {_KEYS.get(key.lower(), key): value for key, value in table.items()}


def _seconds(text: str) -> float:
    """A Go duration, as far as it is used here."""
    found = re.fullmatch(r"([0-9.]+)(ms|s|m)", text)
    if not found:
        raise ValueError(f"{text!r} is no duration")
    return float(found[1]) * {"ms": 0.001, "s": 1.0, "m": 60.0}[found[2]]


class Agent:
    """One agent before a catalogue. `fault` is one of FAULTS."""

    def __init__(
        self,
        catalogue: Catalogue,
        recorder: Recorder | None = None,
        number: int = 0,
        token: str = "",
    ) -> None:
        self.catalogue, self.token, self.calls, self.fault = catalogue, token, 0, ""
        self.call_times: list[float] = []
        self._recorder, self._number = recorder or Recorder(None), number
        self._frozen: dict[str, tuple[list[dict[str, Any]], int]] = {}
        self._since = 0.0
        self._encoded: tuple[Any, bytes] = (None, b"")  # the last whole list sent, by service and index
        self._stop = threading.Event()
        self._rng = random.Random(number)
        self._server = HttpServer("127.0.0.1", 0, self._handle, ServerLimits())
        self.address = self._server.address
        self._server.start()

    def close(self) -> None:
        self._stop.set()
        with self.catalogue.changed:
            self.catalogue.changed.notify_all()
        self._server.stop(5.0)

    def set_fault(self, fault: str) -> None:
        """From now on; calls that wait for a change meet it too. Raises ValueError."""
        if fault not in FAULTS:
            raise ValueError(f"{fault!r} is not one of {', '.join(FAULTS)}")
        with self.catalogue.changed:
            names = list(self.catalogue._moved)
            self._frozen = {n: (self.catalogue.entries(n), self.catalogue.index_of(n)) for n in names}
            self.fault, self._since = fault, time.monotonic()
            self.catalogue.changed.notify_all()

    def _handle(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        target, _, text = request.target.partition("?")
        query = {key: values[0] for key, values in parse_qs(text, keep_blank_values=True).items()}
        words = [unquote(word) for word in target.strip("/").split("/")]
        if words == ["control"]:
            self.set_fault(json.loads(body)["fault"])
            return plain(200, "")
        self.calls += 1
        self.call_times.append(time.monotonic())
        self._recorder.put("asked", agent=self._number, peer=client.peer, target=request.target)
        if self.fault == "hang":
            self._stop.wait(300.0)
        if self.fault == "late":
            self._stop.wait(1.0)
        if self.fault in ("500", "429"):
            return plain(
                int(self.fault), "rpc error", fields=(("Retry-After", "1"),) if self.fault == "429" else ()
            )
        if self.token and request.headers.get("x-consul-token") != self.token:
            return plain(403, "Permission denied: token with AccessorID lacks permission")
        try:
            return self._route(request.method, words, query, body, client)
        except (ValueError, KeyError, TypeError) as error:
            return plain(400, f"bad request: {error!r}")

    def _route(
        self, method: str, words: list[str], query: dict[str, str], body: bytes, client: Exchange
    ) -> Reply:
        match [method, *words]:
            case ["GET", "v1", "health", "service", name]:
                return self._health(name, query, client)
            case ["GET", "v1", "catalog", "service", name]:
                with self.catalogue.changed:
                    found = [
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
                return self._json(found, index)
            case ["GET", "v1", "catalog", "datacenters"]:
                return self._json(list(self.catalogue.datacenters), 1)
            case ["PUT", "v1", "agent", "service", "register"]:
                service = _canonical(json.loads(body))
                asked = [service["Check"]] if service.get("Check") else service.get("Checks") or []
                service = {**service, "Check": None, "Checks": [_canonical(check) for check in asked]}
                self.catalogue.register({**service, "ID": service.get("ID") or service["Name"]})
                return plain(200, "")
            case ["PUT", "v1", "agent", "service", "deregister", name]:
                return plain(200, "") if self.catalogue.deregister(name) else plain(404, "unknown service")
            case ["PUT", "v1", "agent", "service", "maintenance", name]:
                status = "critical" if query["enable"] == "true" else None
                known = self.catalogue.check(name, f"_service_maintenance:{name}", status)
                return plain(200, "") if known else plain(404, "unknown service")
            case ["PUT", "v1", "agent", "check", verb, check]:
                status = json.loads(body)["Status"] if verb == "update" else _STATUSES[verb]
                name = check.removeprefix("service:")
                if not self.catalogue.has_check(name, check):
                    return plain(404, f'Unknown check ID "{check}"')
                self.catalogue.check(name, check, status)
                return plain(200, "")
        return plain(404, "no such endpoint")

    def _health(self, name: str, query: dict[str, str], client: Exchange) -> Reply:
        """Blocks while the index is not past the one asked from; an index that is lower answers at once."""
        dc = query.get("dc", self.catalogue.datacenters[0])
        if dc not in self.catalogue.datacenters:
            return plain(500, "No path to datacenter")
        asked, wait = (
            int(query.get("index", "0")),
            _seconds(query.get("wait", "300s")) if query.get("index") else 0.0,
        )
        until = time.monotonic() + min(wait * (1 + self._rng.random() / 16), 600.0)
        behind = self.fault in ("stale", "lag")
        if behind and self.fault == "stale" and "consistent" in query:
            return plain(500, "No cluster leader")
        behind = behind and "consistent" not in query
        with self.catalogue.changed:
            fault = self.fault
            while asked and not self._stop.is_set() and self.fault == fault and fault in ("", "stale", "lag"):
                index = self._frozen.get(name, ([], 1))[1] if behind else self.catalogue.index_of(name)
                if index != asked and not (behind and index < asked):
                    break
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.catalogue.changed.wait(left)
            found, index = self.catalogue.entries(name), self.catalogue.index_of(name)
            if behind:
                found, index = self._frozen.get(name, ([], 1))
        if self.fault == "hang":
            self._stop.wait(300.0)
        if self.fault in ("500", "429"):
            return plain(int(self.fault), "rpc error")
        if self.fault == "empty":
            found = []
        found = [entry for entry in found if _wanted(entry, query)]
        if self.fault == "garbage":
            return Reply(200, [("Content-Type", "application/json"), ("X-Consul-Index", "7")], b'{"what": 1}')
        if self.fault == "half":
            return Reply(200, [("Content-Type", "application/json")], json.dumps(found).encode()[:-9])
        if self.fault not in ("empty", "cut"):  # what is told whole
            self._recorder.put("told", agent=self._number, peer=client.peer, index=index, service=name)
        whole = self.fault == "" and not {"passing", "filter"} & query.keys()
        key, encoded = self._encoded
        if whole and key == (name, index):
            return self._json(found, index, encoded)
        reply = self._json(found, index)
        if whole:
            self._encoded = (name, index), reply.body
        if self.fault == "cut":
            data = http1.response(200, reply.fields, reply.body)
            client.send_raw(data[: len(data) * 2 // 3])
            return reply._replace(until=0.0)
        return reply

    def _json(self, body: Any, index: int, encoded: bytes | None = None) -> Reply:
        leader = "false" if self.fault in ("no_leader", "stale") else "true"
        behind = (time.monotonic() - self._since) * 1000 if self.fault == "stale" else 0.0
        fields = [
            ("Content-Type", "application/json"),
            ("X-Consul-Index", str(index)),
            ("X-Consul-KnownLeader", leader),
            ("X-Consul-LastContact", str(int(behind))),
        ]
        return Reply(200, fields, json.dumps(body).encode() if encoded is None else encoded)


def _wanted(entry: dict[str, Any], query: dict[str, str]) -> bool:
    if "passing" in query and any(check["Status"] != "passing" for check in entry["Checks"]):
        return False
    if "filter" not in query:
        return True
    found = _FILTER.fullmatch(query["filter"])
    if not found:
        raise ValueError(f"filter {query['filter']!r}: only Service.Meta.KEY == \"VALUE\" is known here")
    return bool(entry["Service"]["Meta"].get(found[1]) == found[2])


def main() -> int:
    orders = json.loads(Path(sys.argv[1]).read_text())
    threading.stack_size(256 * 1024)
    recorder = Recorder(Path(orders["records"]) if orders.get("records") else None)
    catalogue = Catalogue(tuple(orders.get("datacenters", ["dc1"])), recorder)
    agents = [Agent(catalogue, recorder, number) for number in range(orders["agents"])]
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
