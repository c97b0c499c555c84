"""HTTP/1.1 messages, and the errors and size limits of parsing them."""

from __future__ import annotations

from typing import NamedTuple


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
