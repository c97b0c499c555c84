"""The platform's clients: an HTTP request to a plan of parts, and the one final answer back.

Strict: what cannot be a query of this platform gets one 4xx and reaches nobody. Called by the HTTP server's threads;
`_open` is shared by them under a lock. Every decision about a query that is taken is the module's.
"""

from __future__ import annotations

import re
from threading import Lock
from typing import Any
from urllib.parse import unquote

import orjson

from gingervane.coordinator import types as t
from gingervane.coordinator.core import QueryCoordinator, Rejected
from gingervane.fronts.http_server import Exchange, Reply, plain
from gingervane.node.replica_connection_types import FrameCodec, PartResult
from gingervane.wire.frames import Asked
from gingervane.wire.http1 import HttpError, Request

_ID = re.compile(r"[0-9A-Za-z_-]{1,64}\Z")
_MILLISECONDS = re.compile(r"[0-9]{1,9}\Z")
_TOKEN = re.compile(r"[0-9A-Fa-f]{16}\Z")
_WEIGHT_SLACK = 0.002  # of a sum of rounded weights
_STATUS = {t.QueryStatus.REJECTED: 503, t.QueryStatus.FAILED: 500, t.QueryStatus.CLIENT_DISCONNECTED: 500}
_JSON = ("Content-Type", "application/json")


class ClientFront:
    """Handles `POST /CLASS` and `GET /ready`. A class may have any name, those two words among them."""

    def __init__(self, core: QueryCoordinator, class_names: tuple[str, ...], shards: int) -> None:
        self._core, self._shards = core, shards
        self._classes = {name: number for number, name in enumerate(class_names)}
        self._travel = FrameCodec()
        self._lock, self._open = Lock(), set[str]()
        self.ready = False

    def handle(self, request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        path = request.target.partition("?")[0]
        word = path[1:].partition("/")[0]
        word = word if word in self._classes else unquote(word)  # as it stands, or encoded
        if path in ("/ready", "/health") and (request.method != "POST" or word not in self._classes):
            if request.method not in ("GET", "HEAD"):
                return plain(405, "only GET here", fields=(("Allow", "GET"),))
            return plain(200, "ready") if self.ready else plain(503, "not ready")
        try:
            name, plan = self._read(request, word, body, arrived)
        except HttpError as error:
            return plain(error.status, error.what)
        if client.is_disconnected():  # guards against sending on what lay unread when its client went
            return plain(500, "its client has left", close=True)
        with self._lock:
            if name in self._open:
                return plain(409, "X-Request-ID: a request with this id is open")
            self._open.add(name)
        try:
            ticket = self._core.submit(plan)
        except Rejected as error:
            self._close(name)
            return _refusal(str(error), error.retry_after)
        client.watch(ticket.abandon)
        final = ticket.wait()

        def done() -> None:
            self._close(name)
            ticket.release()

        return self._reply(final)._replace(done=done)

    def _close(self, name: str) -> None:
        with self._lock:
            self._open.discard(name)

    def _reply(self, final: t.QueryResult) -> Reply:
        if final.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL):
            values: list[PartResult] = list(final.results.values())
            full = final.status is t.QueryStatus.COMPLETE or final.marked_complete
            pieces = [{"tablet": value.shard, "cell": value.cell} for value in values]
            return Reply(200, [_JSON], orjson.dumps({"full": full, "pieces": pieces}))
        if final.status is t.QueryStatus.REJECTED:
            return _refusal(final.detail or "refused", final.retry_after)
        return plain(_STATUS[final.status], final.detail or "failed")

    # ---- reading

    def _read(self, request: Request, word: str, body: bytes, arrived: float) -> tuple[str, t.QueryPlan]:
        number = self._classes.get(word)
        if number is None:
            raise HttpError(404, "path: no class of that name")
        if request.method != "POST":
            raise HttpError(405, "only POST here")
        name = _one(request, "x-request-id", _ID)
        wait = int(_one(request, "x-timeout-ms", _MILLISECONDS))
        if wait == 0:
            raise HttpError(400, "X-Timeout-Ms: no time at all")
        marks = request.headers.all("x-retried")
        if marks not in ([], ["0"], ["1"]):
            raise HttpError(400, "X-Retried: not 1")
        try:
            data = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise HttpError(400, f"body: {error}") from None
        if not isinstance(data, dict) or not isinstance(data.get("tablets"), list):
            raise HttpError(400, "body: no object with tablets")
        text = data.get("statement")
        if not isinstance(text, str):
            raise HttpError(400, "body: statement is no string")
        parts, cost = self._parts(name, data["tablets"], text.encode())
        kind = self._core.settings.query_classes[number]
        plan = t.QueryPlan(
            number,
            arrived + min(wait / 1000, kind.deadline),
            parts,
            self._travel,
            name,
            marks == ["1"],
            cost,
            (lambda results, whole: self._second(name, text.encode(), kind.second_step_parts, results, whole))
            if kind.second_step_parts
            else None,
        )
        return name, plan

    def _parts(self, name: str, tablets: list[Any], text: bytes) -> tuple[tuple[t.PartPlan, ...], float]:
        """The parts and the guess at their work, in seconds."""
        if not 1 <= len(tablets) <= self._shards:
            raise HttpError(400, f"tablets: {len(tablets)} of them; there are {self._shards} shards")
        parts, seen, cost = [], set[int](), 0.0
        for index, tablet in enumerate(tablets):
            where = f"tablets.{index}"
            if not isinstance(tablet, dict):
                raise HttpError(400, f"{where}: no object")
            shard: Any = tablet.get("tablet")
            weight: Any = tablet.get("fraction")
            guess, token = tablet.get("guess", 0), tablet.get("token")
            if not isinstance(shard, int) or isinstance(shard, bool) or not 0 <= shard < self._shards:
                raise HttpError(400, f"{where}.tablet: no shard")
            if shard in seen:
                raise HttpError(400, f"{where}.tablet: shard {shard} stands there twice")
            if not _is_number(weight) or not 0 < weight <= 1:
                raise HttpError(400, f"{where}.fraction: not above 0 and up to 1")
            if not _is_number(guess) or not 0 <= guess < 1e12:
                raise HttpError(400, f"{where}.guess: no number of microseconds")
            if token is not None and not (isinstance(token, str) and _TOKEN.match(token)):
                raise HttpError(400, f"{where}.token: not 16 hex digits")
            seen.add(shard)
            cost += guess / 1e6
            parts.append(t.PartPlan(shard, float(weight), Asked(f"{name}.{shard}", shard, "", text)))
        if abs(sum(part.weight for part in parts) - 1.0) > _WEIGHT_SLACK:
            raise HttpError(400, "tablets: their fractions do not add up to 1")
        return tuple(parts), cost

    def _second(
        self,
        name: str,
        text: bytes,
        most: int,
        results: dict[int, PartResult],
        whole: bool,
    ) -> tuple[t.PartPlan, ...]:
        """The second step goes to the shards with the highest scores among those that are in."""
        values = sorted(results.values(), key=lambda value: (-value.score, value.shard))
        chosen = values[:most]
        words = (
            f",from={'+'.join(str(v.shard) for v in sorted(values, key=lambda v: v.shard))},whole={whole:d}"
        )
        return tuple(
            t.PartPlan(v.shard, 1 / len(chosen), Asked(f"{name}.{v.shard}.b", v.shard, words, text))
            for v in chosen
        )


def _one(request: Request, name: str, form: re.Pattern[str]) -> str:
    values = request.headers.all(name)
    if len(values) != 1 or not form.match(values[0]):
        raise HttpError(400, f"{name}: must stand there once, as the protocol has it")
    return values[0]


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _refusal(why: str, come_again_in: float) -> Reply:
    fields = (("Retry-After", f"{come_again_in:.3f}"),) if come_again_in > 0 else ()
    return plain(503, why, fields=fields)
