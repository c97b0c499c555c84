"""A strict, bounded HTTP/1.1 parser (RFC 9110, 9112) over any source of bytes, and an encoder of messages.

Messages that a proxy in front could parse differently are rejected: Content-Length together with chunked, two
lengths, a bare LF or CR, white space before a colon, folded lines. After such an error the start of the next
message is unknown, so the connection cannot be reused; `HttpError.connection_reusable` marks the errors after
which it can.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(rb"[!-~]+\Z")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r"[0-9]{1,18}\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,12}\Z")
_RECEIVE_BYTES = 65536  # maximum of one call of receive
_MAX_CHUNK_LINE_BYTES = 1024  # of the line with the size and the extensions of a chunk
# Lines cost more time than their bytes do. Clients send a dozen; common servers accept 100 header fields.
_MAX_HEAD_LINES = 100  # empty lines before a message, its first line and its header fields; also trailers
_SMALL_CHUNK_BYTES = 64
_MAX_SMALL_CHUNKS = 1024  # of one body
_CR = 13


class HttpError(Exception):
    """A rejected message. `status` is that of the response, `detail` describes the error and its place.

    `connection_reusable` is true if the complete message was read, so that the next one can be read after it.
    """

    def __init__(self, status: int, detail: str, connection_reusable: bool = False) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.connection_reusable = connection_reusable


class ConnectionClosedError(Exception):
    """The peer closed the connection. `clean`: between messages, before any byte of the next one."""

    def __init__(self, clean: bool) -> None:
        super().__init__("closed between messages" if clean else "closed inside a message")
        self.clean = clean


class Limits(NamedTuple):
    """Size limits of one message, in bytes."""

    head: int = 16 << 10
    body: int = 16 << 20


@dataclass(slots=True)
class _LineBudget:
    """What a head, or the trailers of a body, may still take."""

    bytes_left: int
    lines_left: int = _MAX_HEAD_LINES + 1  # with the empty line at its end


class Headers:
    """Header fields in the order received, with lower-case names."""

    def __init__(self, pairs: list[tuple[str, str]]) -> None:
        self.pairs = pairs

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field, or `default`."""
        return next((value for key, value in self.pairs if key == name), default)

    def get_all(self, name: str) -> list[str]:
        """Return the values of all fields of that name, in order."""
        return [value for key, value in self.pairs if key == name]

    def tokens(self, name: str) -> list[str]:
        """Return the comma-separated tokens of all fields of that name, in lower case."""
        return [
            token.strip().lower()
            for value in self.get_all(name)
            for token in value.split(",")
            if token.strip()
        ]


def _keeps_alive(version: tuple[int, int], headers: Headers) -> bool:
    tokens = headers.tokens("connection")
    return "close" not in tokens and (version >= (1, 1) or "keep-alive" in tokens)


class Request(NamedTuple):
    """The head of a request."""

    method: str
    target: str
    version: tuple[int, int]
    headers: Headers

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry a further message after this one."""
        return _keeps_alive(self.version, self.headers)


class Response(NamedTuple):
    """The head of a response."""

    status: int
    reason: str
    version: tuple[int, int]
    headers: Headers

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry a further message after this one."""
        return _keeps_alive(self.version, self.headers)


class Reader:
    """Reads messages. `receive(n)` returns up to n bytes, b"" at the end of the stream, or raises OSError."""

    def __init__(self, receive: Callable[[int], bytes], limits: Limits) -> None:
        self.receive = receive
        self.limits = limits
        self.buffer = bytearray()
        self.bytes_read = 0  # bytes received from the connection so far
        self._extension_bytes = 0  # of the chunks of the present body

    @property
    def has_buffered(self) -> bool:
        """Whether bytes of a further message have been received."""
        return bool(self.buffer)

    def _receive_more(self) -> bool:
        """Receive once into the buffer. Return False at the end of the stream."""
        data = self.receive(_RECEIVE_BYTES)
        self.buffer += data
        self.bytes_read += len(data)
        return bool(data)

    def _read_line(self, max_bytes: int, description: str, status: int = 431) -> bytes:
        """Return the next line without its CRLF. `max_bytes` bounds the line with its CRLF."""
        start = 0
        while (end := self.buffer.find(b"\n", start)) < 0:
            if len(self.buffer) > max_bytes:
                raise HttpError(status, f"{description}: longer than {max_bytes} bytes")
            start = len(self.buffer)
            if not self._receive_more():
                raise ConnectionClosedError(clean=False)
        if end + 1 > max_bytes:
            raise HttpError(status, f"{description}: longer than {max_bytes} bytes")
        if end == 0 or self.buffer[end - 1] != _CR:
            raise HttpError(400, f"{description}: a line ends in LF without CR")
        line = bytes(self.buffer[: end - 1])
        del self.buffer[: end + 1]
        if b"\r" in line:
            raise HttpError(400, f"{description}: CR inside a line")
        return line

    def _read_budgeted_line(self, budget: _LineBudget, description: str) -> bytes:
        """Return the next line of a head or of trailers. Raises HttpError if they are over their limits."""
        line = self._read_line(budget.bytes_left, description)
        budget.bytes_left -= len(line) + 2
        budget.lines_left -= 1
        if budget.lines_left < 0:
            raise HttpError(431, f"{description}: more than {_MAX_HEAD_LINES} lines")
        return line

    def _read_head(self, description: str) -> tuple[bytes, Headers]:
        """Return the first line and the header fields of the next message."""
        if not self.buffer and not self._receive_more():
            raise ConnectionClosedError(clean=True)
        budget = _LineBudget(self.limits.head)
        first_line = b""
        while not first_line:  # empty lines before a message are skipped (RFC 9112, 2.2)
            first_line = self._read_budgeted_line(budget, description + " line")
        pairs: list[tuple[str, str]] = []
        while line := self._read_budgeted_line(budget, f"{description} header {len(pairs) + 1}"):
            where = f"{description} header {len(pairs) + 1}"
            if line[:1] in (b" ", b"\t"):
                raise HttpError(400, f"{where}: folded onto a second line")
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.match(name):
                raise HttpError(400, f"{where}: no field name before the colon")
            value = value.strip(b" \t")
            if not _VALUE.match(value):
                raise HttpError(400, f"{where} ({name.decode()}): control characters in the value")
            pairs.append((name.decode().lower(), value.decode("latin-1")))
        return first_line, Headers(pairs)

    def request(self) -> Request:
        """Read the head of the next request. Raises ConnectionClosedError, HttpError, OSError."""
        first_line, headers = self._read_head("request")
        words = first_line.split(b" ")
        if len(words) != 3 or not _TOKEN.match(words[0]) or not _TARGET.match(words[1]):
            raise HttpError(400, "request line: not METHOD TARGET VERSION")
        version = _parse_version(words[2], "request line")
        if version >= (1, 1) and len(headers.get_all("host")) != 1:
            raise HttpError(400, "request headers: Host must stand there once")
        _check_framing(headers, "request")
        return Request(words[0].decode(), words[1].decode(), version, headers)

    def response(self) -> Response:
        """Read the head of the next final response, skipping interim ones. Raises as `request` does."""
        while True:
            first_line, headers = self._read_head("response")
            words = first_line.split(b" ", 2)
            if len(words) < 2 or not re.fullmatch(rb"[1-5][0-9][0-9]", words[1]):
                raise HttpError(502, "status line: not VERSION STATUS REASON")
            version = _parse_version(words[0], "status line")
            _check_framing(headers, "response")
            status = int(words[1])
            if status == 101:
                raise HttpError(502, "status line: protocol switched, unasked")
            if status >= 200:
                reason = words[2].decode("latin-1") if len(words) > 2 else ""
                return Response(status, reason, version, headers)

    def body(self, headers: Headers, is_response: bool = False, none: bool = False) -> bytes:
        """Read the body that belongs to a head. `none`: the response has no body (204, 304)."""
        if none:
            return b""
        if headers.get_all("transfer-encoding"):
            return self._read_chunked()
        lengths = headers.get_all("content-length")
        if lengths:
            return self._read_exactly(int(lengths[0]), "body")
        return self._read_to_end() if is_response else b""

    def _read_exactly(self, length: int, description: str) -> bytes:
        """Return the next `length` bytes. Raises HttpError if that exceeds the limit of a body."""
        if length > self.limits.body:
            raise HttpError(413, f"{description}: {length} bytes, over the limit of {self.limits.body}")
        return self._take(length)

    def _take(self, length: int) -> bytes:
        """Return the next `length` bytes."""
        while len(self.buffer) < length:
            if not self._receive_more():
                raise ConnectionClosedError(clean=False)
        data = bytes(self.buffer[:length])
        del self.buffer[:length]
        return data

    def _read_to_end(self) -> bytes:
        """Return all bytes up to the end of the stream."""
        while self._receive_more():
            if len(self.buffer) > self.limits.body:
                raise HttpError(413, f"body: over the limit of {self.limits.body} bytes")
        data = bytes(self.buffer)
        self.buffer.clear()
        return data

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

    def _read_chunked(self) -> bytes:
        """Return a complete chunked body."""
        body = bytearray()
        index = 1
        small_chunks = 0
        self._extension_bytes = 0
        while data := self.read_chunk(f"chunk {index}", len(body)):
            body += data
            index += 1
            small_chunks += len(data) < _SMALL_CHUNK_BYTES
            if small_chunks > _MAX_SMALL_CHUNKS:
                detail = f"more than {_MAX_SMALL_CHUNKS} chunks of under {_SMALL_CHUNK_BYTES} bytes"
                raise HttpError(400, f"body: {detail}")
            if self._extension_bytes > self.limits.head:
                raise HttpError(400, f"body: over {self.limits.head} bytes of chunk extensions")
        return bytes(body)

    def read_chunk(self, where: str = "chunk", body_bytes_before: int = 0) -> bytes:
        """Return the next chunk of a body, b"" at its end. `body_bytes_before`: bytes read earlier."""
        size, _, extensions = self._read_line(_MAX_CHUNK_LINE_BYTES, where + " size", 400).partition(b";")
        self._extension_bytes += len(extensions)
        if not _HEX.match(size.rstrip(b" \t")):
            raise HttpError(400, f"{where}: size is not hexadecimal")
        length = int(size, 16)
        if body_bytes_before + length > self.limits.body:
            raise HttpError(413, f"{where}: body over the limit of {self.limits.body} bytes")
        if length:
            data = self._take(length + 2)
            if not data.endswith(b"\r\n"):
                raise HttpError(400, f"{where}: not followed by CRLF")
            return data[:-2]
        budget = _LineBudget(self.limits.head)
        while self._read_budgeted_line(budget, "trailer"):
            pass
        return b""


def _parse_version(word: bytes, where: str) -> tuple[int, int]:
    if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", word):
        raise HttpError(400, f"{where}: not an HTTP version")
    version = word[5] - 48, word[7] - 48
    if version[0] != 1:
        raise HttpError(505, f"{where}: HTTP/{version[0]}.{version[1]} is not spoken here")
    return version


def _check_framing(headers: Headers, description: str) -> None:
    """Raise HttpError for a head whose body two parsers could delimit differently."""
    lengths = headers.get_all("content-length")
    codings = headers.tokens("transfer-encoding")
    if lengths and headers.get_all("transfer-encoding"):
        raise HttpError(400, f"{description} headers: Content-Length beside Transfer-Encoding")
    if len(lengths) > 1:
        raise HttpError(400, f"{description} headers: Content-Length stands there {len(lengths)} times")
    if lengths and not _DIGITS.match(lengths[0]):
        raise HttpError(400, f"{description} headers: Content-Length is not a number")
    if headers.get_all("transfer-encoding") and codings != ["chunked"]:
        raise HttpError(501, f"{description} headers: the only Transfer-Encoding spoken here is chunked")


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
