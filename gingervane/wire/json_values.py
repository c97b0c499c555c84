"""A splitter of a byte stream into JSON values, compact or indented. Free of I/O.

Values are objects or arrays. A value may span lines and chunks, and a line or chunk may hold several values.
Values are not validated: only brackets outside of strings are counted. After a malformed value the splitter
resynchronises at a sequence that no well-formed value contains: a line end inside a string, an empty line, or
an object at the start of a line where no object may nest.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

_TOKEN_OUTSIDE_STRING = re.compile(rb'["{}\[\]\n]')
_TOKEN_IN_STRING = re.compile(rb'["\\\n]')
_LINE_FEED = 0x0A


class ValueTooLongError(Exception):
    """A value that is longer than the limit."""


class JsonValue(NamedTuple):
    """One value. If not `well_formed`, its brackets were not balanced and `data` holds the skipped bytes."""

    data: bytes
    well_formed: bool


class JsonSplitter:
    """Splits a stream into values of at most `max_bytes` each."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._position = 0  # in the buffer: the first byte that has not been scanned
        self._depth = 0  # number of open brackets
        self._line_start = 0  # in the buffer: the start of the current line
        self._in_string = False

    def feed(self, data: bytes) -> Iterator[JsonValue]:
        """Yield the values that `data` completes. The stream is unusable after a ValueTooLongError."""
        self._buffer += data
        while token := (_TOKEN_IN_STRING if self._in_string else _TOKEN_OUTSIDE_STRING).search(
            self._buffer, self._position
        ):
            at, letter = token.start(), token.group()
            self._position = at + 1
            if letter == b"\\":
                if self._position == len(self._buffer):
                    self._position = at  # the escaped byte has not arrived yet
                    break
                self._position += self._buffer[self._position] != _LINE_FEED  # a line end cannot be escaped
            elif letter == b"\n":
                empty = not self._buffer[self._line_start : at].strip()
                self._line_start = self._position
                if not self._depth or self._in_string or empty:
                    yield from self._emit(self._position, well_formed=False)
            elif letter == b'"':
                self._in_string = not self._in_string if self._depth else False
            elif letter in b"{[":
                if not self._depth or (letter == b"{" and at == self._line_start and not self._may_nest(at)):
                    # A new value begins, and the bytes before it are malformed.
                    yield from self._emit(at, well_formed=False)
                    self._position = 1
                self._depth += 1
            elif self._depth:
                self._depth -= 1
                if not self._depth:
                    yield from self._emit(self._position, well_formed=True)
        else:
            self._position = len(self._buffer)
        if len(self._buffer) > self._max_bytes:
            raise ValueTooLongError(f"value exceeds {self._max_bytes} bytes")

    def _may_nest(self, at: int) -> bool:
        """Return whether an object may nest at `at`: after a comma, a colon or an opening bracket."""
        while self._buffer[at - 1] in b" \t\r\n":
            at -= 1
        return self._buffer[at - 1] in b",:["

    def _emit(self, end: int, well_formed: bool) -> Iterator[JsonValue]:
        """Yield the buffer up to `end` unless it is blank, discard it, and reset the scan state."""
        data = bytes(self._buffer[:end]).strip()
        del self._buffer[:end]
        self._line_start = max(self._line_start - end, 0)
        self._position = 0
        self._depth = 0
        self._in_string = False
        if data:
            yield JsonValue(data, well_formed)
