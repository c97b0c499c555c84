"""The catalogue of the fake Consul: services, their checks with TTLs, and indexes.

The index of a service is that of its last change; an update of a check that changes nothing leaves it as it
is.
"""

from __future__ import annotations

import re
import threading
import time
from math import inf
from typing import Any

from gingervane.fake_servers.recorder import Recorder

_FIRST_INDEX = 10


class Catalogue:
    """Services by id, each with its checks and the indexes of its creation and last change.

    Handlers of blocking queries wait on `changed`, and a thread waits on it for the next TTL to expire.
    """

    def __init__(self, datacenters: tuple[str, ...] = ("dc1",), recorder: Recorder | None = None) -> None:
        self.changed = threading.Condition()
        self.datacenters = datacenters
        self.index = _FIRST_INDEX
        self._recorder = recorder or Recorder(None)
        self._services: dict[str, dict[str, Any]] = {}
        self._last_changes: dict[str, int] = {}  # by service name: index of the last change
        self._closed = False
        threading.Thread(target=self._watch_ttls, name="ttl", daemon=True).start()

    def close(self) -> None:
        """Stop the thread that watches the TTLs."""
        with self.changed:
            self._closed = True
            self.changed.notify_all()

    def register(self, service: dict[str, Any]) -> None:
        """Register a service, given in the form of the body of /v1/agent/service/register."""
        with self.changed:
            old = self._services.get(service["ID"], {})
            own = {key: value for key, value in service.items() if key not in ("Check", "Checks")}
            own |= {
                "Checks": {**old.get("Checks", {}), **_new_checks(service)},
                "CreateIndex": old.get("CreateIndex", self.index + 1),
            }
            if {**old, "ModifyIndex": 0} != {**own, "ModifyIndex": 0}:
                self._services[service["ID"]] = own
                self._change(own)

    def deregister(self, name: str) -> bool:
        """Remove a service; return whether there was one."""
        with self.changed:
            service = self._services.pop(name, None)
            if service:
                self._change(service)
        return service is not None

    def check(self, name: str, check: str, status: str | None) -> bool:
        """Set a check of a service, or remove it; return whether there is such a service."""
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
                self._change(service)
        return True

    def has_check(self, name: str, check: str) -> bool:
        """Whether a service has a check of this id."""
        with self.changed:
            return check in self._services.get(name, {}).get("Checks", {})

    def restore(self, keep: bool = True) -> None:
        """Simulate a restore from a snapshot: reset all indexes to 1; without `keep`, remove all services."""
        with self.changed:
            self.index = 1
            if not keep:
                self._services.clear()
            self._last_changes = dict.fromkeys(self._last_changes, 1)
            for service in self._services.values():
                service["CreateIndex"] = service["ModifyIndex"] = 1
            self.changed.notify_all()

    def index_of(self, name: str) -> int:
        """Return the index of a service's last change. The caller holds the condition."""
        return self._last_changes.get(name, 1)

    def entries(self, name: str) -> list[dict[str, Any]]:
        """Return entries in the form of /v1/health/service/:name. The caller holds the condition."""
        return [self._entry(service) for service in self._services.values() if service["Name"] == name]

    def snapshot(self) -> dict[str, tuple[list[dict[str, Any]], int]]:
        """Return the entries and the index of every service. The caller holds the condition."""
        return {name: (self.entries(name), self.index_of(name)) for name in list(self._last_changes)}

    def _entry(self, service: dict[str, Any]) -> dict[str, Any]:
        checks = [
            {"Node": "n", "CheckID": check, "Status": known["Status"], "ServiceID": service["ID"]}
            for check, known in service["Checks"].items()
        ]
        node = {"Node": "n", "Address": "127.0.0.1", "Datacenter": self.datacenters[0], "Meta": {}}
        own = {"Tags": [], "Meta": {}} | {key: value for key, value in service.items() if key != "Checks"}
        return {"Node": node, "Service": {**own, "Service": own["Name"]}, "Checks": checks}

    def _change(self, service: dict[str, Any]) -> None:
        """Assign a new index to a changed service and record the change. The caller holds the condition."""
        self.index += 1
        service["ModifyIndex"] = self._last_changes[service["Name"]] = self.index
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
                    self._expire(self._services[name], check, now)

    def _expire(self, service: dict[str, Any], check: str, now: float) -> None:
        """Make a check with an expired TTL critical, or remove the service if the check was critical already.

        The caller holds the condition.
        """
        known = service["Checks"][check]
        if known["Status"] == "critical":
            del self._services[service["ID"]]
        known["Status"], known["due"] = "critical", now + (known["remove"] or inf)
        self._change(service)


def _new_checks(service: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the checks of a service that is being registered, by their ids."""
    definitions = [service["Check"]] if service.get("Check") else service.get("Checks", [])
    checks = {}
    for number, check in enumerate(definitions, 1):
        ttl = seconds(check.get("TTL", "0s"))
        own_id = f"service:{service['ID']}" + (f":{number}" if len(definitions) > 1 else "")
        checks[check.get("CheckID", own_id)] = {
            "Status": check.get("Status", "critical"),
            "ttl": ttl,
            "due": time.monotonic() + ttl if ttl else inf,
            "remove": seconds(check.get("DeregisterCriticalServiceAfter", "0s")),
        }
    return checks


def seconds(text: str) -> float:
    """Parse a Go duration with a single unit (ms, s or m). Raises ValueError."""
    match = re.fullmatch(r"([0-9.]+)(ms|s|m)", text)
    if not match:
        raise ValueError(f"{text!r} is no duration")
    return float(match[1]) * {"ms": 0.001, "s": 1.0, "m": 60.0}[match[2]]
