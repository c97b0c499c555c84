"""Watchers of a service in Consul: a thread each, with a connection of its own, that reports complete lists.

A service is followed through two agents at once where there are two, so that one that hangs, or lags, keeps no
drain from being reported. The reconciliation orders what each reports by Consul's index.
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
    ConsistencyMode,
    ConsulError,
    EntryFieldNames,
    EntryReader,
    health_query_path,
    read_datacenters,
)
from gingervane.membership.consul_http import Address, get
from gingervane.membership.consul_polling import Backoff, BlockingQueryState, assign_agents
from gingervane.membership.view import Member
from gingervane.wire.http1 import ConnectionClosedError, Headers, HttpError, Limits
from gingervane.wire.pool import Pool

HTTP_LIMITS = Limits(16384, 32 << 20)  # bytes of a head and of a body
WATCHERS_PER_SERVICE = 2
_MAX_LOGGED_FAULTS = 3  # of one answer


def _nothing_known() -> int:
    return 0


class ConsulService(NamedTuple):
    """A service to watch. `token_file`: read again for each request, as tokens change in service."""

    agents: tuple[Address, ...]
    service: str
    datacenter: str = ""
    stale: bool = True
    token_file: Path | None = None
    filter_by: str = ""
    names: EntryFieldNames = EntryFieldNames()
    backoff: Backoff = Backoff()


class ReportCallback(Protocol):
    """Takes a list: its members, its stated age in seconds, its index, and whether the leader vouched for it."""

    def __call__(self, members: tuple[Member, ...], age: float, index: int, consistent: bool, /) -> None:
        """Take one list; must not block."""


class ConsulWatcher:
    """Follows one service by blocking queries to some of its agents, one after another as they fail."""

    def __init__(
        self,
        service: ConsulService,
        agents: list[int],
        zones: tuple[str, ...],
        cells: int,
        offset: float,
        report: ReportCallback,
        log_warning: Callable[[str], None],
        rng: random.Random,
        known_index: Callable[[], int] = _nothing_known,
    ) -> None:
        """`agents`: positions in `service.agents`. `offset` turns Unix time into the members' clock.

        `known_index`: the index that the service has shown through any agent, behind which the leader is asked.
        """
        self._service = service
        self._agents = [service.agents[n] for n in agents]
        self._report = report
        self._log_warning = log_warning
        self._known_index = known_index
        self._reader = EntryReader(service.names, zones, cells, offset)
        self.query_state = BlockingQueryState(len(agents), service.backoff, rng)
        self._pool = Pool(HTTP_LIMITS, 1, service.backoff.blocking_wait * 2)
        self._stop = threading.Event()
        self._last_fault = ""
        self.calls = 0
        self._thread = threading.Thread(target=self._run, name="consul", daemon=True)

    def start(self) -> None:
        """Start to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Ask it to end; a request that waits for a change ends with its wait, or with the process."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._stop.wait(self._poll())
        self._pool.close()  # so that an agent that ends with us does not wait for an unused connection

    def _poll(self) -> float:
        """Send one request; return the seconds until the next."""
        state = self.query_state
        address = self._agents[state.agent]
        consistent = state.consistent
        target = self._target()
        state.record_request(time.monotonic())
        self.calls += 1
        try:
            deadline = time.monotonic() + state.response_timeout
            status, headers, body = get(self._pool, address, target, self._service.token_file, deadline)
            if status != 200:
                self._log_fault(f"{address[0]}:{address[1]}: status {status}: {body[:100]!r}")
                return state.record_failure(_whole_number(headers, "retry-after", 3))
            members, faults = self._reader.read(orjson.loads(body))
            index = _whole_number(headers, "x-consul-index", 19)
        except (OSError, ConnectionClosedError, HttpError, ConsulError, ValueError, RecursionError) as error:
            self._log_fault(f"{address[0]}:{address[1]}: {error or type(error).__name__}")
            return state.record_failure()
        self._log_fault("; ".join(faults[:_MAX_LOGGED_FAULTS]))
        age = _whole_number(headers, "x-consul-lastcontact", 9) / 1000
        known_index = self._known_index()  # before this report moves it
        self._report(members, age, int(index), consistent)
        leader_known = headers.get("x-consul-knownleader", "true").lower() != "false"
        return state.record_success(int(index), leader_known, time.monotonic(), len(members), known_index)

    def _target(self) -> str:
        state = self.query_state
        service = self._service
        if state.consistent:
            mode = ConsistencyMode.CONSISTENT
        else:
            mode = ConsistencyMode.STALE if service.stale else ConsistencyMode.DEFAULT
        index = state.index if state.is_blocking else 0
        return health_query_path(
            service.service, index, state.wait, mode, service.datacenter, service.filter_by
        )

    def _log_fault(self, fault: str) -> None:
        """Log a fault once, and when it is over."""
        if fault != self._last_fault:
            self._log_warning(fault or "consul answers again")
        self._last_fault = fault


def _whole_number(headers: Headers, name: str, digits: int) -> float:
    """Return a whole number of at most so many digits in a header; 0 if it is none."""
    text = headers.get(name)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= digits else 0


def create_watchers(
    service: ConsulService,
    zones: tuple[str, ...],
    cells: int,
    offset: float,
    report: ReportCallback,
    log_warning: Callable[[str], None],
    rng: random.Random,
    known_index: Callable[[], int] = _nothing_known,
) -> list[ConsulWatcher]:
    """Return watchers of one service, not yet started, with the agents dealt out among them."""
    shares = assign_agents(len(service.agents), WATCHERS_PER_SERVICE, rng)
    seeds = [random.Random(rng.random()) for _ in shares]
    return [
        ConsulWatcher(service, agents, zones, cells, offset, report, log_warning, seed, known_index)
        for agents, seed in zip(shares, seeds, strict=True)
    ]


def unknown_datacenters(
    agents: tuple[Address, ...],
    wanted: tuple[str, ...],
    token_file: Path | None,
    timeout: float,
) -> tuple[str, ...]:
    """Return those of `wanted` that the catalogue does not know; none of them if no agent answers in time."""
    pool = Pool(HTTP_LIMITS, 0, 1.0)
    for agent in agents:
        try:
            deadline = time.monotonic() + timeout
            status, _, body = get(pool, agent, "/v1/catalog/datacenters", token_file, deadline)
            if status == 200:
                return tuple(sorted(set(wanted) - set(read_datacenters(orjson.loads(body)))))
        except (OSError, ConnectionClosedError, HttpError, ConsulError, ValueError):
            continue
    return ()
