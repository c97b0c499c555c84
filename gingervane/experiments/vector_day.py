"""The vector side of a rehearsal: its nodes, its clients, and the look at every holder when the day is over.

Clients write points of their own, each once, and try again by themselves through any co-ordinator: keyed writes with
the same key after anything but an answer, additions only after a refusal. Each try of an addition adds to a field of
its own, so that an effect can be told from the next try's. A fixed collection is never written to in the day, so that
searches of it can be checked while all else moves.
"""

from __future__ import annotations

import json
import random
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from gingervane.scenarios.fixed_points import fixed_points
from gingervane.scenarios.scenario import Scenario
from gingervane.fake_servers.recorder import Recorder
from gingervane.fake_servers.server_list import list_row, write_list
from gingervane.vectors.points import shard_of
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, Headers, HttpError, Limits
from gingervane.wire.pool import Pool, exchange

FIXED, MOVING = "fixed", "moving"
_LIMITS = Limits(16384, 64 << 20)
Address = tuple[str, int]
Targets = Callable[[], list[tuple[int, Address]]]


class VectorNodes:
    """Orders for the stand-ins' process, the co-ordinators' table and their list."""

    def __init__(self, scenario: Scenario, out: Path) -> None:
        assert scenario.vectors is not None
        self._scenario, self.day, self._out = scenario, scenario.vectors, out
        self.ports: list[int] = []
        self._pool = Pool(_LIMITS, 2, 30.0)

    def command(self, began: float) -> list[str]:
        day, path = self.day, self._out / "orders-vectors.json"
        collections = [[name, day.dims, "Cosine"] for name in (FIXED, MOVING)]
        path.write_text(
            json.dumps(
                {
                    "nodes": day.nodes,
                    "collections": collections,
                    "width": day.width,
                    "window": day.window,
                    "model": list(self._scenario.nodes.model()),
                    "records": str(self._out / "vectors.jsonl"),
                    "faults": {
                        n: [vars(f) for f in found]
                        for n, found in self._scenario.vector_faults(began).items()
                    },
                }
            )
        )
        return [sys.executable, "-m", "gingervane.fake_servers.vectors", str(path)]

    def table(self, number: int) -> dict[str, Any]:
        """Settings of one co-ordinator; its classes must be named as here."""
        day = self.day
        return {
            "membership": {"file": str(self._out / "vectors.toml"), "interval": 0.05},
            "cells": day.nodes,
            "width": day.width,
            "quorum": day.quorum,
            "search_class": "vector-search",
            "upsert_class": "vector-upsert",
            "add_class": "vector-add",
            "repair_sweep": 20.0,
            "intents": str(self._out / f"intents-{number}"),
            "collection": [{"name": name, "dims": day.dims} for name in (FIXED, MOVING)],
        }

    def classes(self) -> list[dict[str, Any]]:
        times = {"aim": self.day.timeout * 0.6, "deadline": self.day.timeout, "late_worth": 0.5}
        return [
            {"name": "vector-search", **times, "least_share": 0.75},
            {"name": "vector-upsert", **times, "semantics": "keyed", "repeat_window": self.day.window},
            {"name": "vector-add", **times, "semantics": "unsafe"},
        ]

    def write_list(self) -> None:
        zones = self._scenario.nodes.zones
        rows = [
            list_row(n, f"127.0.0.1:{port}", zones[n % len(zones)], n, "ready", None, name=f"v{n}")
            for n, port in enumerate(self.ports)
        ]
        write_list(self._out / "vectors.toml", "\n".join(rows))

    def load(self) -> None:
        """Put the fixed points at their holders, past any co-ordinator, before the day."""
        day, by_shard = self.day, dict[int, list[Any]]()
        for point in fixed_points(day):
            row = {**point, "version": 1, "ops": 0, "deleted": False}
            by_shard.setdefault(shard_of(point["id"], day.nodes), []).append(row)
        for shard, rows in by_shard.items():
            for back in range(day.width):
                target = f"/collections/{FIXED}/shards/{shard}/put"
                self._node((shard + back) % day.nodes, "POST", target, {"points": rows})

    def marks(self) -> dict[int, dict[int, dict[str, Any]]]:
        """What each holder has of each shard of the moving collection, by node and shard."""
        day, out = self.day, dict[int, dict[int, dict[str, Any]]]()
        for node in range(day.nodes):
            for back in range(day.width):
                shard = (node - back) % day.nodes
                try:
                    found = self._node(node, "GET", f"/collections/{MOVING}/shards/{shard}/marks", None)
                except (OSError, Closed, HttpError):
                    found = {}  # a node that is down at the end has nothing, for all that can be seen
                out.setdefault(node, {})[shard] = found
        return out

    def _node(self, node: int, method: str, target: str, content: Any) -> Any:
        body = b"" if content is None else orjson.dumps(content)
        fields = [("Host", "node"), ("Content-Length", str(len(body)))]
        data = http1.head(f"{method} {target} HTTP/1.1", fields) + body
        status, _, reply = exchange(
            self._pool, ("127.0.0.1", self.ports[node]), data, time.monotonic() + 20.0
        )
        if status != 200:
            raise OSError(f"{target}: {status}")
        return orjson.loads(reply)["result"]


class VectorLoad:
    """Plays the day's writes and searches; every try is recorded."""

    def __init__(self, scenario: Scenario, recorder: Recorder, targets: Targets) -> None:
        assert scenario.vectors is not None
        self._day, self._seconds, self._recorder, self._targets = (
            scenario.vectors,
            scenario.seconds,
            recorder,
            targets,
        )
        self._rng = random.Random(scenario.seed + 1)
        self._pool = Pool(_LIMITS, 256, 20.0)
        self._fixed = fixed_points(self._day)

    def play(self, began: float) -> None:
        """Start each demand at its time; returns when the last has ended."""
        day, rng = self._day, self._rng
        rate, at, number = day.upserts + day.adds + day.searches, 0.0, 0
        threads: list[threading.Thread] = []
        while (at := at + rng.expovariate(rate)) < self._seconds:
            kind = rng.choices(("upsert", "add", "search"), (day.upserts, day.adds, day.searches))[0]
            if (wait := began + at - time.monotonic()) > 0:
                time.sleep(wait)
            work = {"upsert": self._upsert, "add": self._add, "search": self._search}[kind]
            thread = threading.Thread(target=work, args=(number, random.Random(rng.random())), daemon=True)
            thread.start()
            threads.append(thread)
            number += 1
        for thread in threads:
            thread.join(60.0)

    def _upsert(self, number: int, rng: random.Random) -> None:
        vector = [round(rng.gauss(0, 1), 3) for _ in range(self._day.dims)]
        count = rng.choice((1, 1, 3))
        points = [{"id": 4 * number + i, "vector": vector, "payload": {"d": number}} for i in range(count)]
        ids = [point["id"] for point in points]
        until = time.monotonic() + self._day.window / 2
        for attempt in range(self._day.tries):
            status = self._try(
                "PUT",
                f"{MOVING}/points",
                {"points": points},
                rng,
                {"key": f"k{number}"},
                kind="upsert",
                demand=number,
                number=attempt,
                points=ids,
            )
            if status in (200, 409, 422) or time.monotonic() > until:
                return
            time.sleep(self._day.backoff * rng.uniform(0.5, 1.5))

    def _add(self, number: int, rng: random.Random) -> None:
        point = rng.randrange(
            self._day.fixed
        )  # of the moving collection, where few of them are points at all
        for attempt in range(self._day.tries):
            name = f"d{number}t{attempt}"
            status = self._try(
                "POST",
                f"{MOVING}/points/payload?increment=true",
                {"payload": {name: 1}, "points": [4 * point]},
                rng,
                {},
                kind="add",
                demand=number,
                number=attempt,
                points=[4 * point],
                name=name,
            )
            if status != 503:
                return
            time.sleep(self._day.backoff * rng.uniform(0.5, 1.5))

    def _search(self, number: int, rng: random.Random) -> None:
        vector = [round(rng.gauss(0, 1), 3) for _ in range(self._day.dims)]
        limit = rng.choice((1, 10, 100))
        self._try(
            "POST",
            f"{FIXED}/points/search?partial_response=1",
            {"vector": vector, "limit": limit},
            rng,
            {},
            kind="search",
            demand=number,
            number=0,
            vector=vector,
            limit=limit,
        )

    def _try(
        self,
        method: str,
        path: str,
        content: Any,
        rng: random.Random,
        keys: dict[str, str],
        **note: Any,
    ) -> int:
        """One try; its status, 0 if there was no reply."""
        targets = self._targets()
        if not targets:
            return 0
        coordinator, address = rng.choice(targets)
        timeout = self._day.timeout
        join = "&" if "?" in path else "?"
        body = orjson.dumps(content)
        fields = [("Host", "x"), ("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        fields += [("Idempotency-Key", key) for key in keys.values()]
        line = f"{method} /collections/{path}{join}timeout={int(timeout * 1000)}ms HTTP/1.1"
        sent = time.monotonic()
        status, headers, reply = 0, Headers([]), b""
        why = ""
        try:
            data = http1.head(line, fields) + body
            status, headers, reply = exchange(self._pool, address, data, sent + timeout + 0.5)
        except (OSError, Closed, HttpError) as error:
            why = f"{type(error).__name__}: {error}"
        ids: Any = None  # of what a search found
        is_search = note["kind"] == "search"
        if status == 200 and is_search:
            ids = [[point["id"], point["score"]] for point in orjson.loads(reply)["result"]]
        self._recorder.put(
            "vector_try",
            kind_of=note.pop("kind"),
            coordinator=coordinator,
            status=status,
            sent=sent,
            ended=time.monotonic(),
            timeout=timeout,
            done=headers.get("gingervane-holders-done"),
            missing=headers.get("gingervane-missing"),
            found=ids,
            why=why,
            **note,
        )
        return status


def settled(targets: Targets, patience: float) -> bool:
    """Wait until no co-ordinator says that anything is owed; whether that came about."""
    pool, until = Pool(_LIMITS, 1, 30.0), time.monotonic() + patience
    while time.monotonic() < until:
        owed = 0.0
        for _, address in targets():
            try:
                data = http1.head("GET /metrics HTTP/1.1", [("Host", "x")])
                _, _, text = exchange(pool, address, data, time.monotonic() + 5.0)
            except (OSError, Closed, HttpError):
                owed += 1
                continue
            for row in text.decode().splitlines():
                if row.startswith("gingervane_vector_shards_owed "):
                    owed += float(row.split()[1])
        if not owed:
            return True
        time.sleep(0.25)
    return False
