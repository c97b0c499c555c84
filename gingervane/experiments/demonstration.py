"""The `demo` and `query` commands: a query to a co-ordinator, and its answer printed as tables."""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.table import Table

from gingervane.experiments.embedded import EmbeddedFleet
from gingervane.fronts.client import Answer, Client
from gingervane.fronts.leaf_codec import PATH_HEADER
from gingervane.fronts.routing import COVERAGE_HEADER, MISSING_HEADER
from gingervane.wire.http1 import ConnectionClosedError, HttpError
from gingervane.wire.remote_read import Match, Matcher, Query

_MATCH_KINDS = {"=": Match.EQUAL, "!=": Match.NOT_EQUAL, "=~": Match.REGEX, "!~": Match.NOT_REGEX}
_MATCHER = re.compile(r'\s*([a-zA-Z_][a-zA-Z0-9_]*)\s*(=~|!~|!=|=)\s*"((?:[^"\\]|\\.)*)"\s*')


def parse_selector(text: str) -> tuple[Matcher, ...]:
    """Parse a series selector, `name{label="value", ...}`. Raises ValueError with the position."""
    name, brace, rest = text.strip().partition("{")
    out = [Matcher(Match.EQUAL, "__name__", name.strip())] if name.strip() else []
    if not brace:
        return tuple(out)
    if not rest.endswith("}"):
        raise ValueError("no closing brace at the end")
    position, body = 0, rest[:-1]
    while body[position:].strip():
        match = _MATCHER.match(body, position)
        if not match:
            raise ValueError(f'character {len(name) + 2 + position}: no label="value" here')
        out.append(Matcher(_MATCH_KINDS[match[2]], match[1], re.sub(r"\\(.)", r"\1", match[3])))
        position = match.end()
        if position < len(body) and body[position] != ",":
            raise ValueError(f"character {len(name) + 2 + position}: no comma here")
        position += 1
    return tuple(out)


@contextmanager
def embedded_fleet() -> Iterator[EmbeddedFleet]:
    """Run an embedded fleet, and close it at the end of the context."""
    embedded = EmbeddedFleet()
    try:
        yield embedded
    finally:
        embedded.close()


def run() -> int:
    """Query an embedded fleet and print the answer; return 0 if there was one, 1 if not."""
    with embedded_fleet() as embedded:
        grid = embedded.grid
        Console().print(
            f"{len(grid.nodes)} stand-in nodes in {len(grid.zones)} halls hold {len(grid.tiles)} tiles, each "
            f"{grid.width} times; co-ordinator on {embedded.address[0]}:{embedded.address[1]}"
        )
        end = int(time.time() * 1000)
        matchers = parse_selector('wind_speed{tile=~"t00[0-5]", point="0"}')
        return run_query(embedded.address, matchers, (end - 300_000, end), {"class": "area-report"}, 10.0)


def run_query(
    address: tuple[str, int],
    matchers: tuple[Matcher, ...],
    span: tuple[int, int],
    params: dict[str, str],
    timeout: float,
) -> int:
    """Send a query and print the answer; return 0 if there was one, 1 if not."""
    client = Client(address)
    try:
        answer = client.read([Query(*span, matchers)], params | {"path": "true"}, timeout + 1.0)
    except (OSError, ConnectionClosedError, HttpError) as error:
        Console(stderr=True).print(f"no answer: {error}")
        return 1
    finally:
        client.close()
    if answer.results is None:
        Console(stderr=True).print(f"{answer.status}: {answer.body.decode('utf-8', 'replace').strip()}")
        return 1
    show(answer)
    return 0


def show(answer: Answer) -> None:
    """Print an answer's series, its coverage, and the attempts of each part."""
    console, headers = Console(), answer.headers
    table = Table("series", "samples", "first", "last", title="Answer")
    for series in [s for result in answer.results or () for s in result]:
        labels = dict(series.labels)
        name = labels.pop("__name__", "") + "{" + ", ".join(f'{k}="{v}"' for k, v in labels.items()) + "}"
        values = series.values
        ends = (f"{values[0]:.3f}", f"{values[-1]:.3f}") if len(values) else ("-", "-")
        table.add_row(name, str(len(values)), *ends)
    console.print(table)
    missing = headers.get(MISSING_HEADER.lower())
    console.print(
        f"coverage {headers.get(COVERAGE_HEADER.lower())}" + (f", missing {missing}" if missing else "")
    )
    paths = Table("tile", "attempt", "replica", "outcome", "ms", title="Path of each part")
    for step in headers.get(PATH_HEADER.lower()).split(","):
        if step.count("/") == 4:
            paths.add_row(*step.split("/"))
    console.print(paths)
