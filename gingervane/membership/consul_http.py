"""HTTP requests to a Consul agent."""

from __future__ import annotations

from pathlib import Path

from gingervane.wire import http1
from gingervane.wire.http1 import Headers
from gingervane.wire.pool import Pool, exchange

Address = tuple[str, int]


def request_head(request_line: str, agent: Address, field: tuple[str, str], token_file: Path | None) -> bytes:
    """Return a request's head with one header field besides Host and the token.

    The token file is read each time, as tokens are rotated while the process runs. Raises OSError if that fails.
    """
    fields = [("Host", f"{agent[0]}:{agent[1]}"), field]
    if token_file:
        fields.append(("X-Consul-Token", token_file.read_text().strip()))
    return http1.encode_head(request_line, fields)


def get(
    pool: Pool, agent: Address, target: str, token_file: Path | None, deadline: float
) -> tuple[int, Headers, bytes]:
    """Send a GET and return status, headers and body.

    Raises OSError (also if the token file cannot be read), ConnectionClosedError or HttpError.
    """
    head = request_head(f"GET {target} HTTP/1.1", agent, ("Accept", "application/json"), token_file)
    return exchange(pool, agent, head, deadline)
