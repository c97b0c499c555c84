"""The tables of the daemon's settings file: keys, limits and defaults. Field names are the keys of the file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from gingervane import interface as api

Seconds = Annotated[float, Field(gt=0, le=86400)]
Share = Annotated[float, Field(gt=0, le=1)]
Count = Annotated[int, Field(gt=0, le=10_000_000)]
Bytes = Annotated[int, Field(ge=1024, le=1 << 34)]
Name = Annotated[str, Field(min_length=1, max_length=200)]


class Table(BaseModel):
    """A table of a settings file. Unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Listen(Table):
    """The address to serve clients on, and limits on their connections and requests.

    `max_request_memory`: bytes of all requests that are not complete, and of replies that clients have not taken.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, Field(ge=0, le=65535)] = 0
    max_connections: Count = 2000
    idle_timeout: Seconds = 60.0
    head_timeout: Seconds = 5.0
    body_timeout: Seconds = 10.0
    write_timeout: Seconds = 10.0
    max_head_bytes: Bytes = 16384
    max_body_bytes: Bytes = 4 << 20
    max_message_bytes: Bytes = 16 << 20
    max_queries: Count = 64
    max_matchers: Count = 64
    stack_bytes: Annotated[int, Field(ge=131072, le=8 << 20)] = 262144
    max_request_memory: Bytes = 256 << 20

    @model_validator(mode="after")
    def _check_memory(self) -> Listen:
        least = 4 * (self.max_head_bytes + self.max_body_bytes)  # large requests may take a third of it
        if self.max_request_memory < least:
            raise ValueError(f"max_request_memory: {self.max_request_memory} is under {least}, four requests")
        return self


class Shards(Table):
    """The shard label and its values. Shard i is in cell i mod `cells`; the list file states who holds a cell.

    `width`: replicas of a shard. `keep_label`: whether answers include the shard label.
    """

    label: Name = "tile"
    names: Annotated[tuple[Name, ...], Field(min_length=1, max_length=100_000)]
    cells: Count
    width: Count = 3
    keep_label: bool = True

    @model_validator(mode="after")
    def _check_consistency(self) -> Shards:
        if len(set(self.names)) != len(self.names):
            raise ValueError("names: duplicate shard")
        if self.width > self.cells:
            raise ValueError(f"width: {self.width} is more than the {self.cells} cells")
        return self


class Fleet(Table):
    """The group of co-ordinators. `coordinators`: their number. `zones`: all zones. `zone`: this co-ordinator's."""

    coordinators: Count = 1
    zones: Annotated[tuple[Name, ...], Field(min_length=1)]
    zone: Name

    @model_validator(mode="after")
    def _check_zone(self) -> Fleet:
        if self.zone not in self.zones:
            raise ValueError(f"zone: {self.zone!r} is not one of {', '.join(self.zones)}")
        return self


class ConsulTable(Table):
    """A service in Consul's catalogue. Times in seconds.

    `agents`: HOST:PORT of each. `datacenters`: each is a source of its own; the agents' own if empty. `filter`: an
    expression that the agents apply; it must not exclude entries that are critical or draining. `ttl`: of this
    co-ordinator's own check. `wait`: of blocking queries. `start_patience`: how long a start waits for an answer
    before it uses the snapshot.
    """

    agents: Annotated[tuple[Annotated[str, Field(pattern=r"^[^:\s]+:[0-9]{1,5}$")], ...], Field(min_length=1)]
    service: Name
    datacenters: tuple[Name, ...] = ()
    stale: bool = True
    filter: Annotated[str, Field(max_length=1000)] = ""
    token_file: Path | None = None
    coordinators: str = ""  # the service in which co-ordinators register and find each other; none if empty
    ttl: Annotated[float, Field(ge=1, le=3600)] = 10.0
    wait: Annotated[float, Field(gt=0, le=600)] = 30.0
    start_patience: Annotated[float, Field(ge=0, le=600)] = 1.0

    @model_validator(mode="after")
    def _check_duplicates(self) -> ConsulTable:
        for key in ("agents", "datacenters"):
            if len(set(getattr(self, key))) != len(getattr(self, key)):
                raise ValueError(f"{key}: duplicate value")
        return self

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Host and port of each agent."""
        return tuple((host, int(port)) for host, _, port in (agent.rpartition(":") for agent in self.agents))


class Membership(Table):
    """Sources of server lists.

    `file`: the list file. `interval`: seconds between two checks of it. `kept`: the file of the snapshot, which is
    used when no source can be read at start.
    """

    file: Path | None = None
    consul: ConsulTable | None = None
    kept: Path | None = None
    interval: Annotated[float, Field(gt=0, le=60)] = 0.1

    @model_validator(mode="after")
    def _check_source(self) -> Membership:
        if self.file is None and self.consul is None:
            raise ValueError("file: either file or [membership.consul] is required")
        return self


class Class(Table):
    """A query class. Times in seconds from the query's arrival.

    `aim`: latency objective. `semantics`: retry safety. `repeat_window`: idempotency window. `least_share`: least
    share of the parts in a partial answer. `worth`: value of an answer, relative to other classes; `late_worth` and
    `short_worth`: factors on it for an answer after the objective and for a partial one.
    """

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    aim: Seconds
    deadline: Seconds
    semantics: api.RetrySafety = api.RetrySafety.IDEMPOTENT
    repeat_window: Seconds | None = None
    least_share: Share = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1)] = 0.0
    short_worth: Annotated[float, Field(ge=0, le=1)] = 1.0
    worth: Annotated[float, Field(gt=0)] = 1.0
    whole_share: Share = 1.0  # share of the parts that is complete to clients that accept partial answers

    @model_validator(mode="after")
    def _check_consistency(self) -> Class:
        if self.aim > self.deadline:
            raise ValueError(f"aim: {self.aim:g} s is past the deadline of {self.deadline:g} s")
        if self.whole_share < self.least_share:
            raise ValueError(
                f"whole_share: {self.whole_share:g} is under the least_share of {self.least_share:g}"
            )
        if (self.semantics is api.RetrySafety.IDEMPOTENCY_KEY) != (self.repeat_window is not None):
            raise ValueError('repeat_window: goes with semantics = "keyed", and only with it')
        return self


class Limits(Table):
    """Limits of one process. `open`: queries and parts. `senders`: requests in flight. `waiting_calls`: queued ones.

    `calls_per_replica` also limits the connections to one replica: each request in flight has one. At most
    `idle_connections` idle ones to it are kept.
    """

    open: Count = 4000
    result_bytes: Bytes = 1 << 28
    reply_bytes: Bytes = 64 << 20
    senders: Annotated[int, Field(gt=0, le=4096)] = 128
    waiting_calls: Annotated[int, Field(ge=0, le=65536)] = 256
    calls_per_replica: Count = 64
    idle_connections: Count = 32
    idle_age: Seconds = 30.0
    connect_timeout: Seconds = 0.25
    parts_per_call: Annotated[int, Field(gt=0, le=256)] = 8
    most_attempts: Annotated[int, Field(gt=0, le=10)] = 3
    longest_wait_advice: Seconds = 1.0
    front_slots: Annotated[int, Field(gt=0, le=64)] = 4  # requests that are parsed, merged or written at once
    front_waiting: Count = 512  # requests of each front that wait for a slot
    # Shares of the slots for remote read and for vectors, when both fronts need them.
    front_shares: tuple[Share, Share] = (0.5, 0.5)
    copies: bool = True  # whether slow parts may be hedged


class Replicas(Table):
    """Slow start and overload of a replica.

    `start_capacity`: share of its full capacity that a replica has at start, rising to 1 in `ramp_time` seconds. A
    cold replica fails if it is sent `fall_multiple` times its capacity over `fall_time` seconds.
    """

    start_capacity: Share = 0.2
    ramp_time: Seconds = 15.0
    fall_time: Seconds = 1.5
    fall_multiple: Annotated[float, Field(gt=1)] = 2.0


class Budget(Table):
    """The retry budget, which covers retries and hedged requests.

    In any `span` seconds, at most `free` plus `share` times the number of queries and parts admitted in them.
    """

    free: Annotated[float, Field(ge=0)]
    share: Annotated[float, Field(ge=0, le=10)]
    span: Seconds


class Log(Table):
    """Format and level of the log."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Shutdown(Table):
    """Graceful shutdown. `grace`: seconds for which it waits for queries in flight."""

    grace: Seconds = 5.0


class Tree(Table):
    """The tree of co-ordinators that wide queries are split over; the server list has them as [[coordinator]].

    `name`: this co-ordinator's name in the list. `fan_out`: most leaves that one co-ordinator queries itself.
    `levels`: levels of co-ordinators below a root. `ring`: positions on the ring of co-ordinators, each held by
    `width` of them. `leaf_attempts`: most attempts at a leaf for one part of a root's query, over all paths.
    """

    name: Name
    fan_out: Annotated[int, Field(ge=2, le=2000)] = 40
    levels: Annotated[int, Field(ge=1, le=4)] = 2
    ring: Annotated[int, Field(ge=1, le=1000)]
    place: Annotated[int, Field(ge=0, lt=1000)] = 0  # this co-ordinator's position on the ring
    width: Annotated[int, Field(ge=1, le=10)] = 3
    leaf_attempts: Annotated[int, Field(ge=1, le=6)] = 3
    ramp_time: Seconds = 5.0


class CollectionTable(Table):
    """A collection of points, each a vector of `dims` numbers."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_-]{1,100}$")]
    dims: Annotated[int, Field(gt=0, le=65536)]
    distance: Literal["Cosine", "Dot", "Euclid"] = "Cosine"


class Vectors(Table):
    """The vector front: collections on a ring of vector nodes.

    `quorum`: replicas of a shard, out of `width`, that must have applied a write. `search_class`, `upsert_class` and
    `add_class` name query classes with semantics safe, keyed and unsafe.
    """

    membership: Membership
    cells: Annotated[int, Field(gt=0, le=4096)]
    width: Annotated[int, Field(gt=0, le=9)] = 3
    quorum: Annotated[int, Field(gt=0, le=9)] = 2
    collections: Annotated[
        tuple[CollectionTable, ...], Field(alias="collection", min_length=1, max_length=100)
    ]
    search_class: str
    upsert_class: str
    add_class: str
    intents: Path | None = None  # directory of the write-ahead log of keyed writes
    keep_keys: Seconds = 3600.0
    most_keys: Count = 1_000_000
    max_k: Annotated[int, Field(gt=0, le=100_000)] = 10_000
    max_points: Annotated[int, Field(gt=0, le=100_000)] = 10_000
    max_searches: Annotated[int, Field(gt=0, le=1000)] = 64
    repair_rate: Annotated[float, Field(gt=0)] = 500.0  # points per second
    repair_sweep: Seconds = 600.0  # time in which every shard is compared once

    @model_validator(mode="after")
    def _check_consistency(self) -> Vectors:
        if self.width > self.cells:
            raise ValueError(f"width: {self.width} is more than the {self.cells} cells")
        if self.quorum > self.width:
            raise ValueError(f"quorum: {self.quorum} is more than the {self.width} replicas of a shard")
        return self
