"""What every front says and where: routes, parameters, and replies of what is refused, failed or short.

With `coordinator.desk`, which hands a question to the core, this is all that a front needs; neither knows a protocol.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from gingervane.fronts.http_server import Exchange, Reply, plain
from gingervane.interface import RetrySafety
from gingervane.wire.http1 import HttpError, Request

BEGAN_HEADER, RETRY_HEADER = "Gingervane-Began", "Gingervane-Retry-After-Ms"
COVERAGE_HEADER, MISSING_HEADER = "Gingervane-Coverage", "Gingervane-Missing"
_MAX_HEADER_LENGTH = 4000
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m)?\Z")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, None: 1.0}


class FrontQueryClass(NamedTuple):
    """A class as fronts name it: the module's numbers of its twins and, in the branch module, of itself."""

    strict_class: int
    partial_class: int
    collecting_class: int
    subtree_class: int
    deadline: float
    retry_safety: RetrySafety
    required_share: float


class Route(NamedTuple):
    """Where a front listens. `path` may have words in braces, which are handed over by name."""

    method: str
    path: str
    handle: Callable[[Request, bytes, float, Exchange, dict[str, str]], Reply]


class Front(Protocol):
    """One protocol over HTTP."""

    def routes(self) -> Iterable[Route]: ...


class Router:
    """Paths of all fronts; the first that fits is taken."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = [(route, tuple(route.path.split("/"))) for route in routes]

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]] | Reply:
        """The route for a request and the words in its path, or the reply that there is none."""
        words, allowed = path.split("/"), []
        for route, pattern in self._routes:
            if len(words) != len(pattern):
                continue
            named: dict[str, str] = {}
            for want, word in zip(pattern, words, strict=True):
                if want[:1] == "{":
                    named[want[1:-1]] = word
                elif want != word:
                    break
            else:
                if route.method == method:
                    return route, named
                allowed.append(route.method)
        if allowed:
            fields = (("Allow", ", ".join(sorted(allowed))),)
            return plain(405, f"{path}: only {', '.join(sorted(allowed))} is spoken here", fields=fields)
        return plain(404, f"no such page: {path}")


def duration(text: str, where: str) -> float:
    """Seconds of `500ms`, `2s`, `1.5`. Raises HttpError."""
    match = _DURATION.match(text)
    seconds = float(match[1]) * _UNITS[match[2]] if match else 0.0
    if not 0 < seconds < 1e6:
        raise HttpError(400, f"{where}: {text!r} is no duration over 0", True)
    return seconds


def flag(text: str, where: str) -> bool:
    """`true`, `1`, `false` or `0`. Raises HttpError."""
    found = {"true": True, "1": True, "false": False, "0": False}.get(text)
    if found is None:
        raise HttpError(400, f"{where}: {text!r} is neither true nor false", True)
    return found


def rejection(
    wait: float,
    why: str,
    until: float,
    done: Callable[[], None] = lambda: None,
    proof: bool = False,
) -> Reply:
    """503: trying again is harmless, and nothing of the query goes on. `proof`: nothing of it ever began."""
    reply = plain(503, f"refused: {why}", fields=rejection_headers(wait, proof))
    return reply._replace(until=until, done=done)


def rejection_headers(wait: float, proof: bool) -> tuple[tuple[str, str], ...]:
    """When to come back, in seconds and exactly."""
    fields = (("Retry-After", str(max(math.ceil(wait), 1))), (RETRY_HEADER, str(math.ceil(wait * 1000))))
    return (*fields, (BEGAN_HEADER, "no")) if proof else fields


def coverage_fields(whole: bool, share: float, missing: Iterable[str]) -> list[tuple[str, str]]:
    """What an answer covers; rounded down, so that none under a share seems to have it."""
    fields = [(COVERAGE_HEADER, "1" if whole else f"{math.floor(share * 1e6) / 1e6:g}")]
    return fields if whole else [*fields, (MISSING_HEADER, bounded_header_value(list(missing)))]


def bounded_header_value(words: list[str]) -> str:
    """Words in one header value; what does not fit is counted."""
    out: list[str] = []
    room = _MAX_HEADER_LENGTH
    for index, word in enumerate(words):
        word = re.sub(r"[^!-+\--~ ]", "_", word)
        room -= len(word) + 1
        if room < 0:
            return ",".join([*out, f"+{len(words) - index}"])
        out.append(word)
    return ",".join(out)
