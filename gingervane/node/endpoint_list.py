"""Parses discovery's endpoint lists and changes into membership updates for the driver.

Invalid entries are skipped with a line in the log; the rest of the list is applied.
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
_MAX_NAMES = 8192  # names of replicas cached for the log; the oldest are dropped first
_MAX_LOGGED_ENTRY = 200  # characters of a skipped entry


class EndpointListError(Exception):
    """Discovery sent an unusable answer or list."""


class ListedReplica(NamedTuple):
    """One entry of a list. `address`: None for a deleted replica."""

    replica: api.Replica
    address: Address | None


class _EndpointList(NamedTuple):
    """A list with its entries not yet parsed. `complete`: a complete list rather than a delta."""

    version: int
    complete: bool
    entries: list[Any]


def replica_id(host: str) -> int:
    """Return a replica's ID, the same on all co-ordinators because it is a hash of the host name alone."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


class EndpointListReader:
    """Parses discovery's lists into membership updates, and holds the version of the newest list."""

    def __init__(self, zones: tuple[str, ...], start_times: ReplicaStartTimes, log: Log) -> None:
        """`zones`: the names of all zones, in the order of their indices."""
        self._zones = zones
        self._start_times = start_times
        self._log = log
        self._hosts: dict[int, str] = {}
        self.version = 0

    def record_activity(self) -> None:
        """Record that a line was received, which confirms that there are no other changes up to now."""
        self._start_times.message_received()

    def host_name(self, replica: int) -> str:
        """Return a replica's name for the log, or its ID if the name is no longer cached. Any thread."""
        return self._hosts.get(replica, str(replica))

    def read(self, data: Any, cached: bool = False, since: int | None = None) -> EndpointsUpdated | None:
        """Read a list or a change; return None if it is stale. Raises EndpointListError.

        `since`: for the first list of a call, the version that the call requested changes from; else None. A complete
        list older than `since` shows that discovery has restarted its version numbers. Any other older list has been
        superseded through another call, and applying it would restore replicas that drain. A stale first list gives
        an empty update, which shows that the call succeeded.
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
            versions_restarted = since is not None and endpoints.version < since
            return not (endpoints.complete and versions_restarted)
        return endpoints.version == self.version and not endpoints.complete

    def _parse_entries(self, endpoints: _EndpointList) -> dict[int, ListedReplica]:
        """Parse the entries; return them by replica ID.

        If a replica is listed twice, only the last entry counts. Otherwise, for a replica that is deleted and listed
        again in the same change, the first entry would drop the address that the second one needs.
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
        """Return the entries with start times converted to the monotonic clock."""
        unix_starts = {n: entry.replica.started_at for n, entry in listed.items() if entry.replica.started_at}
        corrections = self._start_times.corrections
        starts = self._start_times.place(unix_starts, cached)
        if self._start_times.corrections > corrections:
            self._log("start_times_corrected", corrections=self._start_times.corrections)
        converted = {
            n: ListedReplica(listed[n].replica._replace(started_at=start), listed[n].address)
            for n, start in starts.items()
        }
        return listed | converted

    def _remember_names(self, names: dict[int, str], complete: bool) -> None:
        """Cache names for the log. A complete list drops all others, and `_MAX_NAMES` bounds what changes add."""
        if not complete:
            names = self._hosts | names
            while len(names) > _MAX_NAMES:
                del names[next(iter(names))]
        self._hosts = names

    def _parse_entry(self, entry: Any) -> ListedReplica:
        if not isinstance(entry, dict):
            raise TypeError("not an object")
        if entry.get("health") == "DELETED":  # an invalid value of another field must not keep it listed
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
            # Unix time, 0 for a start long ago; `_with_monotonic_starts` converts it.
            started_at=born_ms / 1000,
        )
        return ListedReplica(replica, address)


def _parse_list(data: Any) -> _EndpointList:
    try:
        endpoints = _EndpointList(int(data["seq"]), bool(data["whole"]), data["hosts"])
    except (TypeError, KeyError, ValueError):
        raise EndpointListError("discovery: not a list with seq, whole and hosts") from None
    if not isinstance(endpoints.entries, list):
        raise EndpointListError("discovery: hosts is not a list")
    return endpoints


def _update(kind: api.MembershipUpdateKind, listed: dict[int, ListedReplica]) -> EndpointsUpdated:
    replicas = tuple(entry.replica for entry in listed.values())
    addresses = {number: entry.address for number, entry in listed.items() if entry.address}
    return EndpointsUpdated(api.MembershipChanged(kind, replicas), addresses)
