"""Types that the handlers of the vector API share: settings, decoded requests, and URL parameters."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from gingervane.fronts.http_server import Exchange, Reply
from gingervane.fronts.routing import FrontQueryClass, duration, flag
from gingervane.vectors.points import Collection
from gingervane.vectors.requests import RequestLimits
from gingervane.wire.http1 import HttpError, Request

NAME = "vectors"  # of the front, in the limits that it shares with other fronts


class VectorFrontSettings(NamedTuple):
    """Settings of the vector front."""

    collections: Mapping[str, Collection]
    shard_count: int
    replication_factor: int
    write_quorum: int  # replicas of a shard that must have executed a write
    search_class: str
    upsert_class: str
    add_class: str
    request_limits: RequestLimits


class VectorRequest(NamedTuple):
    """A request to a collection, with its JSON body decoded."""

    collection: Collection
    body: dict[str, Any]
    http: Request
    url_parameters: Mapping[str, str]
    arrived: float  # on the monotonic clock


def read_url_parameters(request: Request) -> dict[str, str]:
    """Return the query parameters of the URL. Of a repeated parameter, the last value counts."""
    return dict(parse_qsl(request.target.partition("?")[2], keep_blank_values=True))


Execution = Callable[[Exchange], Reply]  # executes a decoded request


class ExecutionParameters(NamedTuple):
    """Query class, deadline and form of answer that a request asks for."""

    class_name: str
    query_class: FrontQueryClass
    deadline: float  # of the client, on the monotonic clock
    partial_allowed: bool  # the client accepts partial answers


def read_parameters(
    values: Mapping[str, str], arrived: float, classes: Mapping[str, FrontQueryClass], default_class: str
) -> ExecutionParameters:
    """Read the parameters class, timeout and partial_response among those of a URL. Raises HttpError."""
    name = values.get("class", default_class)
    query_class = classes.get(name)
    if query_class is None or query_class.retry_safety is not classes[default_class].retry_safety:
        raise HttpError(400, f"parameter class: {name!r} is no class for this", True)
    timeout = query_class.deadline
    if "timeout" in values:
        timeout = duration(values["timeout"], "parameter timeout")
    partial_allowed = flag(values.get("partial_response", "0"), "parameter partial_response")
    deadline = arrived + min(timeout, query_class.deadline)
    return ExecutionParameters(name, query_class, deadline, partial_allowed)
