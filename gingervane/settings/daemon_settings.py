"""Settings from a TOML file: every value checked, every fault told at once as `file: table.key: what`."""

from __future__ import annotations

import difflib
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_args

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from gingervane import interface as api
from gingervane.coordinator.types import MAX_SEND_DELAY

Seconds = Annotated[float, Field(gt=0, le=86400)]
Share = Annotated[float, Field(gt=0, le=1)]
Count = Annotated[int, Field(gt=0, le=10_000_000)]
Bytes = Annotated[int, Field(ge=1024, le=1 << 34)]
BRANCH_SHARE = (
    0.25  # of the free further attempts, for subtrees where there is a tree; the rest is for leaves
)
M = TypeVar("M", bound=BaseModel)
Name = Annotated[str, Field(min_length=1, max_length=200)]


class SettingsError(Exception):
    """A file that cannot be used; the message has a line for each fault."""


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Listen(Table):
    """Where clients are served, and the bounds on them."""

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


class Shards(Table):
    """The shard label and its values. Shard i lies in cell i mod `cells`; see the list file for who holds a cell."""

    label: Name = "tile"
    names: Annotated[tuple[Name, ...], Field(min_length=1, max_length=100_000)]
    cells: Count
    width: Count = 3
    keep_label: bool = True

    @model_validator(mode="after")
    def _fits(self) -> Shards:
        if len(set(self.names)) != len(self.names):
            raise ValueError("names: a shard stands twice")
        if self.width > self.cells:
            raise ValueError(f"width: {self.width} is more than the {self.cells} cells")
        return self


class Fleet(Table):
    """This co-ordinator among its peers. `zones`: all of them; `zone`: its own."""

    coordinators: Count = 1
    zones: Annotated[tuple[Name, ...], Field(min_length=1)]
    zone: Name

    @model_validator(mode="after")
    def _own(self) -> Fleet:
        if self.zone not in self.zones:
            raise ValueError(f"zone: {self.zone!r} is not one of {', '.join(self.zones)}")
        return self


class ConsulTable(Table):
    """A service in Consul's catalogue. `agents`: HOST:PORT of each; `wait` of blocking queries, in seconds.

    `datacenters`: each is a source of its own; none named: that of the agents. `filter`: an expression that the
    agents apply; it must not leave out entries that are critical or drain. `start_patience`: how long a start waits
    for an answer before it takes the kept list.
    """

    agents: Annotated[tuple[Annotated[str, Field(pattern=r"^[^:\s]+:[0-9]{1,5}$")], ...], Field(min_length=1)]
    service: Name
    datacenters: tuple[Name, ...] = ()
    stale: bool = True
    filter: Annotated[str, Field(max_length=1000)] = ""
    token_file: Path | None = None
    coordinators: str = ""  # the service of co-ordinators: this one registers there and finds the others
    ttl: Annotated[float, Field(ge=1, le=3600)] = 10.0
    wait: Annotated[float, Field(gt=0, le=600)] = 30.0
    start_patience: Annotated[float, Field(ge=0, le=600)] = 1.0

    @model_validator(mode="after")
    def _once(self) -> ConsulTable:
        for key in ("agents", "datacenters"):
            if len(set(getattr(self, key))) != len(getattr(self, key)):
                raise ValueError(f"{key}: one stands twice")
        return self

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        return tuple((host, int(port)) for host, _, port in (agent.rpartition(":") for agent in self.agents))


class Membership(Table):
    """`kept`: where the last good list is kept, for a start at which no source can be read."""

    file: Path | None = None
    consul: ConsulTable | None = None
    kept: Path | None = None
    interval: Annotated[float, Field(gt=0, le=60)] = 0.1

    @model_validator(mode="after")
    def _some(self) -> Membership:
        if self.file is None and self.consul is None:
            raise ValueError("file: neither a file nor [membership.consul] is named")
        return self


class Class(Table):
    """A class of query. Times in seconds from the query's arrival."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    aim: Seconds
    deadline: Seconds
    semantics: api.RetrySafety = api.RetrySafety.IDEMPOTENT
    repeat_window: Seconds | None = None
    least_share: Share = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1)] = 0.0
    short_worth: Annotated[float, Field(ge=0, le=1)] = 1.0
    worth: Annotated[float, Field(gt=0)] = 1.0
    whole_share: Share = 1.0  # of the parts that is as good as all, to those who ask for partial answers

    @model_validator(mode="after")
    def _fits(self) -> Class:
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
    """What one process holds. `open`: queries and parts; `senders`: calls out; `waiting_calls`: behind those.

    `calls_per_replica` bounds the connections to one replica, too: each call out has one, idle ones are kept below
    `idle_connections`.
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
    front_slots: Annotated[int, Field(gt=0, le=64)] = 4  # requests that are read, merged or written at once
    front_waiting: Count = 512  # that wait for their turn, of each front
    front_shares: tuple[Share, Share] = (
        0.5,
        0.5,
    )  # of the turns, where both fronts want them: remote read, vectors
    copies: bool = True  # whether a late part may be asked of another replica before it has failed


class Replicas(Table):
    """What a replica that has just started can do, and how long it takes to be pushed over."""

    start_capacity: Share = 0.2
    ramp_time: Seconds = 15.0
    fall_time: Seconds = 1.5
    fall_multiple: Annotated[float, Field(gt=1)] = 2.0  # of what it can do


class Budget(Table):
    """Further attempts in any `span`: at most `free` plus `share` of the queries and parts taken in it."""

    free: Annotated[float, Field(ge=0)]
    share: Annotated[float, Field(ge=0, le=10)]
    span: Seconds


class Log(Table):
    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Shutdown(Table):
    grace: Seconds = 5.0


class Tree(Table):
    """Wide queries through other co-ordinators, which the server list names as [[coordinator]].

    `name`: this one's, as in the list. `fan_out`: leaves that one co-ordinator asks itself. `levels`: of
    co-ordinators below a root. `ring`: places on the ring of co-ordinators, each held by `width`. `leaf_attempts`:
    that may run at a leaf for one part of a root's query, over all paths.
    """

    name: Name
    fan_out: Annotated[int, Field(ge=2, le=2000)] = 40
    levels: Annotated[int, Field(ge=1, le=4)] = 2
    ring: Annotated[int, Field(ge=1, le=1000)]
    place: Annotated[int, Field(ge=0, lt=1000)] = 0  # this one's on the ring, for what it registers
    width: Annotated[int, Field(ge=1, le=10)] = 3
    leaf_attempts: Annotated[int, Field(ge=1, le=6)] = 3
    ramp_time: Seconds = 5.0


class CollectionTable(Table):
    """A collection of points, each a vector of `dims` numbers."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_-]{1,100}$")]
    dims: Annotated[int, Field(gt=0, le=65536)]
    distance: Literal["Cosine", "Dot", "Euclid"] = "Cosine"


class Vectors(Table):
    """The vector front: collections over a ring of nodes of their own. `quorum`: holders of a shard, of `width`, that
    must have done a write; classes by name: one safe, one keyed, one unsafe."""

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
    intents: Path | None = None  # folder of the log of keyed writes
    keep_keys: Seconds = 3600.0
    most_keys: Count = 1_000_000
    max_k: Annotated[int, Field(gt=0, le=100_000)] = 10_000
    max_points: Annotated[int, Field(gt=0, le=100_000)] = 10_000
    max_searches: Annotated[int, Field(gt=0, le=1000)] = 64
    repair_rate: Annotated[float, Field(gt=0)] = 500.0  # points a second
    repair_sweep: Seconds = 600.0  # in which every shard is compared once

    @model_validator(mode="after")
    def _fits(self) -> Vectors:
        if self.width > self.cells:
            raise ValueError(f"width: {self.width} is more than the {self.cells} cells")
        if self.quorum > self.width:
            raise ValueError(f"quorum: {self.quorum} of {self.width} holders")
        return self


class Config(Table):
    """The whole file."""

    listen: Listen = Listen()
    shards: Shards
    fleet: Fleet
    membership: Membership
    classes: Annotated[tuple[Class, ...], Field(alias="class", min_length=1, max_length=64)]
    default_class: str | None = None
    limits: Limits = Limits()
    replicas: Replicas = Replicas()
    budget: Budget | None = None
    tree: Tree | None = None
    vectors: Vectors | None = None
    log: Log = Log()
    shutdown: Shutdown = Shutdown()

    @model_validator(mode="after")
    def _names(self) -> Config:
        names = [c.name for c in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("class: a name stands twice")
        if self.default_class is not None and self.default_class not in names:
            raise ValueError(f"default_class: {self.default_class!r} is not one of {', '.join(names)}")
        for key, kind in (("search_class", "safe"), ("upsert_class", "keyed"), ("add_class", "unsafe")):
            wanted = getattr(self.vectors, key, None)
            if wanted is not None and not any(
                c.name == wanted and c.semantics.value == kind for c in self.classes
            ):
                raise ValueError(f"vectors.{key}: {wanted!r} is no class that is {kind}")
        return self

    def module_settings(self) -> api.Settings:
        """What the decision module is told: for each class its strict twin, its lenient one, and one that collects
        for a parent, which sums: it waits for all to its last moment and then answers with whatever is in."""
        limits, cold, budget = self.limits, self.replicas, self.budget
        free = budget.free * (1.0 if self.tree is None else 1.0 - BRANCH_SHARE) if budget else None
        twins = [
            twin
            for c in self.classes
            for twin in (
                _class(c, 1.0),
                _class(c, c.least_share)._replace(complete_coverage=c.whole_share),
                _class(c, 1e-6)._replace(late_weight=1.0),
            )
        ]
        return api.Settings(
            coordinator_count=self.fleet.coordinators,
            zone=self.fleet.zones.index(self.fleet.zone),
            query_classes=tuple(twins),
            tenant_quotas=(),
            timer_granularity=0.005,
            cell_count=self.shards.cells,
            cells_per_replica=self.shards.width,
            max_parts_per_request=limits.parts_per_call,
            max_attempts=limits.most_attempts,
            cancellation_allowed=True,
            gossip_allowed=False,
            hedging_allowed=limits.copies,
            retry_after_allowed=True,
            max_retry_after=limits.longest_wait_advice,
            membership_polled=False,
            slow_start_capacity=cold.start_capacity,
            slow_start_duration=cold.ramp_time,
            overload_window=cold.fall_time,
            overload_multiple=cold.fall_multiple,
            retry_budget_free=free,
            retry_budget_share=budget.share if budget else None,
            retry_budget_window=budget.span if budget else None,
            max_send_delay=MAX_SEND_DELAY,
        )

    def branch_settings(self) -> api.Settings:
        """What the module that decides among child co-ordinators is told; its parts are subtrees."""
        tree, budget = self.tree, self.budget
        assert tree is not None
        return self.module_settings()._replace(
            query_classes=tuple(_class(c, 1.0) for c in self.classes),
            cell_count=tree.ring,
            cells_per_replica=min(tree.width, tree.ring),
            max_parts_per_request=1,
            slow_start_duration=tree.ramp_time,
            retry_budget_free=budget.free * BRANCH_SHARE if budget else None,
        )


def _class(c: Class, least: float) -> api.QueryClass:
    return api.QueryClass(
        latency_objective=c.aim,
        deadline=c.deadline,
        retry_safety=c.semantics,
        idempotency_window=c.repeat_window,
        second_step_parts=0,
        required_coverage=least,
        complete_coverage=1.0,
        objective_stretch=None,
        late_weight=c.late_worth,
        partial_weight=c.short_worth,
    )


def load(path: Path) -> Config:
    """Read and check a file; relative paths in it start from its folder. Raises SettingsError."""
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return check(table, path)


def check(table: dict[str, Any], path: Path) -> Config:
    """The settings in a table already read. Raises SettingsError."""
    config = validate(Config, table, path)
    update: dict[str, Any] = {"membership": _rooted(config.membership, path.parent)}
    if config.vectors:
        own: dict[str, Any] = {"membership": _rooted(config.vectors.membership, path.parent)}
        if config.vectors.intents:
            own["intents"] = path.parent / config.vectors.intents
        update["vectors"] = config.vectors.model_copy(update=own)
    return config.model_copy(update=update)


def _rooted(lists: Membership, folder: Path) -> Membership:
    """With paths that start from the file's folder."""
    update: dict[str, Any] = {
        key: folder / value for key in ("file", "kept") if (value := getattr(lists, key)) is not None
    }
    if lists.consul and lists.consul.token_file:
        token = folder / lists.consul.token_file
        update["consul"] = lists.consul.model_copy(update={"token_file": token})
    return lists.model_copy(update=update)


def validate(model: type[M], table: dict[str, Any], path: Path) -> M:
    """A table as a model. Raises SettingsError with a line for each fault: `path: table.key: what`."""
    try:
        return model.model_validate(table)
    except ValidationError as error:
        found = error.errors()
        # Faulty items are left out before an array is counted: what then seems too short is no fault of its own.
        real = [
            e
            for e in found
            if e["type"] != "too_short"
            or not any(other is not e and other["loc"][: len(e["loc"])] == e["loc"] for other in found)
        ]
        raise SettingsError("\n".join(f"{path}: {_fault(model, e)}" for e in real)) from None


def _fault(model: type[BaseModel], error: Any) -> str:
    where = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in error["loc"]).lstrip(".")
    if error["type"] == "extra_forbidden":
        near = difflib.get_close_matches(str(error["loc"][-1]), _known(model, error["loc"][:-1]), 1)
        return f"{where}: not a known key" + (f"; is {near[0]} meant?" if near else "")
    if error["type"] == "missing":
        return f"{where}: missing"
    what = str(error["msg"]).removeprefix("Value error, ")
    if error["type"] == "value_error" and ": " in what:  # a check over a whole table names its own key
        key, _, what = what.partition(": ")
        return f"{where}.{key}: {what}".lstrip(".")
    return f"{where}: {what[:1].lower()}{what[1:]}, not {error['input']!r}"


def _known(model: type[BaseModel], loc: tuple[str | int, ...]) -> list[str]:
    """The keys of the table at a place in a model."""
    for step in loc:
        if isinstance(step, int):
            continue
        field = next(f for name, f in model.model_fields.items() if step in (name, f.alias))
        kinds = [field.annotation, *get_args(field.annotation)]
        model = next(k for k in kinds if isinstance(k, type) and issubclass(k, BaseModel))
    return [field.alias or name for name, field in model.model_fields.items()]
