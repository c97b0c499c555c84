"""The catalogue behind the fake Consul's agents: services, their checks with TTLs, and an index of each change.

An index is that of the service's last change; a check's update that changes nothing moves none.
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
    """Services by id, each with the indexes of its creation and its last change, and its checks.

    Handlers of blocking queries wait on `changed`; a thread waits on it for the next TTL.
    """

    def __init__(self, datacenters: tuple[str, ...] = ("dc1",), recorder: Recorder | None = None) -> None:
        self.changed = threading.Condition()
        self.datacenters = datacenters
        self.index = _FIRST_INDEX
        self._recorder = recorder or Recorder(None)
        self._services: dict[str, dict[str, Any]] = {}
        self._last_changes: dict[str, int] = {}  # by name of a service: index of its last change
        self._closed = False
        threading.Thread(target=self._watch_ttls, name="ttl", daemon=True).start()

    def close(self) -> None:
        """End the thread that watches the TTLs."""
        with self.changed:
            self._closed = True
            self.changed.notify_all()

    def register(self, service: dict[str, Any]) -> None:
        """Register a service, as the body of /v1/agent/service/register has it."""
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
        """Do as a restore from a snapshot does: every index is lower and new; or nothing is left at all."""
        with self.changed:
            self.index = 1
            if not keep:
                self._services.clear()
            self._last_changes = dict.fromkeys(self._last_changes, 1)
            for service in self._services.values():
                service["CreateIndex"] = service["ModifyIndex"] = 1
            self.changed.notify_all()

    def index_of(self, name: str) -> int:
        """Give the index of a service's last change. Called with the condition held."""
        return self._last_changes.get(name, 1)

    def entries(self, name: str) -> list[dict[str, Any]]:
        """Give entries as /v1/health/service/:name has them. Called with the condition held."""
        return [self._entry(service) for service in self._services.values() if service["Name"] == name]

    def snapshot(self) -> dict[str, tuple[list[dict[str, Any]], int]]:
        """Give the entries and the index of every service. Called with the condition held."""
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
        """Record that a service has changed. Called with the condition held."""
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
        """Handle an expired TTL: critical at first, removed when that has lasted. Called with the condition held."""
        known = service["Checks"][check]
        if known["Status"] == "critical":
            del self._services[service["ID"]]
        known["Status"], known["due"] = "critical", now + (known["remove"] or inf)
        self._change(service)


def _new_checks(service: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Checks of a service that is being registered, by their ids."""
    given = [service["Check"]] if service.get("Check") else service.get("Checks", [])
    checks = {}
    for number, check in enumerate(given, 1):
        ttl = seconds(check.get("TTL", "0s"))
        own_id = f"service:{service['ID']}" + (f":{number}" if len(given) > 1 else "")
        checks[check.get("CheckID", own_id)] = {
            "Status": check.get("Status", "critical"),
            "ttl": ttl,
            "due": time.monotonic() + ttl if ttl else inf,
            "remove": seconds(check.get("DeregisterCriticalServiceAfter", "0s")),
        }
    return checks


def seconds(text: str) -> float:
    """Read a Go duration of one unit. Raises ValueError."""
    found = re.fullmatch(r"([0-9.]+)(ms|s|m)", text)
    if not found:
        raise ValueError(f"{text!r} is no duration")
    return float(found[1]) * {"ms": 0.001, "s": 1.0, "m": 60.0}[found[2]]
