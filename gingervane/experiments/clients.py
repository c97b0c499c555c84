"""Open-loop clients of a scenario run: a query starts at its scheduled time, even if earlier ones are open.

Each attempt of a client requests a time range of its own (`start_ms` is unique), which the co-ordinator
passes on unchanged to the replicas. It identifies the attempt in the records of every socket, so that an
audit needs nothing from the co-ordinator. Every attempt is recorded with the local port of its connection;
bodies of answers go to a separate file and are checked after the run.
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

from gingervane.fake_servers.recorder import Recorder
from gingervane.fronts.client import LIMITS, Client
from gingervane.fronts.routing import COVERAGE_HEADER, MISSING_HEADER, RETRY_HEADER
from gingervane.scenarios.demands import BASE_MS, Demand
from gingervane.scenarios.scenario import Scenario
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Response
from gingervane.wire.pool import Connection, Pool
from gingervane.wire.remote_read import Match, Matcher, Query

_POOL_SIZE = 256  # idle connections to a co-ordinator
_POOL_IDLE = 20.0  # seconds
_CONNECT_TIMEOUT = 1.0  # seconds
_JOIN_TIMEOUT = 60.0  # seconds to wait for each demand's thread once the last demand has started
# Seconds past its time-out that a client still reads, so that a late answer is recorded as late, not missing.
# The client's time-out starts a little before the co-ordinator's. Not used by clients that disconnect early.
_LATE_ANSWER_WAIT = 0.5


class ClientLoad:
    """Runs the demands; each attempt goes to one of the co-ordinators that `targets` returns at that time."""

    def __init__(
        self,
        scenario: Scenario,
        recorder: Recorder,
        bodies: Path,
        targets: Callable[[], list[tuple[int, tuple[str, int]]]],
    ) -> None:
        self._scenario = scenario
        self._recorder = recorder
        self._targets = targets
        self._bodies = bodies.open("wb")
        self._body_at = 0  # offset of the next body in the file
        self._pool = Pool(LIMITS, _POOL_SIZE, _POOL_IDLE)
        self._starts = itertools.count(BASE_MS)
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []

    def run(self, all_demands: list[Demand], began: float) -> None:
        """Start each demand at its time, on a thread of its own, and wait for all of them."""
        for demand in all_demands:
            if (wait := began + demand.at - time.monotonic()) > 0:
                time.sleep(wait)
            thread = threading.Thread(target=self._demand, args=(demand,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join(_JOIN_TIMEOUT)
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
            wait = self._attempt(demand, number, rng)
            if wait is None:
                return
            time.sleep(wait if wait and rng.random() < clients.honour else clients.backoff)

    def _attempt(self, demand: Demand, number: int, rng: random.Random) -> float | None:
        """Make one attempt; return the Retry-After in seconds, 0 if none, or None if there is no retry."""
        targets = self._targets()
        if not targets:
            return 0.0
        coordinator, address = rng.choice(targets)
        clients, kind = self._scenario.clients, demand.kind
        start = next(self._starts)
        tiles = Matcher(Match.REGEX, "tile", "|".join(demand.tiles))
        metric = Matcher(Match.EQUAL, "__name__", "wind_speed")
        query = Query(start, start + clients.range_ms, (metric, tiles))
        timeout = kind.deadline * (1.0 - rng.random() * (1.0 - clients.try_share))
        params = {"class": kind.name, "timeout": f"{int(timeout * 1000)}ms"}
        if kind.partial:
            params["partial_response"] = "true"
        disconnects_early = rng.random() < clients.impatient
        data = Client(address).request([query], params)
        record: dict[str, Any] = {
            "demand": demand.number,
            "number": number,
            "coordinator": coordinator,
            "query_class": kind.name,
            "tiles": demand.tiles,
            "start": start,
            "end": query.end_ms,
            "timeout": timeout,
            "partial": kind.partial,
            "target": urlencode(params),
        }
        answer_timeout = timeout * (rng.random() if disconnects_early else 1.0)
        return self._exchange(address, data, record, answer_timeout, disconnects_early)

    def _exchange(
        self,
        address: tuple[str, int],
        data: bytes,
        record: dict[str, Any],
        answer_timeout: float,
        disconnects_early: bool,
    ) -> float | None:
        """Send a request and read the answer; `answer_timeout` is the client's time-out in seconds."""
        connection: Connection | None = None
        record["sent"] = sent = time.monotonic()
        late_answer_wait = 0.0 if disconnects_early else _LATE_ANSWER_WAIT
        try:
            connection = self._pool.acquire_idle(address) or self._pool.connect(address, _CONNECT_TIMEOUT)
            record["port"] = connection.local_port
            connection.deadline = sent + answer_timeout + late_answer_wait
            connection.write(data)
            reply = connection.reader.response()
            body = connection.reader.body(reply.headers, is_response=True)
        except (OSError, ConnectionClosedError, HttpError) as error:
            if connection:
                connection.close()
            outcome = _outcome_of(error, connection is not None, disconnects_early)
            self._recorder.put("try", outcome=outcome, ended=time.monotonic(), why=str(error), **record)
            return None if disconnects_early and isinstance(error, TimeoutError) else 0.0
        record["ended"] = time.monotonic()
        record["extra"] = connection.reader.has_buffered
        if reply.keep_alive and not record["extra"]:
            self._pool.release(address, connection)
        else:
            connection.close()
        self._record_reply(record, reply, body)
        if reply.status == 200:
            return None
        return int(reply.headers.get(RETRY_HEADER.lower(), "0")) / 1000

    def _record_reply(self, record: dict[str, Any], reply: Response, body: bytes) -> None:
        """Record an answered attempt and keep the body of the answer."""
        headers = reply.headers
        with self._lock:
            record["body"] = [self._body_at, len(body)]
            self._bodies.write(body)
            self._body_at += len(body)
        self._recorder.put(
            "try",
            outcome="reply",
            status=reply.status,
            coverage=headers.get(COVERAGE_HEADER.lower()),
            missing=headers.get(MISSING_HEADER.lower()),
            retry_after=headers.get("retry-after"),
            **record,
        )


def _outcome_of(error: Exception, is_connected: bool, disconnects_early: bool) -> str:
    """Return the recorded outcome of an attempt that got no answer."""
    if not is_connected:
        return "unreached"
    if isinstance(error, TimeoutError):
        return "left" if disconnects_early else "timeout"
    return "closed"
