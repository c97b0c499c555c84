"""Shared by all HTTP fronts: routes, parameters, and the headers of rejections and partial answers.

A front needs only this module and `coordinator.dispatch`, which submits a query and waits for its result.
Neither depends on a particular protocol.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

from gingervane.fronts.http_server import Exchange, Reply, plain
from gingervane.interface import RetrySafety
from gingervane.wire.http1 import HttpError, Request

BEGAN_HEADER = "Gingervane-Began"
RETRY_HEADER = "Gingervane-Retry-After-Ms"
COVERAGE_HEADER = "Gingervane-Coverage"
MISSING_HEADER = "Gingervane-Missing"

_MAX_HEADER_LENGTH = 4000  # characters in a header's value
_MAX_DURATION = 1e6  # seconds
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m)?\Z")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, None: 1.0}


class FrontQueryClass(NamedTuple):
    """A query class, with the indexes of its variants in the decision engines.

    The first three variants differ in the least share of the parts that makes an answer.
    """

    strict_class: int  # all parts
    partial_class: int  # `required_share`
    collecting_class: int  # any share, for a parent that adds up the shares of its children
    subtree_class: int  # the class for subtrees, in the decision engine that queries children
    deadline: float  # seconds
    retry_safety: RetrySafety
    required_share: float


class Route(NamedTuple):
    """A method and a path that a front handles. Segments of `path` in braces are parameters of `handle`."""

    method: str
    path: str
    handle: Callable[[Request, bytes, float, Exchange, dict[str, str]], Reply]


class Front(Protocol):
    """One protocol over HTTP."""

    def routes(self) -> Iterable[Route]:
        """Return the routes that this front handles."""
        ...


class Router:
    """The routes of all fronts; the first matching route handles a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = [(route, tuple(route.path.split("/"))) for route in routes]

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]] | Reply:
        """Return the route of a request and its path parameters, or an error reply if no route matches."""
        segments = path.split("/")
        allowed: list[str] = []
        for route, pattern in self._routes:
            parameters = _match_path(pattern, segments)
            if parameters is None:
                continue
            if route.method == method:
                return route, parameters
            allowed.append(route.method)
        if allowed:
            fields = (("Allow", ", ".join(sorted(allowed))),)
            return plain(405, f"{path}: only {', '.join(sorted(allowed))} is spoken here", fields=fields)
        return plain(404, f"no such page: {path}")


def _match_path(pattern: Sequence[str], segments: Sequence[str]) -> dict[str, str] | None:
    """Return the parameters in a path by name; None if it does not match the pattern."""
    if len(segments) != len(pattern):
        return None
    parameters: dict[str, str] = {}
    for expected, segment in zip(pattern, segments, strict=True):
        if expected[:1] == "{":
            parameters[expected[1:-1]] = segment
        elif expected != segment:
            return None
    return parameters


def duration(text: str, where: str) -> float:
    """Parse a duration such as `500ms`, `2s` or `1.5` into seconds. Raises HttpError."""
    match = _DURATION.match(text)
    seconds = float(match[1]) * _UNITS[match[2]] if match else 0.0
    if not 0 < seconds < _MAX_DURATION:
        raise HttpError(400, f"{where}: {text!r} is no duration over 0", True)
    return seconds


def flag(text: str, where: str) -> bool:
    """Parse `true`, `1`, `false` or `0`. Raises HttpError."""
    value = {"true": True, "1": True, "false": False, "0": False}.get(text)
    if value is None:
        raise HttpError(400, f"{where}: {text!r} is neither true nor false", True)
    return value


def rejection(
    retry_after: float,
    reason: str,
    done: Callable[[], None] = lambda: None,
    proof: bool = False,
) -> Reply:
    """Return a 503, which promises that the client may retry and that no work on the query continues.

    `proof`: also promise that nothing of the query was ever executed.
    """
    reply = plain(503, f"refused: {reason}", fields=rejection_headers(retry_after, proof))
    return reply._replace(done=done)


def rejection_headers(retry_after: float, proof: bool) -> tuple[tuple[str, str], ...]:
    """Return the headers of a rejection: the retry delay, in seconds and in milliseconds, and the proof.

    `proof`: nothing of the query was ever executed.
    """
    fields = (
        ("Retry-After", str(max(math.ceil(retry_after), 1))),
        (RETRY_HEADER, str(math.ceil(retry_after * 1000))),
    )
    return (*fields, (BEGAN_HEADER, "no")) if proof else fields


def coverage_fields(complete: bool, share: float, missing: Iterable[str]) -> list[tuple[str, str]]:
    """Return the coverage headers; the share is rounded down, so that it never appears to reach a bound."""
    fields = [(COVERAGE_HEADER, "1" if complete else f"{math.floor(share * 1e6) / 1e6:g}")]
    return fields if complete else [*fields, (MISSING_HEADER, bounded_header_value(list(missing)))]


def bounded_header_value(words: list[str]) -> str:
    """Join words by commas into a header value of bounded length; it ends in the number of words left out."""
    kept_words: list[str] = []
    remaining = _MAX_HEADER_LENGTH
    for index, word in enumerate(words):
        printable = re.sub(r"[^!-+\--~ ]", "_", word)
        remaining -= len(printable) + 1
        if remaining < 0:
            return ",".join([*kept_words, f"+{len(words) - index}"])
        kept_words.append(printable)
    return ",".join(kept_words)
