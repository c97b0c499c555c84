"""Consul's health API: builds queries for a service and parses the entries of the answers. Free of I/O.

Follows the public documentation: https://developer.hashicorp.com/consul/api-docs/health. `consul_polling` decides
when to send a query.
"""

from __future__ import annotations

import zlib
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from gingervane import interface as api
from gingervane.membership.view import Member

MAX_ENTRIES = 10_000  # entries in one answer
MAX_TEXT_LENGTH = 512  # characters of a name or value
_MAX_FAULT_LENGTH = 200  # characters of the error message for one entry
_MAX_DATACENTERS = 1000  # datacenters in one answer


class ConsulError(ValueError):
    """An answer that cannot be used; the message names the place in it."""


class EntryFieldNames(NamedTuple):
    """Names of an entry's meta keys. `drain_tag`: a service tag that marks a drain, as the meta key `drain` does."""

    zone: str = "zone"
    cell: str = "cell"
    id: str = "gingervane-id"
    started: str = "started"
    drain: str = "drain"
    drain_tag: str = "drain"


class ConsistencyMode(Enum):
    """Consul's consistency modes: any server answers, the leader does, or a leader that a quorum has confirmed."""

    STALE = "stale"
    DEFAULT = ""
    CONSISTENT = "consistent"


def health_query_path(
    service: str, index: int, wait: float, mode: ConsistencyMode, datacenter: str = "", filter_by: str = ""
) -> str:
    """Return the request target of a query for all entries of a service; it blocks if `index` is positive.

    `wait`: longest block, in seconds. Critical entries are included, as an entry that drains may be critical.
    """
    query = {"index": str(index), "wait": f"{max(int(wait * 1000), 1)}ms"} if index else {}
    if datacenter:
        query["dc"] = datacenter
    if filter_by:
        query["filter"] = filter_by
    text = "&".join(part for part in (urlencode(query), mode.value) if part)
    return f"/v1/health/service/{quote(service, safe='')}" + (f"?{text}" if text else "")


class EntryReader:
    """Parses answers for one service. Caches the members, so that an unchanged entry is not parsed again."""

    def __init__(self, names: EntryFieldNames, zones: tuple[str, ...], cells: int, offset: float) -> None:
        """`offset`: seconds to add to Unix time to get the members' clock."""
        self._names = names
        self._zones = zones
        self._cells = cells
        self._offset = offset
        self._cache: dict[str, tuple[Any, Member]] = {}  # entry and member by service ID

    def read(self, body: Any) -> tuple[tuple[Member, ...], list[str]]:
        """Return the members of a decoded answer, and an error message for each entry that was skipped.

        Raises ConsulError if the answer as a whole is malformed. It must then be ignored; above all, servers that are
        missing from it must not count as removed.
        """
        if not isinstance(body, list):
            raise ConsulError(f"answer: {type(body).__name__}, not a list")
        if len(body) > MAX_ENTRIES:
            raise ConsulError(f"answer: {len(body)} entries, over the limit of {MAX_ENTRIES}")
        members: dict[int, Member] = {}
        faults: list[str] = []
        cache: dict[str, tuple[Any, Member]] = {}
        for index, entry in enumerate(body):
            try:
                service_id = entry["Service"]["ID"]
                member = self._member(service_id, entry)
            except (KeyError, TypeError, ValueError, IndexError) as error:
                faults.append(f"[{index}]: {_describe(error)}")
                continue
            if member.id in members and members[member.id].name != member.name:
                faults.append(
                    f"[{index}]: id {member.id} of {member.name!r} belongs to {members[member.id].name!r} already"
                )
                continue
            members[member.id] = member
            cache[service_id] = entry, member
        if body and not members:
            raise ConsulError(f"answer: none of {len(body)} entries is valid; first fault: {faults[0]}")
        self._cache = cache
        return tuple(members.values()), faults

    def _member(self, service_id: str, entry: Any) -> Member:
        cached = self._cache.get(service_id)
        if cached is not None and cached[0] == entry:
            return cached[1]
        return _parse_entry(entry, self._names, self._zones, self._cells, self._offset)


def _describe(error: Exception) -> str:
    detail = f"{error.args[0]} is missing" if isinstance(error, KeyError) else str(error)
    return detail[:_MAX_FAULT_LENGTH]


def _parse_entry(
    entry: dict[str, Any], names: EntryFieldNames, zones: tuple[str, ...], cells: int, offset: float
) -> Member:
    service = entry["Service"]
    node = entry["Node"]
    if not isinstance(node, dict):
        raise TypeError("Node: not an object")
    meta = {**(node.get("Meta") or {}), **(service.get("Meta") or {})}
    name = _checked_text(service["ID"], "Service.ID")
    host = _checked_text(service.get("Address") or node["Address"], "Service.Address")
    port = service["Port"]
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError(f"Service.Port: {port!r}")
    cell = int(_checked_text(meta[names.cell], f"Meta.{names.cell}"))
    if not 0 <= cell < cells:
        raise ValueError(f"Meta.{names.cell}: {cell} is not from 0 to {cells - 1}")
    zone = meta.get(names.zone)
    if zone not in zones:
        raise ValueError(f"Meta.{names.zone}: {zone!r} is not one of {', '.join(zones)}")
    member_id = int(meta[names.id]) if names.id in meta else zlib.crc32(name.encode())
    if not 0 <= member_id < 1 << 63:
        raise ValueError(f"Meta.{names.id}: {member_id}")
    started = float(meta[names.started]) + offset if names.started in meta else None
    if started is not None and not isfinite(started):
        raise ValueError(f"Meta.{names.started}: {meta[names.started]!r}")
    created = service.get("CreateIndex", 0)
    if type(created) is not int or created < 0:
        raise ValueError(f"Service.CreateIndex: {created!r}")
    state = _replica_state(entry, meta, names)
    return Member(member_id, name, (host, port), zones.index(zone), cell, state, started, created)


def _checked_text(value: Any, where: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(f"{where}: {value!r:.60} is not a string of 1 to {MAX_TEXT_LENGTH} characters")
    return value


def _replica_state(entry: dict[str, Any], meta: dict[str, str], names: EntryFieldNames) -> api.ReplicaState:
    """Return draining for an entry with a drain mark in meta or tags, or in maintenance; gone if a check is critical.

    An entry whose checks warn is ready.
    """
    checks = entry.get("Checks") or []
    statuses = {check["Status"] for check in checks}
    if unknown := statuses - {"passing", "warning", "critical", "maintenance"}:
        raise ValueError(f"Checks.Status: {min(unknown)!r}")
    maintenance = any(
        str(check.get("CheckID", "")).startswith(("_service_maintenance", "_node_maintenance"))
        for check in checks
    )
    marked = str(meta.get(names.drain, "")).lower() in ("true", "1", "yes")
    if (
        maintenance
        or "maintenance" in statuses
        or marked
        or names.drain_tag in (entry["Service"].get("Tags") or [])
    ):
        return api.ReplicaState.DRAINING
    return api.ReplicaState.GONE if "critical" in statuses else api.ReplicaState.READY


def read_datacenters(body: Any) -> tuple[str, ...]:
    """Parse the answer of /v1/catalog/datacenters. Raises ConsulError."""
    if not isinstance(body, list) or len(body) > _MAX_DATACENTERS:
        raise ConsulError(f"datacenters: not a list of at most {_MAX_DATACENTERS}")
    return tuple(_checked_text(name, f"datacenters[{index}]") for index, name in enumerate(body))
