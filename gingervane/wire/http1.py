"""HTTP/1.1 (RFC 9110, 9112) read strictly and within bounds, over anything that receives bytes.

What a proxy in front could read in another way is refused, not guessed at: a length beside chunked, two lengths,
a bare LF or CR, white space before a colon, folded lines. After any such error the connection cannot be used
further: nobody knows where the next message starts. `HttpError.keeps` says whether it can.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import NamedTuple

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(rb"[!-~]+\Z")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r"[0-9]{1,18}\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,12}\Z")
_READ = 65536


class HttpError(Exception):
    """A message that cannot be taken: the `status` to answer with, what is wrong and where.

    `keeps` is true where the whole message was read, so that the connection is in a known state after it.
    """

    def __init__(self, status: int, what: str, keeps: bool = False) -> None:
        super().__init__(what)
        self.status, self.what, self.keeps = status, what, keeps


class Closed(Exception):
    """The other side closed; `clean` if between messages, with not a byte of one read."""

    def __init__(self, clean: bool) -> None:
        super().__init__("closed between messages" if clean else "closed inside a message")
        self.clean = clean


class Limits(NamedTuple):
    """Bounds in bytes on one message."""

    head: int = 16384
    body: int = 16 << 20


class Headers:
    """Header fields by lower-case name."""

    def __init__(self, pairs: list[tuple[str, str]]) -> None:
        self.pairs = pairs

    def get(self, name: str, default: str = "") -> str:
        """The first value of a field."""
        return next((value for key, value in self.pairs if key == name), default)

    def all(self, name: str) -> list[str]:
        return [value for key, value in self.pairs if key == name]

    def words(self, name: str) -> list[str]:
        """The comma-separated, lower-case words of all fields of that name."""
        return [w.strip().lower() for value in self.all(name) for w in value.split(",") if w.strip()]


def _keeps(version: tuple[int, int], headers: Headers) -> bool:
    words = headers.words("connection")
    return "close" not in words and (version >= (1, 1) or "keep-alive" in words)


class Request(NamedTuple):
    method: str
    target: str
    version: tuple[int, int]
    headers: Headers

    @property
    def keep_alive(self) -> bool:
        return _keeps(self.version, self.headers)


class Response(NamedTuple):
    status: int
    reason: str
    version: tuple[int, int]
    headers: Headers

    @property
    def keep_alive(self) -> bool:
        return _keeps(self.version, self.headers)


class Reader:
    """Messages off one connection. `receive(n)` returns up to n bytes, none at the end, and may raise OSError."""

    def __init__(self, receive: Callable[[int], bytes], limits: Limits) -> None:
        self.receive, self.limits, self.buffer = receive, limits, bytearray()
        self.read = 0  # bytes of messages taken off the connection

    @property
    def waiting(self) -> bool:
        """Whether bytes of a further message are here already."""
        return bool(self.buffer)

    def _more(self) -> bool:
        data = self.receive(_READ)
        self.buffer += data
        self.read += len(data)
        return bool(data)

    def _line(self, room: int, what: str, status: int = 431) -> bytes:
        """One line without its CRLF."""
        start = 0
        while (end := self.buffer.find(b"\n", start)) < 0:
            if len(self.buffer) > room:
                raise HttpError(status, f"{what}: longer than {room} bytes")
            start = len(self.buffer)
            if not self._more():
                raise Closed(clean=False)
        if end + 1 > room:
            raise HttpError(status, f"{what}: longer than {room} bytes")
        if end == 0 or self.buffer[end - 1] != 13:
            raise HttpError(400, f"{what}: a line ends in LF without CR")
        line = bytes(self.buffer[: end - 1])
        del self.buffer[: end + 1]
        if b"\r" in line:
            raise HttpError(400, f"{what}: CR inside a line")
        return line

    def _head(self, what: str) -> tuple[bytes, Headers]:
        if not self.buffer and not self._more():
            raise Closed(clean=True)
        room = self.limits.head
        first = b""
        while not first:  # empty lines before a message are passed over (RFC 9112, 2.2)
            first = self._line(room, what + " line")
            room -= len(first) + 2
        pairs: list[tuple[str, str]] = []
        while line := self._line(room, f"{what} header {len(pairs) + 1}"):
            room -= len(line) + 2
            where = f"{what} header {len(pairs) + 1}"
            if line[:1] in (b" ", b"\t"):
                raise HttpError(400, f"{where}: folded onto a second line")
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.match(name):
                raise HttpError(400, f"{where}: no field name before the colon")
            value = value.strip(b" \t")
            if not _VALUE.match(value):
                raise HttpError(400, f"{where} ({name.decode()}): control characters in the value")
            pairs.append((name.decode().lower(), value.decode("latin-1")))
        return first, Headers(pairs)

    def request(self) -> Request:
        """The head of the next request. Raises Closed, HttpError, OSError."""
        first, headers = self._head("request")
        words = first.split(b" ")
        if len(words) != 3 or not _TOKEN.match(words[0]) or not _TARGET.match(words[1]):
            raise HttpError(400, "request line: not METHOD TARGET VERSION")
        version = _version(words[2], "request line")
        if version >= (1, 1) and len(headers.all("host")) != 1:
            raise HttpError(400, "request headers: Host must stand there once")
        _check_framing(headers, "request")
        return Request(words[0].decode(), words[1].decode(), version, headers)

    def response(self) -> Response:
        """The head of the next final response; interim ones are passed over."""
        while True:
            first, headers = self._head("response")
            words = first.split(b" ", 2)
            if len(words) < 2 or not re.fullmatch(rb"[1-5][0-9][0-9]", words[1]):
                raise HttpError(502, "status line: not VERSION STATUS REASON")
            version = _version(words[0], "status line")
            _check_framing(headers, "response")
            status = int(words[1])
            if status == 101:
                raise HttpError(502, "status line: protocol switched, unasked")
            if status >= 200:
                reason = words[2].decode("latin-1") if len(words) > 2 else ""
                return Response(status, reason, version, headers)

    def body(self, headers: Headers, is_response: bool = False, none: bool = False) -> bytes:
        """The body that belongs to a head. `none`: the head allows none (204, 304)."""
        if none:
            return b""
        if headers.all("transfer-encoding"):
            return self._chunked()
        lengths = headers.all("content-length")
        if lengths:
            return self._exactly(int(lengths[0]), "body")
        return self._to_end() if is_response else b""

    def _exactly(self, length: int, what: str) -> bytes:
        if length > self.limits.body:
            raise HttpError(413, f"{what}: {length} bytes, over the limit of {self.limits.body}")
        while len(self.buffer) < length:
            if not self._more():
                raise Closed(clean=False)
        out = bytes(self.buffer[:length])
        del self.buffer[:length]
        return out

    def _to_end(self) -> bytes:
        while self._more():
            if len(self.buffer) > self.limits.body:
                raise HttpError(413, f"body: over the limit of {self.limits.body} bytes")
        out = bytes(self.buffer)
        self.buffer.clear()
        return out

    def pieces(self, headers: Headers) -> Iterator[bytes]:
        """The body of a response as it comes, however framed. One without a length ends as its connection is closed;
        a reset is no end, and raises OSError as anywhere."""
        if headers.all("transfer-encoding"):
            while data := self.chunk():
                yield data
            return
        lengths = headers.all("content-length")
        left = int(lengths[0]) if lengths else None
        while left is None or left > 0:
            if not self.buffer and not self._more():
                if left is None:
                    return
                raise Closed(clean=False)
            data = bytes(self.buffer[:left])
            del self.buffer[: len(data)]
            left = None if left is None else left - len(data)
            yield data

    def _chunked(self) -> bytes:
        out, index = bytearray(), 1
        while data := self.chunk(f"chunk {index}", len(out)):
            out += data
            index += 1
        return bytes(out)

    def chunk(self, where: str = "chunk", before: int = 0) -> bytes:
        """The next chunk of a chunked body, of which `before` bytes count so far; empty at its end."""
        size, _, _ = self._line(1024, where + " size", 400).partition(b";")
        if not _HEX.match(size.rstrip(b" \t")):
            raise HttpError(400, f"{where}: size is not hexadecimal")
        length = int(size, 16)
        if before + length > self.limits.body:
            raise HttpError(413, f"{where}: body over the limit of {self.limits.body} bytes")
        if length:
            data = self._exactly(length, where)
            if self._exactly(2, where) != b"\r\n":
                raise HttpError(400, f"{where}: not followed by CRLF")
            return data
        room = self.limits.head
        while line := self._line(room, "trailer"):
            room -= len(line) + 2
        return b""


def _version(word: bytes, where: str) -> tuple[int, int]:
    if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", word):
        raise HttpError(400, f"{where}: not an HTTP version")
    version = word[5] - 48, word[7] - 48
    if version[0] != 1:
        raise HttpError(505, f"{where}: HTTP/{version[0]}.{version[1]} is not spoken here")
    return version


def _check_framing(headers: Headers, what: str) -> None:
    """Refuse every head that two readers could take for two different lengths."""
    lengths, codings = headers.all("content-length"), headers.words("transfer-encoding")
    if lengths and headers.all("transfer-encoding"):
        raise HttpError(400, f"{what} headers: Content-Length beside Transfer-Encoding")
    if len(lengths) > 1:
        raise HttpError(400, f"{what} headers: Content-Length stands there {len(lengths)} times")
    if lengths and not _DIGITS.match(lengths[0]):
        raise HttpError(400, f"{what} headers: Content-Length is not a number")
    if headers.all("transfer-encoding") and codings != ["chunked"]:
        raise HttpError(501, f"{what} headers: the only Transfer-Encoding spoken here is chunked")


def head(first: str, fields: list[tuple[str, str]]) -> bytes:
    """The bytes of a message's head."""
    return "".join([first, "\r\n", *(f"{k}: {v}\r\n" for k, v in fields), "\r\n"]).encode("latin-1")


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


def response(status: int, fields: list[tuple[str, str]], body: bytes) -> bytes:
    """A whole response of known length."""
    line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return head(line, [*fields, ("Content-Length", str(len(body)))]) + body
