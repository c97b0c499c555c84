"""Where one JSON value ends and the next begins in a stream of bytes, dense or indented. Free of I/O.

Values are objects or arrays. One may span lines and chunks, several may share one. It does not check a value, it only
counts brackets outside of strings; so what comes after a spoilt one is found again by what no sound value has: a line
end inside a string, an empty line, or an object that begins a line where nothing can stand before it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

_OUTSIDE, _INSIDE = re.compile(rb'["{}\[\]\n]'), re.compile(rb'["\\\n]')


class ValueTooLongError(Exception):
    """A value that does not end within the bound."""


class JsonValue(NamedTuple):
    """`sound`: its brackets close; else `data` is what had to be skipped."""

    data: bytes
    well_formed: bool


class JsonSplitter:
    """Cuts a stream into values. `most`: bytes of one value, at the most."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes, self._buffer = max_bytes, bytearray()
        self._position = self._depth = self._line_start = (
            0  # read so far; open brackets; where the present line begins
        )
        self._in_string = False

    def feed(self, data: bytes) -> Iterator[JsonValue]:
        """The values that `data` completes, in order. Raises TooLong; the stream is of no further use then."""
        self._buffer += data
        while token := (_INSIDE if self._in_string else _OUTSIDE).search(self._buffer, self._position):
            at, letter = token.start(), token.group()
            self._position = at + 1
            if letter == b"\\":
                if self._position == len(self._buffer):
                    self._position = at  # what it escapes has not come yet
                    break
                self._position += self._buffer[self._position] != 0x0A  # a line end ends any string
            elif letter == b"\n":
                empty = not self._buffer[self._line_start : at].strip()
                self._line_start = self._position
                if not self._depth or self._in_string or empty:
                    yield from self._emit(self._position, well_formed=False)
            elif letter == b'"':
                self._in_string = not self._in_string if self._depth else False
            elif letter in b"{[":
                if not self._depth or (letter == b"{" and at == self._line_start and not self._may_nest(at)):
                    yield from self._emit(
                        at, well_formed=False
                    )  # a new value begins, whatever stood before it
                    self._position = 1
                self._depth += 1
            elif self._depth:
                self._depth -= 1
                if not self._depth:
                    yield from self._emit(self._position, well_formed=True)
        else:
            self._position = len(self._buffer)
        if len(self._buffer) > self._max_bytes:
            raise ValueTooLongError(f"a value of over {self._max_bytes} bytes")

    def _may_nest(self, at: int) -> bool:
        """Whether an object may stand inside the open value here: after a comma, a colon or an opening bracket."""
        while self._buffer[at - 1] in b" \t\r\n":
            at -= 1
        return self._buffer[at - 1] in b",:["

    def _emit(self, end: int, well_formed: bool) -> Iterator[JsonValue]:
        """Let go of all up to `end`, and be outside of any value."""
        data = bytes(self._buffer[:end]).strip()
        del self._buffer[:end]
        self._line_start = max(self._line_start - end, 0)
        self._position, self._depth, self._in_string = 0, 0, False
        if data:
            yield JsonValue(data, well_formed)
