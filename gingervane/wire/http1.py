"""HTTP/1.1 over any source of bytes: a reader of messages that waits for them, and an encoder of messages."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from gingervane.wire.http1_messages import (
    ConnectionClosedError,
    Headers,
    HttpError,
    Limits,
    Request,
    Response,
)
from gingervane.wire.http1_parser import MessageParser, Steps, T

__all__ = [
    "REASONS",
    "ConnectionClosedError",
    "Headers",
    "HttpError",
    "Limits",
    "Reader",
    "Request",
    "Response",
    "encode_head",
    "encode_response",
]

_RECEIVE_BYTES = 65536  # maximum of one call of receive


class Reader(MessageParser):
    """Reads messages. `receive(n)` returns up to n bytes, b"" at the end of the stream, or raises OSError."""

    def __init__(self, receive: Callable[[int], bytes], limits: Limits) -> None:
        super().__init__(limits)
        self.receive = receive
        self.bytes_read = 0  # bytes received from the connection so far

    def _receive_more(self) -> bool:
        """Receive once into the buffer. Return False at the end of the stream."""
        data = self.receive(_RECEIVE_BYTES)
        self.buffer += data
        self.bytes_read += len(data)
        return bool(data)

    def _run(self, steps: Steps[T]) -> T:
        """Return the result of a parsing step, receiving as often as it asks for bytes."""
        try:
            next(steps)
            while True:
                steps.send(self._receive_more())
        except StopIteration as end:
            result: T = end.value
            return result

    def request(self) -> Request:
        """Read the head of the next request. Raises ConnectionClosedError, HttpError, OSError."""
        return self._run(self.request_steps())

    def response(self) -> Response:
        """Read the head of the next final response, skipping interim ones. Raises as `request` does."""
        return self._run(self.response_steps())

    def body(self, headers: Headers, is_response: bool = False, none: bool = False) -> bytes:
        """Read the body that belongs to a head. `none`: the response has no body (204, 304)."""
        return self._run(self.body_steps(headers, is_response, none))

    def read_chunk(self, where: str = "chunk", body_bytes_before: int = 0) -> bytes:
        """Return the next chunk of a body, b"" at its end. `body_bytes_before`: bytes read earlier."""
        return self._run(self.chunk_steps(where, body_bytes_before))

    def iter_body(self, headers: Headers) -> Iterator[bytes]:
        """Yield the body of a response as it arrives, in any framing.

        A body without a length ends when the peer closes the connection. A reset raises OSError.
        """
        if headers.get_all("transfer-encoding"):
            while data := self.read_chunk():
                yield data
            return
        lengths = headers.get_all("content-length")
        remaining = int(lengths[0]) if lengths else None
        while remaining is None or remaining > 0:
            if not self.buffer and not self._receive_more():
                if remaining is None:
                    return
                raise ConnectionClosedError(clean=False)
            data = bytes(self.buffer[:remaining])
            del self.buffer[: len(data)]
            remaining = None if remaining is None else remaining - len(data)
            yield data


def encode_head(first_line: str, fields: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a message's head."""
    return "".join([first_line, "\r\n", *(f"{k}: {v}\r\n" for k, v in fields), "\r\n"]).encode("latin-1")


REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    417: "Expectation Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
    508: "Loop Detected",
}


def encode_response(status: int, fields: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of a complete response with its Content-Length."""
    line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return encode_head(line, [*fields, ("Content-Length", str(len(body)))]) + body
