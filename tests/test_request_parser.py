"""The incremental parser of requests gives what the blocking reader gives, wherever the bytes are cut."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits, Reader
from gingervane.wire.http1_parser import RequestParser

LIMITS = Limits(head=2000, body=3000)
PIECES = [
    b"GET / HTTP/1.1\r\n",
    b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Host: x\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 5000\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"5;ext=1\r\nhello\r\n",
    b"1\r\nx\r\n" * 30,
    b"0\r\na:b\r\n\r\n",
    b"a:b\r\n" * 60,
    b"a: " + b"v" * 900 + b"\r\n",
    b"\n",
    b"\r",
    b"\x00",
]


def read_whole(message: bytes) -> list[Any]:
    arriving = iter([message])
    reader, results = Reader(lambda _: next(arriving, b""), LIMITS), list[Any]()
    try:
        while True:
            head = reader.request()
            results.append((head.method, head.target, head.headers.pairs, reader.body(head.headers)))
    except HttpError as error:
        return [*results, (error.status, error.detail)]
    except ConnectionClosedError as error:
        return [*results, error.clean]


def parse_pieces(pieces: list[bytes]) -> list[Any]:
    parser, results = RequestParser(LIMITS), list[Any]()
    try:
        for piece in pieces:
            parser.buffer += piece
            while (request := parser.advance()) is not None:
                head = request.head
                results.append((head.method, head.target, head.headers.pairs, request.body))
        while True:
            parser.end()
    except HttpError as error:
        return [*results, (error.status, error.detail)]
    except ConnectionClosedError as error:
        return [*results, error.clean]


@given(st.lists(st.sampled_from(PIECES), max_size=9), st.integers(1, 60))
def test_requests_and_errors_do_not_depend_on_where_bytes_are_cut(drawn: list[bytes], size: int) -> None:
    message = b"".join(drawn)
    pieces = [message[start : start + size] for start in range(0, len(message), size)]
    assert parse_pieces(pieces) == read_whole(message)


def test_an_incomplete_head_is_kept_as_its_bytes_alone() -> None:
    parser = RequestParser(Limits())
    sent = b"POST /x HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 90
    for byte in sent:
        parser.buffer.append(byte)
        assert parser.advance() is None
    assert len(sent) <= parser.held_bytes <= 2 * len(sent)
    parser.close()
    assert parser.held_bytes == 0
