"""Consul's health API as read by a co-ordinator: what an entry means, and when to ask again. Free of I/O.

By the public documentation (https://developer.hashicorp.com/consul/api-docs/health, .../features/blocking): a
blocking query hands back `X-Consul-Index`; the next one asks from it and waits. The index starts anew when it goes
back, is never asked as 0 again once known to be positive, and an answer that moves nothing must not become a loop.
"""

from __future__ import annotations

import random
import zlib
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from gingervane import interface as api
from gingervane.membership.view import Member

MAX_ENTRIES, MAX_TEXT_LENGTH = 10_000, 512
WAIT_JITTER_DIVISOR = 16  # Consul adds up to wait/16 to a wait


class ConsulError(ValueError):
    """An answer that cannot be used, with the place in it."""


class EntryFieldNames(NamedTuple):
    """What in an entry tells what. Meta keys; `drain_tag`: a tag that marks a drain, besides the meta key."""

    zone: str = "zone"
    cell: str = "cell"
    id: str = "gingervane-id"
    started: str = "started"
    drain: str = "drain"
    drain_tag: str = "drain"


class ConsistencyMode(Enum):
    """How fresh an answer must be: of any server, of the leader as it believes itself, or of a confirmed leader."""

    STALE = "stale"
    DEFAULT = ""
    CONSISTENT = "consistent"


def health_query_path(
    service: str, index: int, wait: float, mode: ConsistencyMode, datacenter: str = "", filter_by: str = ""
) -> str:
    """The target of a blocking query for all entries of a service, critical ones too: a drain must be seen."""
    query = {"index": str(index), "wait": f"{max(int(wait * 1000), 1)}ms"} if index else {}
    if datacenter:
        query["dc"] = datacenter
    if filter_by:
        query["filter"] = filter_by
    text = "&".join(part for part in (urlencode(query), mode.value) if part)
    return f"/v1/health/service/{quote(service, safe='')}" + (f"?{text}" if text else "")


class EntryReader:
    """Reads answers of one service. What an entry was read as is kept: one that has not changed is not read again."""

    def __init__(self, names: EntryFieldNames, zones: tuple[str, ...], cells: int, offset: float) -> None:
        """`offset` turns Unix time into the members' clock."""
        self._names, self._zones, self._cells, self._offset = names, zones, cells, offset
        self._read: dict[str, tuple[Any, Member]] = {}

    def read(self, body: Any) -> tuple[tuple[Member, ...], list[str]]:
        """Members of a decoded answer, and what was wrong with entries that are left out.

        Raises ConsulError if the answer as a whole is none: then nothing in it may be believed, least of all what
        is missing from it.
        """
        if not isinstance(body, list):
            raise ConsulError(f"answer: {type(body).__name__}, not a list")
        if len(body) > MAX_ENTRIES:
            raise ConsulError(f"answer: {len(body)} entries, over the bound of {MAX_ENTRIES}")
        members: dict[int, Member] = {}
        faults: list[str] = []
        read: dict[str, tuple[Any, Member]] = {}
        for index, entry in enumerate(body):
            try:
                name = entry["Service"]["ID"]
                known = self._read.get(name)
                if known is not None and known[0] == entry:
                    member = known[1]
                else:
                    member = _read(entry, self._names, self._zones, self._cells, self._offset)
            except (KeyError, TypeError, ValueError, IndexError) as error:
                what = f"{error.args[0]} is missing" if isinstance(error, KeyError) else str(error)
                faults.append(f"[{index}]: {what[:200]}")
                continue
            if member.id in members and members[member.id].name != member.name:
                faults.append(
                    f"[{index}]: id {member.id} of {member.name!r} is {members[member.id].name!r}'s"
                )
                continue
            members[member.id] = member
            read[name] = entry, member
        if body and not members:
            raise ConsulError(f"answer: none of {len(body)} entries makes sense; first: {faults[0]}")
        self._read = read
        return tuple(members.values()), faults


def _read(
    entry: dict[str, Any], names: EntryFieldNames, zones: tuple[str, ...], cells: int, offset: float
) -> Member:
    service, node = entry["Service"], entry["Node"]
    meta = {**(node.get("Meta") or {}), **(service.get("Meta") or {})}
    name = _text(service["ID"], "Service.ID")
    host = _text(service.get("Address") or node["Address"], "Service.Address")
    port = service["Port"]
    if type(port) is not int or not 0 < port < 65536:
        raise ValueError(f"Service.Port: {port!r}")
    cell = int(_text(meta[names.cell], f"Meta.{names.cell}"))
    if not 0 <= cell < cells:
        raise ValueError(f"Meta.{names.cell}: {cell} is not from 0 to {cells - 1}")
    zone = meta.get(names.zone)
    if zone not in zones:
        raise ValueError(f"Meta.{names.zone}: {zone!r} is not one of {', '.join(zones)}")
    number = int(meta[names.id]) if names.id in meta else zlib.crc32(name.encode())
    if not 0 <= number < 1 << 63:
        raise ValueError(f"Meta.{names.id}: {number}")
    started = float(meta[names.started]) + offset if names.started in meta else None
    if started is not None and not isfinite(started):
        raise ValueError(f"Meta.{names.started}: {meta[names.started]!r}")
    created = service.get("CreateIndex", 0)
    if type(created) is not int or created < 0:
        raise ValueError(f"Service.CreateIndex: {created!r}")
    state = _state(entry, meta, names)
    return Member(number, name, (host, port), zones.index(zone), cell, state, started, created)


def _text(value: Any, where: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(f"{where}: {value!r:.60} is no text of 1 to {MAX_TEXT_LENGTH} characters")
    return value


def _state(entry: dict[str, Any], meta: dict[str, str], names: EntryFieldNames) -> api.ReplicaState:
    """A drain is a mark in meta or tags, or maintenance; any critical check is gone. A warning is still ready."""
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
    """The answer of /v1/catalog/datacenters. Raises ConsulError."""
    if not isinstance(body, list) or len(body) > 1000:
        raise ConsulError("datacenters: not a list of at most 1000")
    return tuple(_text(name, f"datacenters[{index}]") for index, name in enumerate(body))


class Backoff(NamedTuple):
    """Seconds. `least` between two calls of one watcher, `first` after a failure, doubling to `most`."""

    min_interval: float = 0.2
    initial_delay: float = 0.5
    max_delay: float = 15.0
    blocking_wait: float = 30.0  # of a blocking query

    @property
    def max_silence(self) -> float:
        """Longest that an agent which is well says nothing: the wait, Consul's jitter on it, and the way."""
        return self.blocking_wait * (1 + 1 / WAIT_JITTER_DIVISOR) + 2.0


def assign_agents(agents: int, watchers: int, rng: random.Random) -> list[list[int]]:
    """Agents dealt out to watchers, so that no two ask the same one: an agent that hangs silences one of them only.

    In an order of its own for each co-ordinator, which spreads them over the agents. At most one watcher an agent.
    """
    order = rng.sample(range(agents), agents)
    return [order[first::watchers] for first in range(min(watchers, agents))]


class BlockingQueryState:
    """When one watcher asks, how, from which index and of which of its agents."""

    def __init__(self, agents: int, pause: Backoff, rng: random.Random) -> None:
        self._agent_count, self._backoff, self._rng = agents, pause, rng
        self.agent, self.index = 0, 0
        self.consistent = (
            False  # the next call is a consistent one, at once: the last answer was hard to believe
        )
        self._failures = 0
        self._highest_index = 0  # highest index seen, unless the leader has since vouched for a lower one
        self._requested_at = -1e18
        self._unchanged_answers = (
            0  # answers in a row that moved nothing though they came before the wait was over
        )
        self._entry_count = 0
        self.index_resets = 0

    @property
    def wait(self) -> float:
        return self._backoff.blocking_wait

    @property
    def is_blocking(self) -> bool:
        """Whether the next call waits for a change."""
        return self.index > 0 and not self.consistent

    @property
    def response_timeout(self) -> float:
        """Seconds after which the next call has hung."""
        return self._backoff.max_silence if self.is_blocking else self._backoff.max_delay

    def record_request(self, now: float) -> None:
        self._requested_at = now

    def record_success(self, index: int, leader: bool, now: float, named: int = 0) -> float:
        """An answer came with `index` and `named` entries; seconds until the next call. `leader`: the agent knows
        one."""
        self._failures = 0
        early = now - self._requested_at < self._backoff.blocking_wait / 2
        was_sure = self.consistent
        back, short = (
            index < self._highest_index and not was_sure,
            named < self._entry_count / 2 and not was_sure,
        )
        self._entry_count, self._highest_index = named, index if was_sure else max(index, self._highest_index)
        self.consistent = back or short  # ask the leader before anything is made of it
        if back:  # a lagging agent, one restored from a snapshot, or another cluster: begin anew
            self.index, self._unchanged_answers = 0, 0
            self.index_resets += 1
            return self._jittered(self._backoff.initial_delay)
        # An index below 1 cannot be asked from: it would not block.
        moved, self.index = index > self.index, max(index, 1)
        if self.consistent:
            return self._jittered(self._backoff.min_interval)
        self._unchanged_answers = 0 if moved or was_sure or not early else self._unchanged_answers + 1
        if not leader:
            return self._jittered(self._backoff.initial_delay)
        if self._unchanged_answers:
            return self._jittered(
                min(
                    self._backoff.min_interval * 2 ** min(self._unchanged_answers, 16),
                    self._backoff.max_delay,
                )
            )
        return max(self._backoff.min_interval - (now - self._requested_at), 0.0)

    def record_failure(self, now: float, retry_after: float = 0.0) -> float:
        """A call failed or hung; seconds until the next one, which another agent gets. Jittered over the whole span,
        so that many co-ordinators that lost a catalogue at once do not come back to it at once."""
        self._failures += 1
        self.agent = (self.agent + 1) % self._agent_count
        # Another agent may lag behind this one's index: what it has now must be seen before a change is waited for.
        # A consistent call that fails proves nothing, and is not tried over and over: time will tell.
        self._highest_index = 0 if self.consistent else self._highest_index
        self.index, self.consistent = 0 if self._agent_count > 1 else self.index, False
        span = min(self._backoff.initial_delay * 2 ** min(self._failures - 1, 16), self._backoff.max_delay)
        return max(
            self._jittered(span), min(retry_after, self._backoff.max_delay), self._backoff.min_interval
        )

    def _jittered(self, span: float) -> float:
        return max(span * self._rng.uniform(0.5, 1.5), self._backoff.min_interval)
