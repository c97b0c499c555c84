"""Reads discovery's endpoint lists and changes into membership updates for the driver.

Entries that cannot be read are skipped with a line in the log; what stands stays in force.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import ReplicaStartTimes
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.node.config import Address, parse_address
from gingervane.telemetry.node_telemetry import Log

_STATES = {
    "SERVING": api.ReplicaState.READY,
    "DRAINING": api.ReplicaState.DRAINING,
    "DELETED": api.ReplicaState.GONE,
}
_MAX_NAMES = 8192  # of replicas, cached for logs; the oldest go first
_MAX_LOGGED_ENTRY = 200  # characters of an entry that is skipped


class EndpointListError(Exception):
    """Something that discovery sent and that cannot be used."""


class ListedReplica(NamedTuple):
    """One entry of a list. `address`: None for a replica that is deleted."""

    replica: api.Replica
    address: Address | None


class _EndpointList(NamedTuple):
    """A list before its entries are read. `complete`: it is no delta."""

    version: int
    complete: bool
    entries: list[Any]


def replica_id(host: str) -> int:
    """Return the ID by which all co-ordinators know a replica: it follows from its host's name alone."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


class EndpointListReader:
    """Turns discovery's lists into membership updates, and remembers the version of the newest."""

    def __init__(self, zones: tuple[str, ...], start_times: ReplicaStartTimes, log: Log) -> None:
        """`zones`: the names of all zones, by their numbers."""
        self._zones = zones
        self._start_times = start_times
        self._log = log
        self._hosts: dict[int, str] = {}
        self.version = 0

    def record_activity(self) -> None:
        """Note that a line has come, whatever is in it: up to now nothing else has changed."""
        self._start_times.message_received()

    def host_name(self, replica: int) -> str:
        """Return the name of a replica for logs; its ID if it is long gone. Any thread."""
        return self._hosts.get(replica, str(replica))

    def read(self, data: Any, cached: bool = False, since: int | None = None) -> EndpointsUpdated | None:
        """Read a list or its changes; None for one that is older than the newest. Raises EndpointListError.

        `since`: of the first that a call brings, the version that the call asked from. A complete list of an older
        version than that shows that discovery counts anew; else it is an answer that another call has overtaken,
        and would bring back replicas that drain. A first one that brings nothing new is an empty update all the
        same, which shows that the call has succeeded.
        """
        endpoints = _parse_list(data)
        if self._is_outdated(endpoints, since):
            return None if since is None else _update(api.MembershipUpdateKind.DELTA, {})
        self.version = endpoints.version
        listed = self._with_monotonic_starts(self._parse_entries(endpoints), cached)
        self._log_list(endpoints, listed, cached)
        if cached:
            kind = api.MembershipUpdateKind.CACHED
        else:
            kind = api.MembershipUpdateKind.FULL if endpoints.complete else api.MembershipUpdateKind.DELTA
        return _update(kind, listed)

    def _is_outdated(self, endpoints: _EndpointList, since: int | None) -> bool:
        if endpoints.version < self.version:
            counts_anew = since is not None and endpoints.version < since
            return not (endpoints.complete and counts_anew)
        return endpoints.version == self.version and not endpoints.complete

    def _parse_entries(self, endpoints: _EndpointList) -> dict[int, ListedReplica]:
        """Read the entries by replica ID.

        Of a replica that stands there twice the last entry counts, alone. Guards against one that is gone and back
        in the same change: by the first entry its address was dropped, by the second it was sent to.
        """
        listed: dict[int, ListedReplica] = {}
        names: dict[int, str] = {}
        for entry in endpoints.entries:
            try:
                parsed = self._parse_entry(entry)
            except (TypeError, KeyError, ValueError) as error:
                detail = f"{type(error).__name__}: {error}"
                self._log("endpoint_invalid", error=detail, entry=str(entry)[:_MAX_LOGGED_ENTRY])
                continue
            listed[parsed.replica.id] = parsed
            names[parsed.replica.id] = str(entry["host"])
        self._remember_names(names, endpoints.complete)
        return listed

    def _log_list(self, endpoints: _EndpointList, listed: dict[int, ListedReplica], cached: bool) -> None:
        for replica, _ in listed.values():
            if not endpoints.complete or replica.state is not api.ReplicaState.READY:
                self._log(
                    "replica_updated",
                    replica=self.host_name(replica.id),
                    state=replica.state,
                    version=endpoints.version,
                    started_at=replica.started_at,
                )
        self._log(
            "endpoints_updated",
            version=endpoints.version,
            whole=endpoints.complete,
            cached=cached,
            replicas=len(listed),
        )

    def _with_monotonic_starts(
        self, listed: dict[int, ListedReplica], cached: bool
    ) -> dict[int, ListedReplica]:
        """Return the same entries with starts on the monotonic clock."""
        unix_starts = {n: entry.replica.started_at for n, entry in listed.items() if entry.replica.started_at}
        corrections = self._start_times.corrections
        starts = self._start_times.place(unix_starts, cached)
        if self._start_times.corrections > corrections:
            self._log("start_times_corrected", corrections=self._start_times.corrections)
        moved = {
            n: ListedReplica(listed[n].replica._replace(started_at=start), listed[n].address)
            for n, start in starts.items()
        }
        return listed | moved

    def _remember_names(self, names: dict[int, str], complete: bool) -> None:
        """Cache names for the log; those that a complete list does not hold are dropped, which bounds the memory."""
        if not complete:
            names = self._hosts | names
            while len(names) > _MAX_NAMES:
                del names[next(iter(names))]
        self._hosts = names

    def _parse_entry(self, entry: Any) -> ListedReplica:
        if not isinstance(entry, dict):
            raise TypeError("no object")
        if entry.get("health") == "DELETED":  # its name says all: nothing else of it may keep it listed
            deleted = api.Replica(replica_id(str(entry["host"])), 0, -1, 0.0, api.ReplicaState.GONE, 0.0)
            return ListedReplica(deleted, None)
        address = parse_address(entry["dial"], "dial")
        born_ms = float(entry.get("born_ms", 0))
        zone = self._zones.index(entry["site"]) if entry.get("site") in self._zones else -1
        replica = api.Replica(
            id=replica_id(str(entry["host"])),
            cell=int(entry["block"]),
            zone=zone,
            weight=float(entry.get("share", 1.0)),
            state=_STATES[entry["health"]],
            started_at=born_ms / 1000,  # Unix time, 0 for long ago; `_with_monotonic_starts` converts it
        )
        return ListedReplica(replica, address)


def _parse_list(data: Any) -> _EndpointList:
    try:
        endpoints = _EndpointList(int(data["seq"]), bool(data["whole"]), data["hosts"])
    except (TypeError, KeyError, ValueError):
        raise EndpointListError("discovery: not a list with seq, whole and hosts") from None
    if not isinstance(endpoints.entries, list):
        raise EndpointListError("discovery: hosts is no list")
    return endpoints


def _update(kind: api.MembershipUpdateKind, listed: dict[int, ListedReplica]) -> EndpointsUpdated:
    replicas = tuple(entry.replica for entry in listed.values())
    addresses = {number: entry.address for number, entry in listed.items() if entry.address}
    return EndpointsUpdated(api.MembershipChanged(kind, replicas), addresses)
