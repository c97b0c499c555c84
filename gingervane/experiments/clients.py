"""Open-loop clients of a rehearsal: queries come when they come, whatever became of the ones before.

Each try asks for a time range of its own (`start_ms` is unique), which travels as it is to the replicas. By it an
audit links what passed at any socket to the try it was for, without asking the co-ordinator. Every try is recorded
with the ports of its connection; bodies of answers go to a file beside, for checking after the run.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from gingervane.fronts.client import LIMITS, Client
from gingervane.fronts.routing import COVERAGE_HEADER, MISSING_HEADER, RETRY_HEADER
from gingervane.scenarios.demands import BASE_MS, Demand
from gingervane.scenarios.scenario import Scenario
from gingervane.fake_servers.recorder import Recorder
from gingervane.wire.http1 import Closed, HttpError
from gingervane.wire.pool import Connection, Pool
from gingervane.wire.remote_read import Match, Matcher, Query


class Load:
    """Plays demands against the co-ordinators that `targets` names at the moment of each try."""

    def __init__(
        self,
        scenario: Scenario,
        recorder: Recorder,
        bodies: Path,
        targets: Callable[[], list[tuple[int, tuple[str, int]]]],
    ) -> None:
        self._scenario, self._recorder, self._targets = scenario, recorder, targets
        self._bodies, self._at = bodies.open("wb"), 0
        self._pool = Pool(LIMITS, 256, 20.0)
        self._tries = itertools.count()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []

    def play(self, all_demands: list[Demand], began: float) -> None:
        """Start each demand at its time, on a thread of its own; returns when the last has ended."""
        for demand in all_demands:
            if (wait := began + demand.at - time.monotonic()) > 0:
                time.sleep(wait)
            thread = threading.Thread(target=self._demand, args=(demand,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join(60.0)
        self._bodies.close()
        self._pool.close()

    def _demand(self, demand: Demand) -> None:
        clients, rng = self._scenario.clients, random.Random(demand.seed)
        self._recorder.put(
            "demand",
            demand=demand.number,
            query_class=demand.kind.name,
            tiles=len(demand.tiles),
            names=demand.tiles,
        )
        for number in range(clients.retries + 1):
            wait = self._try(demand, number, rng)
            if wait is None:
                return
            time.sleep(wait if wait and rng.random() < clients.honour else clients.backoff)

    def _try(self, demand: Demand, number: int, rng: random.Random) -> float | None:
        """One try: None if the client is content or has left, else seconds that it was advised to wait."""
        targets = self._targets()
        if not targets:
            return 0.0
        coordinator, address = rng.choice(targets)
        start = BASE_MS + next(self._tries)
        tiles = "|".join(demand.tiles)
        kind = demand.kind
        query = Query(
            start,
            start + self._scenario.clients.range_ms,
            (
                Matcher(Match.EQUAL, "__name__", "wind_speed"),
                Matcher(Match.REGEX, "tile", tiles),
            ),
        )
        limit = kind.deadline * (1.0 - rng.random() * (1.0 - self._scenario.clients.try_share))
        params = {"class": kind.name, "timeout": f"{int(limit * 1000)}ms"}
        if kind.partial:
            params["partial_response"] = "true"
        leaves = rng.random() < self._scenario.clients.impatient
        data = Client(address).request([query], params)
        record: dict[str, Any] = {
            "demand": demand.number,
            "number": number,
            "coordinator": coordinator,
            "query_class": kind.name,
            "tiles": demand.tiles,
            "start": start,
            "end": query.end_ms,
            "timeout": limit,
            "partial": kind.partial,
            "target": urlencode(params),
        }
        return self._exchange(address, data, record, limit * (rng.random() if leaves else 1.0), leaves)

    def _exchange(
        self,
        address: tuple[str, int],
        data: bytes,
        record: dict[str, Any],
        limit: float,
        leaves: bool,
    ) -> float | None:
        connection: Connection | None = None
        record["sent"] = sent = time.monotonic()
        # The client's own clock starts a little before the co-ordinator's; it hangs on a little past its time so
        # that a late answer is seen as late and not taken for none.
        slack = 0.0 if leaves else 0.5
        try:
            connection = self._pool.take(address) or self._pool.connect(address, 1.0)
            record["port"] = connection.near
            connection.until = sent + limit + slack
            connection.write(data)
            reply = connection.reader.response()
            body = connection.reader.body(reply.headers, is_response=True)
        except (OSError, Closed, HttpError) as error:
            if connection:
                connection.close()
            left = leaves and isinstance(error, TimeoutError)
            what = "left" if left else "timeout" if isinstance(error, TimeoutError) else "closed"
            what = "unreached" if connection is None else what
            self._recorder.put("try", outcome=what, ended=time.monotonic(), why=str(error), **record)
            return None if left else 0.0
        record["ended"] = time.monotonic()
        record["extra"] = connection.reader.waiting
        if reply.keep_alive and not record["extra"]:
            self._pool.put(address, connection)
        else:
            connection.close()
        headers = reply.headers
        with self._lock:
            record["body"] = [self._at, len(body)]
            self._bodies.write(body)
            self._at += len(body)
        self._recorder.put(
            "try",
            outcome="reply",
            status=reply.status,
            coverage=headers.get(COVERAGE_HEADER.lower()),
            missing=headers.get(MISSING_HEADER.lower()),
            retry_after=headers.get("retry-after"),
            **record,
        )
        if reply.status == 200:
            return None
        return int(headers.get(RETRY_HEADER.lower(), "0")) / 1000
