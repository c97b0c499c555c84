"""Replies of the vector API: results and errors in Qdrant's JSON envelope."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

import orjson

from gingervane.coordinator import types as t
from gingervane.fronts.http_server import Reply
from gingervane.fronts.routing import rejection_headers

HeaderField = tuple[str, str]  # name and value


def result_reply(result: Any, arrived: float, fields: Iterable[HeaderField] = ()) -> Reply:
    """Return 200 with a result. `arrived` is the time of the request, on the monotonic clock."""
    seconds = round(time.monotonic() - arrived, 6)
    return _json_reply(200, {"result": result, "status": "ok", "time": seconds}, fields)


def error_reply(status: int, detail: str, fields: Iterable[HeaderField] = ()) -> Reply:
    """Return an error reply with `detail` as its text."""
    return _json_reply(status, {"status": {"error": detail}, "time": 0.0, "result": None}, fields)


def collection_not_found(name: str) -> Reply:
    """Return 404 for a collection that is not configured."""
    return error_reply(404, f"Not found: Collection `{name}` doesn't exist!")


def rejection_reply(detail: str, retry_after: float, proof: bool = True) -> Reply:
    """Return 503: the request may be retried safely. `proof`: no part of the request was executed."""
    fields = rejection_headers(retry_after, proof)
    return error_reply(503, f"refused: {detail or 'refused'}", fields)


def failure_reply(detail: str) -> Reply:
    """Return 502: the outcome of the request is unknown."""
    return error_reply(502, f"failed: {detail}")


def unsuccessful_search_reply(result: t.QueryResult) -> Reply:
    """Return the reply to a search that was rejected or failed."""
    if result.status is t.QueryStatus.REJECTED:
        return rejection_reply(result.detail, result.retry_after, proof=False)
    return failure_reply(result.detail or "no answer in time")


def _json_reply(status: int, content: Any, fields: Iterable[HeaderField]) -> Reply:
    return Reply(status, [("Content-Type", "application/json"), *fields], orjson.dumps(content))
