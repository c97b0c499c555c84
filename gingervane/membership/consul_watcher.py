"""Watchers of a service in Consul: a thread each, with a connection of its own, that reports whole lists.

A service is followed through two agents at once where there are two, so that one that hangs, or lags, keeps no
drain from being told. What each says goes to the merge, which orders it by Consul's index.
Owner of all in here: the watcher's thread. It only hands lists on, by `report`, which must not block.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

import orjson

from gingervane.membership.consul import (
    BlockingQueryState,
    ConsulError,
    ConsistencyMode,
    EntryFieldNames,
    Backoff,
    EntryReader,
    health_query_path,
    read_datacenters,
    assign_agents,
)
from gingervane.membership.view import Member
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, Headers, HttpError, Limits
from gingervane.wire.pool import Pool, exchange

HTTP_LIMITS = Limits(16384, 32 << 20)
WATCHERS_PER_SERVICE = 2
Address = tuple[str, int]


class ConsulService(NamedTuple):
    """Where a service is watched. `token_file`: read again for each call, as tokens change in service."""

    agents: tuple[Address, ...]
    service: str
    datacenter: str = ""
    stale: bool = True
    token_file: Path | None = None
    filter_by: str = ""
    names: EntryFieldNames = EntryFieldNames()
    backoff: Backoff = Backoff()


class ReportCallback(Protocol):
    """Takes a list: its members, the age that it states in seconds, its index, and whether the leader vouched."""

    def __call__(self, members: tuple[Member, ...], age: float, index: int, sure: bool) -> None: ...


def get(
    pool: Pool,
    agent: Address,
    target: str,
    token_file: Path | None,
    until: float,
) -> tuple[int, Headers, bytes]:
    """One GET. Raises OSError (the token's file included), Closed, HttpError."""
    fields = [("Host", f"{agent[0]}:{agent[1]}"), ("Accept", "application/json")]
    if token_file:
        fields.append(("X-Consul-Token", token_file.read_text().strip()))
    return exchange(pool, agent, http1.head(f"GET {target} HTTP/1.1", fields), until)


class ConsulWatcher:
    """Follows one service by blocking queries to some of its agents, one after another as they fail."""

    def __init__(
        self,
        place: ConsulService,
        agents: list[int],
        zones: tuple[str, ...],
        cells: int,
        offset: float,
        report: ReportCallback,
        complain: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        """`agents`: places in `place.agents`."""
        self._service, self._agents = place, [place.agents[n] for n in agents]
        self._report, self._log_warning = report, complain
        self._reader = EntryReader(place.names, zones, cells, offset)
        self.query_state = BlockingQueryState(len(agents), place.backoff, rng)
        self._pool = Pool(HTTP_LIMITS, 1, place.backoff.blocking_wait * 2)
        self._stop = threading.Event()
        self._last_fault = ""
        self.calls = 0
        self._thread = threading.Thread(target=self._run, name="consul", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Asks it to end; a call that waits for a change ends with its wait, or with the process."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._stop.wait(self._poll())
        self._pool.close()  # guards an agent that ends with us against waiting for a connection nobody uses

    def _poll(self) -> float:
        """One call; seconds until the next."""
        asking, place = self.query_state, self._service
        address, sure = self._agents[asking.agent], asking.consistent
        mode = (
            ConsistencyMode.CONSISTENT
            if sure
            else ConsistencyMode.STALE
            if place.stale
            else ConsistencyMode.DEFAULT
        )
        target = health_query_path(
            place.service,
            asking.index if asking.is_blocking else 0,
            asking.wait,
            mode,
            place.datacenter,
            place.filter_by,
        )
        asking.record_request(time.monotonic())
        self.calls += 1
        try:
            until = time.monotonic() + asking.response_timeout
            status, headers, body = get(self._pool, address, target, place.token_file, until)
            if status != 200:
                self._log_fault(f"{address[0]}:{address[1]}: status {status}: {body[:100]!r}")
                return asking.record_failure(time.monotonic(), _whole_number(headers, "retry-after", 3))
            members, faults = self._reader.read(orjson.loads(body))
            index = _whole_number(headers, "x-consul-index", 19)
        except (OSError, Closed, HttpError, ConsulError, ValueError, RecursionError) as error:
            self._log_fault(f"{address[0]}:{address[1]}: {error or type(error).__name__}")
            return asking.record_failure(time.monotonic())
        self._log_fault("; ".join(faults[:3]))
        self._report(members, _whole_number(headers, "x-consul-lastcontact", 9) / 1000, int(index), sure)
        leader = headers.get("x-consul-knownleader", "true").lower() != "false"
        return asking.record_success(int(index), leader, time.monotonic(), len(members))

    def _log_fault(self, fault: str) -> None:
        """Say a fault once, and when it is over."""
        if fault != self._last_fault:
            self._log_warning(fault or "consul answers again")
        self._last_fault = fault


def _whole_number(headers: Headers, name: str, digits: int) -> float:
    """A whole number in a header; 0 if it is none."""
    text = headers.get(name)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= digits else 0


def create_watchers(
    place: ConsulService,
    zones: tuple[str, ...],
    cells: int,
    offset: float,
    report: ReportCallback,
    complain: Callable[[str], None],
    rng: random.Random,
) -> list[ConsulWatcher]:
    """Watchers of one service, not yet started, with the agents dealt out among them."""
    return [
        ConsulWatcher(place, agents, zones, cells, offset, report, complain, random.Random(rng.random()))
        for agents in assign_agents(len(place.agents), WATCHERS_PER_SERVICE, rng)
    ]


def unknown_datacenters(
    agents: tuple[Address, ...],
    wanted: tuple[str, ...],
    token_file: Path | None,
    patience: float,
) -> tuple[str, ...]:
    """Which of `wanted` the catalogue does not know; none of them if no agent answers in time."""
    pool = Pool(HTTP_LIMITS, 0, 1.0)
    for agent in agents:
        try:
            until = time.monotonic() + patience
            status, _, body = get(pool, agent, "/v1/catalog/datacenters", token_file, until)
            if status == 200:
                return tuple(sorted(set(wanted) - set(read_datacenters(orjson.loads(body)))))
        except (OSError, Closed, HttpError, ConsulError, ValueError):
            continue
    return ()
