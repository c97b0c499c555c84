"""Remote read client for the command line, the load tool and tests."""

from __future__ import annotations

import time
from typing import NamedTuple
from urllib.parse import urlencode

from gingervane.fronts.leaf_codec import CONTENT_TYPE, PATH, VERSION, VERSION_HEADER
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Headers, Limits
from gingervane.wire.pool import Pool, exchange
from gingervane.wire.remote_read import Query, Series

LIMITS = Limits(head=16384, body=256 << 20)  # maximum bytes of a reply
_MAX_IDLE_CONNECTIONS = 64
_MAX_IDLE_AGE = 30.0  # seconds
_MAX_RESULTS = 4096  # in one reply


class Answer(NamedTuple):
    """A reply. `results` is None unless the status is 200."""

    status: int
    headers: Headers
    body: bytes
    results: list[list[Series]] | None


class Client:
    """A client that pools its connections; safe to use from several threads."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._pool = Pool(LIMITS, _MAX_IDLE_CONNECTIONS, _MAX_IDLE_AGE)

    def request(self, queries: list[Query], params: dict[str, str]) -> bytes:
        """Encode a request."""
        body = snappy.compress(remote_read.write_request([remote_read.write_query(q) for q in queries]))
        target = PATH + ("?" + urlencode(params) if params else "")
        fields = [
            ("Host", f"{self.address[0]}:{self.address[1]}"),
            ("Content-Type", CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            (VERSION_HEADER, VERSION),
            ("Content-Length", str(len(body))),
        ]
        return http1.encode_head(f"POST {target} HTTP/1.1", fields) + body

    def read(self, queries: list[Query], params: dict[str, str], timeout: float) -> Answer:
        """Send queries and wait for the answer. Raises OSError, ConnectionClosedError or HttpError."""
        return self.send(self.request(queries, params), timeout)

    def send(self, data: bytes, timeout: float) -> Answer:
        """Send an encoded request and read its reply, which is decoded if its status is 200."""
        status, headers, body = self.exchange(data, timeout)
        results = None
        if status == 200:
            results = remote_read.read_response(snappy.decompress(body, LIMITS.body), _MAX_RESULTS)
        return Answer(status, headers, body, results)

    def exchange(self, data: bytes, timeout: float) -> tuple[int, Headers, bytes]:
        """Send an encoded request and return the status, headers and undecoded body of its reply."""
        return exchange(self._pool, self.address, data, time.monotonic() + timeout)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
