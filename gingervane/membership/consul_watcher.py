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
    Asking,
    ConsulError,
    Mode,
    Names,
    Pause,
    Reader,
    path,
    read_datacenters,
    shares,
)
from gingervane.membership.view import Member
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, Headers, HttpError, Limits
from gingervane.wire.pool import Pool, exchange

LIMITS = Limits(16384, 32 << 20)
WATCHERS = 2
Address = tuple[str, int]


class ConsulPlace(NamedTuple):
    """Where a service is watched. `token_file`: read again for each call, as tokens change in service."""

    agents: tuple[Address, ...]
    service: str
    datacenter: str = ""
    stale: bool = True
    token_file: Path | None = None
    filter_by: str = ""
    names: Names = Names()
    pause: Pause = Pause()


class Report(Protocol):
    """Takes a list: its members, the age that it states in seconds, its index, and whether the leader vouched."""

    def __call__(self, members: tuple[Member, ...], age: float, index: int, sure: bool) -> None: ...


def call(
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
        place: ConsulPlace,
        agents: list[int],
        zones: tuple[str, ...],
        cells: int,
        offset: float,
        report: Report,
        complain: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        """`agents`: places in `place.agents`."""
        self._place, self._agents = place, [place.agents[n] for n in agents]
        self._report, self._complain = report, complain
        self._reader = Reader(place.names, zones, cells, offset)
        self.asking = Asking(len(agents), place.pause, rng)
        self._pool = Pool(LIMITS, 1, place.pause.wait * 2)
        self._stop = threading.Event()
        self._said = ""
        self.calls = 0
        self._thread = threading.Thread(target=self._run, name="consul", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Asks it to end; a call that waits for a change ends with its wait, or with the process."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._stop.wait(self._turn())
        self._pool.close()  # guards an agent that ends with us against waiting for a connection nobody uses

    def _turn(self) -> float:
        """One call; seconds until the next."""
        asking, place = self.asking, self._place
        address, sure = self._agents[asking.agent], asking.sure
        mode = Mode.CONSISTENT if sure else Mode.STALE if place.stale else Mode.DEFAULT
        target = path(
            place.service,
            asking.index if asking.blocks else 0,
            asking.wait,
            mode,
            place.datacenter,
            place.filter_by,
        )
        asking.asks(time.monotonic())
        self.calls += 1
        try:
            until = time.monotonic() + asking.give_up
            status, headers, body = call(self._pool, address, target, place.token_file, until)
            if status != 200:
                self._tell(f"{address[0]}:{address[1]}: status {status}: {body[:100]!r}")
                return asking.failed(time.monotonic(), _seconds(headers, "retry-after", 3))
            members, faults = self._reader.read(orjson.loads(body))
            index = _seconds(headers, "x-consul-index", 19)
        except (OSError, Closed, HttpError, ConsulError, ValueError, RecursionError) as error:
            self._tell(f"{address[0]}:{address[1]}: {error or type(error).__name__}")
            return asking.failed(time.monotonic())
        self._tell("; ".join(faults[:3]))
        self._report(members, _seconds(headers, "x-consul-lastcontact", 9) / 1000, int(index), sure)
        leader = headers.get("x-consul-knownleader", "true").lower() != "false"
        return asking.good(int(index), leader, time.monotonic(), len(members))

    def _tell(self, fault: str) -> None:
        """Say a fault once, and when it is over."""
        if fault != self._said:
            self._complain(fault or "consul answers again")
        self._said = fault


def _seconds(headers: Headers, name: str, digits: int) -> float:
    """A whole number in a header; 0 if it is none."""
    text = headers.get(name)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= digits else 0


def watch(
    place: ConsulPlace,
    zones: tuple[str, ...],
    cells: int,
    offset: float,
    report: Report,
    complain: Callable[[str], None],
    rng: random.Random,
) -> list[ConsulWatcher]:
    """Watchers of one service, not yet started, with the agents dealt out among them."""
    return [
        ConsulWatcher(place, agents, zones, cells, offset, report, complain, random.Random(rng.random()))
        for agents in shares(len(place.agents), WATCHERS, rng)
    ]


def unknown_datacenters(
    agents: tuple[Address, ...],
    wanted: tuple[str, ...],
    token_file: Path | None,
    patience: float,
) -> tuple[str, ...]:
    """Which of `wanted` the catalogue does not know; none of them if no agent answers in time."""
    pool = Pool(LIMITS, 0, 1.0)
    for agent in agents:
        try:
            until = time.monotonic() + patience
            status, _, body = call(pool, agent, "/v1/catalog/datacenters", token_file, until)
            if status == 200:
                return tuple(sorted(set(wanted) - set(read_datacenters(orjson.loads(body)))))
        except (OSError, Closed, HttpError, ConsulError, ValueError):
            continue
    return ()
