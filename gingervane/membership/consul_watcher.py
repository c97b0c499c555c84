"""Watchers of a service in Consul: each has a thread and a connection of its own and reports complete lists.

A service is watched through two agents at once where there are two, so that a drain is reported even if one agent
stalls or is stale. The reconciliation orders the reports by Consul's index.
The watcher's thread owns all state in here; it passes lists on by `report`, which must not block.
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

HTTP_LIMITS = Limits(16384, 32 << 20)  # bytes of a response's head and body
WATCHERS_PER_SERVICE = 2
_MAX_LOGGED_FAULTS = 3  # invalid entries of one answer that are logged


def _no_known_index() -> int:
    return 0


class ConsulService(NamedTuple):
    """A service to watch. `token_file` is read for each request, as tokens are rotated while the process runs."""

    agents: tuple[Address, ...]
    service: str
    datacenter: str = ""
    stale: bool = True
    token_file: Path | None = None
    filter_by: str = ""
    names: EntryFieldNames = EntryFieldNames()
    backoff: Backoff = Backoff()


class ReportCallback(Protocol):
    """Receives a list: its members, its staleness in seconds, its index, and whether the leader has confirmed it."""

    def __call__(self, members: tuple[Member, ...], age: float, index: int, consistent: bool, /) -> None:
        """Receive one list; must not block."""


class ConsulWatcher:
    """Watches one service by blocking queries to one agent at a time; after a failure the next agent is used."""

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
        known_index: Callable[[], int] = _no_known_index,
    ) -> None:
        """`agents`: indexes into `service.agents`. `offset`: seconds to add to Unix time to get the members' clock.

        `known_index` returns the newest index known for the service from any agent. Answers with a lower one are
        confirmed by the leader.
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
        """Start the watcher's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Request the end of the thread. It ends after its present request, or with the process."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._stop.wait(self._poll())
        self._pool.close()  # an agent that shuts down would wait for the unused connection

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
        known_index = self._known_index()  # read before this report changes it
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
        """Log a fault when it first occurs, and its end."""
        if fault != self._last_fault:
            self._log_warning(fault or "consul answers again")
        self._last_fault = fault


def _whole_number(headers: Headers, name: str, digits: int) -> float:
    """Return the value of a header field; 0 if it is not a whole number of at most `digits` digits."""
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
    known_index: Callable[[], int] = _no_known_index,
) -> list[ConsulWatcher]:
    """Return the watchers of one service, not yet started. No two share an agent."""
    shares = assign_agents(len(service.agents), WATCHERS_PER_SERVICE, rng)
    seeds = [random.Random(rng.random()) for _ in shares]
    return [
        ConsulWatcher(service, agents, zones, cells, offset, report, log_warning, seed, known_index)
        for agents, seed in zip(shares, seeds, strict=True)
    ]


def unknown_datacenters(
    agents: tuple[Address, ...],
    configured: tuple[str, ...],
    token_file: Path | None,
    timeout: float,
) -> tuple[str, ...]:
    """Return the names in `configured` that are not in the catalogue; none if no agent answers.

    `timeout`: seconds for each agent.
    """
    pool = Pool(HTTP_LIMITS, 0, 1.0)
    for agent in agents:
        try:
            deadline = time.monotonic() + timeout
            status, _, body = get(pool, agent, "/v1/catalog/datacenters", token_file, deadline)
            if status == 200:
                return tuple(sorted(set(configured) - set(read_datacenters(orjson.loads(body)))))
        except (OSError, ConnectionClosedError, HttpError, ConsulError, ValueError):
            continue
    return ()
