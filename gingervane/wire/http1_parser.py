"""A strict, bounded HTTP/1.1 parser (RFC 9110, 9112) that takes bytes as they arrive. Free of I/O.

Messages that a proxy in front could parse differently are rejected: Content-Length together with chunked, two
lengths, a bare LF or CR, white space before a colon, folded lines. After such an error the start of the next
message is unknown, so the connection cannot be reused; `HttpError.connection_reusable` marks the errors after
which it can.

The parts of a message are parsed by generators, which yield when they need more bytes than the buffer has, and are
resumed with whether any were added (false at the end of the stream). Of an incomplete head, its bytes alone are kept.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from gingervane.wire.http1_messages import (
    ConnectionClosedError,
    Headers,
    HttpError,
    Limits,
    Request,
    Response,
)

T = TypeVar("T")
Steps = Generator[None, bool, T]  # yields to ask for bytes; is sent whether there were any

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(rb"[!-~]+\Z")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r"[0-9]{1,18}\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,12}\Z")
_PLAIN_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,6})\r\n")
_MAX_CHUNK_LINE_BYTES = 1024  # of the line with the size and the extensions of a chunk
# Lines cost more time than their bytes do. Clients send a dozen; common servers accept 100 header fields.
_MAX_HEAD_LINES = 100  # empty lines before a message, its first line and its header fields; also trailers
_SMALL_CHUNK_BYTES = 64
_MAX_SMALL_CHUNKS = 1024  # of one body
_CR = 13


@dataclass(slots=True)
class _LineBudget:
    """What a head, or the trailers of a body, may still take."""

    bytes_left: int
    lines_left: int = _MAX_HEAD_LINES + 1  # with the empty line at its end


class MessageParser:
    """Parses the messages of one connection from `buffer`, to which its owner adds the bytes that arrive."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.buffer = bytearray()
        self._position = 0  # in the buffer, of the first byte that is not parsed yet
        self._searched = 0  # in the buffer; no line ends between the position and this
        self._body = bytearray()  # of a chunked message, as far as it has been parsed
        self._extension_bytes = 0  # of the chunks of the present body

    @property
    def has_buffered(self) -> bool:
        """Whether bytes of a further message have been received."""
        return bool(self.buffer)

    @property
    def held_bytes(self) -> int:
        """Bytes that are kept of the present message and those after it, with what the buffers have in reserve."""
        return self.buffer.__alloc__() + self._body.__alloc__()

    def _take_line(self, max_bytes: int, description: str, status: int = 431) -> bytes | None:
        """Return the next line without its CRLF, or None if it is incomplete. `max_bytes` bounds it with its CRLF."""
        end = self.buffer.find(b"\n", self._searched)
        length = (len(self.buffer) if end < 0 else end + 1) - self._position
        if length > max_bytes:
            raise HttpError(status, f"{description}: longer than {max_bytes} bytes")
        if end < 0:
            self._searched = len(self.buffer)
            return None
        if end == self._position or self.buffer[end - 1] != _CR:
            raise HttpError(400, f"{description}: a line ends in LF without CR")
        line = bytes(self.buffer[self._position : end - 1])
        self._position = self._searched = end + 1
        if b"\r" in line:
            raise HttpError(400, f"{description}: CR inside a line")
        return line

    def _take_budgeted_line(self, budget: _LineBudget, description: str) -> bytes | None:
        """Return the next line of a head or of trailers. Raises HttpError if they are over their limits."""
        line = self._take_line(budget.bytes_left, description)
        if line is not None:
            budget.bytes_left -= len(line) + 2
            budget.lines_left -= 1
            if budget.lines_left < 0:
                raise HttpError(431, f"{description}: more than {_MAX_HEAD_LINES} lines")
        return line

    def _drop_parsed(self) -> None:
        """Remove the parsed bytes from the buffer."""
        del self.buffer[: self._position]
        self._position = self._searched = 0

    def _take(self, length: int) -> bytes:
        """Remove and return the next `length` bytes, which have arrived."""
        if length == len(self.buffer):
            data = bytes(self.buffer)
        else:
            with memoryview(self.buffer) as view, view[:length] as part:
                data = bytes(part)
        del self.buffer[:length]
        return data

    # ---- heads

    def _head(self, description: str) -> Steps[tuple[bytes, Headers]]:
        """Return the first line and the header fields of the next message."""
        if not self.buffer and not (yield):
            raise ConnectionClosedError(clean=True)
        budget = _LineBudget(self.limits.head)
        first_line = yield from self._first_line(budget, description)
        fields_start = self._position
        pairs: list[tuple[str, str]] | None = []
        number = 1
        while True:
            where = f"{description} header {number}"
            line = self._take_budgeted_line(budget, where)
            if line is None:
                pairs = None  # parsed once more when the head is complete, as they take more memory than the bytes
                if not (yield):
                    raise ConnectionClosedError(clean=False)
                continue
            if not line:
                break
            pair = _parse_field(line, where)
            number += 1
            if pairs is not None:
                pairs.append(pair)
        if pairs is None:
            lines = bytes(self.buffer[fields_start : self._position]).split(b"\r\n")[:-2]
            pairs = [_parse_field(line, description) for line in lines]
        self._drop_parsed()
        return first_line, Headers(pairs)

    def _first_line(self, budget: _LineBudget, description: str) -> Steps[bytes]:
        while True:
            line = self._take_budgeted_line(budget, description + " line")
            if line:
                return line
            # Empty lines before a message are skipped (RFC 9112, 2.2).
            if line is None and not (yield):
                raise ConnectionClosedError(clean=False)

    def request_steps(self) -> Steps[Request]:
        """Parse the head of the next request. Raises ConnectionClosedError, HttpError."""
        first_line, headers = yield from self._head("request")
        words = first_line.split(b" ")
        if len(words) != 3 or not _TOKEN.match(words[0]) or not _TARGET.match(words[1]):
            raise HttpError(400, "request line: not METHOD TARGET VERSION")
        version = _parse_version(words[2], "request line")
        if version >= (1, 1) and len(headers.get_all("host")) != 1:
            raise HttpError(400, "request headers: Host must stand there once")
        _check_framing(headers, "request")
        return Request(words[0].decode(), words[1].decode(), version, headers)

    def response_steps(self) -> Steps[Response]:
        """Parse the head of the next final response, skipping interim ones. Raises as `request_steps` does."""
        while True:
            first_line, headers = yield from self._head("response")
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

    # ---- bodies

    def body_steps(self, headers: Headers, is_response: bool = False, none: bool = False) -> Steps[bytes]:
        """Parse the body that belongs to a head. `none`: the response has no body (204, 304)."""
        if none:
            return b""
        if headers.get_all("transfer-encoding"):
            return (yield from self._chunked_steps())
        lengths = headers.get_all("content-length")
        if lengths:
            return (yield from self._exact_steps(int(lengths[0]), "body"))
        return (yield from self._rest_steps()) if is_response else b""

    def _exact_steps(self, length: int, description: str) -> Steps[bytes]:
        """Return the next `length` bytes. Raises HttpError if that exceeds the limit of a body."""
        if length > self.limits.body:
            raise HttpError(413, f"{description}: {length} bytes, over the limit of {self.limits.body}")
        return (yield from self._bytes_steps(length))

    def _rest_steps(self) -> Steps[bytes]:
        """Return all bytes up to the end of the stream."""
        while (yield):
            if len(self.buffer) > self.limits.body:
                raise HttpError(413, f"body: over the limit of {self.limits.body} bytes")
        return self._take(len(self.buffer))

    def _chunked_steps(self) -> Steps[bytes]:
        """Return a complete chunked body."""
        self._body = body = bytearray()
        index = 1
        small_chunks = 0
        self._extension_bytes = 0
        while True:
            count, small_count = self._take_plain_chunks(body)
            index += count
            small_chunks += small_count
            if small_chunks <= _MAX_SMALL_CHUNKS:
                data = yield from self.chunk_steps(f"chunk {index}", len(body))
                if not data:
                    break
                body += data
                index += 1
                small_chunks += len(data) < _SMALL_CHUNK_BYTES
            if small_chunks > _MAX_SMALL_CHUNKS:
                detail = f"more than {_MAX_SMALL_CHUNKS} chunks of under {_SMALL_CHUNK_BYTES} bytes"
                raise HttpError(400, f"body: {detail}")
            if self._extension_bytes > self.limits.head:
                raise HttpError(400, f"body: over {self.limits.head} bytes of chunk extensions")
        self._body = bytearray()
        return bytes(body)

    def _take_plain_chunks(self, body: bytearray) -> tuple[int, int]:
        """Move complete chunks without extensions to `body`; return their number, and that of the small ones.

        All others, and the last chunk, are left to `chunk_steps`, which takes several times as long.
        """
        buffer = self.buffer
        position = count = small_count = 0
        while small_count <= _MAX_SMALL_CHUNKS and (line := _PLAIN_CHUNK.match(buffer, position)):
            start = line.end()
            end = start + int(line[1], 16)
            too_long = len(body) + end - start > self.limits.body
            if end == start or too_long or buffer[end : end + 2] != b"\r\n":
                break
            body += buffer[start:end]
            position = end + 2
            count += 1
            small_count += end - start < _SMALL_CHUNK_BYTES
        del buffer[:position]
        return count, small_count

    def chunk_steps(self, where: str = "chunk", body_bytes_before: int = 0) -> Steps[bytes]:
        """Return the next chunk of a body, b"" at its end. `body_bytes_before`: bytes parsed earlier."""
        while (line := self._take_line(_MAX_CHUNK_LINE_BYTES, where + " size", 400)) is None:
            if not (yield):
                raise ConnectionClosedError(clean=False)
        self._drop_parsed()
        size, _, extensions = line.partition(b";")
        self._extension_bytes += len(extensions)
        if not _HEX.match(size.rstrip(b" \t")):
            raise HttpError(400, f"{where}: size is not hexadecimal")
        length = int(size, 16)
        if body_bytes_before + length > self.limits.body:
            raise HttpError(413, f"{where}: body over the limit of {self.limits.body} bytes")
        if not length:
            yield from self._trailer_steps()
            return b""
        data = yield from self._bytes_steps(length + 2)
        if not data.endswith(b"\r\n"):
            raise HttpError(400, f"{where}: not followed by CRLF")
        return data[:-2]

    def _bytes_steps(self, length: int) -> Steps[bytes]:
        """Return the next `length` bytes."""
        while len(self.buffer) < length:
            if not (yield):
                raise ConnectionClosedError(clean=False)
        return self._take(length)

    def _trailer_steps(self) -> Steps[None]:
        budget = _LineBudget(self.limits.head)
        while (line := self._take_budgeted_line(budget, "trailer")) != b"":
            if line is None and not (yield):
                raise ConnectionClosedError(clean=False)
        self._drop_parsed()


class ReceivedRequest(NamedTuple):
    """A complete request."""

    head: Request
    body: bytes


class RequestParser(MessageParser):
    """Parses requests one after another, as their bytes arrive.

    While a request is incomplete the parser and its generator refer to each other: `close` ends that.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self._steps: Steps[ReceivedRequest] | None = None
        self.head: Request | None = None  # of a request whose body is incomplete
        self.awaits_continue = False  # the client sends its body when it is told so

    def advance(self) -> ReceivedRequest | None:
        """Parse what has arrived; return the request if it is complete. Raises HttpError."""
        if self._steps is None and not self.buffer:
            return None
        return self._resume(has_more=True)

    def end(self) -> None:
        """Report the end of the stream. Raises ConnectionClosedError, or HttpError."""
        self._resume(has_more=False)

    def close(self) -> None:
        """Forget the request that is incomplete, and all bytes."""
        self._steps = None
        self.head = None
        self.buffer = bytearray()
        self._body = bytearray()

    def _resume(self, has_more: bool) -> ReceivedRequest | None:
        try:
            if self._steps is None:
                self._steps = self._request_steps()
                next(self._steps)
            else:
                self._steps.send(has_more)
        except StopIteration as end:
            self._steps = None
            request: ReceivedRequest = end.value
            return request
        return None

    def _request_steps(self) -> Steps[ReceivedRequest]:
        head = yield from self.request_steps()
        if head.headers.get("expect"):
            if head.headers.tokens("expect") != ["100-continue"]:
                raise HttpError(417, "request headers: Expect is not 100-continue")
            self.awaits_continue = not self.buffer
        self.head = head
        body = yield from self.body_steps(head.headers)
        self.head = None
        self.awaits_continue = False
        return ReceivedRequest(head, body)


def _parse_field(line: bytes, where: str) -> tuple[str, str]:
    """Return the lower-case name and the value of a header field."""
    if line[:1] in (b" ", b"\t"):
        raise HttpError(400, f"{where}: folded onto a second line")
    name, colon, value = line.partition(b":")
    if not colon or not _TOKEN.match(name):
        raise HttpError(400, f"{where}: no field name before the colon")
    value = value.strip(b" \t")
    if not _VALUE.match(value):
        raise HttpError(400, f"{where} ({name.decode()}): control characters in the value")
    return name.decode().lower(), value.decode("latin-1")


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
