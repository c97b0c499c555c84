"""Which shards a remote read query touches, from its matchers on the shard label. Free of I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from functools import lru_cache

import re2

from gingervane.wire.remote_read import Match, Matcher


class PatternError(ValueError):
    """A regular expression that RE2 does not take, with the matcher that has it."""


_options = re2.Options()
_options.log_errors = False
_options.max_mem = 1 << 20


@lru_cache(maxsize=1024)
def compile_pattern(pattern: str) -> re2._Regexp[str]:
    """A pattern as Prometheus reads it: RE2, anchored at both ends. Linear time, whatever a client sends."""
    try:
        return re2.compile("^(?s:" + pattern + ")$", _options)
    except re2.error as error:
        raise PatternError(f"regular expression {pattern!r}: {_text(error)}") from None


def _text(error: Exception) -> str:
    detail = error.args[0] if error.args else error
    return detail.decode("utf-8", "replace") if isinstance(detail, bytes) else str(detail)


def matches(matcher: Matcher, value: str) -> bool:
    """Whether a label value (empty: the label is absent) satisfies a matcher."""
    match matcher.kind:
        case Match.EQUAL:
            return value == matcher.value
        case Match.NOT_EQUAL:
            return value != matcher.value
        case Match.REGEX:
            return compile_pattern(matcher.value).match(value) is not None
        case Match.NOT_REGEX:
            return compile_pattern(matcher.value).match(value) is None


_LITERALS = re.compile(r"[^\\.+*?()\[\]{}^$]*\Z")  # no special character but the bar
_CACHED_PATTERNS = 512


class ShardIndex:
    """The known shards by the value of their label, in a fixed order; a shard's number is its place."""

    def __init__(self, label: str, names: Sequence[str]) -> None:
        self.label, self.names = label, tuple(names)
        self._number = {name: i for i, name in enumerate(names)}
        # Dashboards ask the same patterns over and over; the shards that one matches do not change.
        self._matched = lru_cache(maxsize=_CACHED_PATTERNS)(self._match_all)

    def _match_all(self, pattern: str) -> frozenset[int]:
        if _LITERALS.match(pattern):  # names with bars between them need no matching
            return frozenset(self._number[name] for name in pattern.split("|") if name in self._number)
        matcher = Matcher(Match.REGEX, self.label, pattern)
        return frozenset(i for i, name in enumerate(self.names) if matches(matcher, name))

    def matching_shards(self, matchers: Sequence[Matcher]) -> list[int]:
        """Numbers of the shards that can hold a match. Raises PatternError, for patterns on any label."""
        left: Sequence[int] = range(len(self.names))
        for matcher in matchers:
            if matcher.kind in (Match.REGEX, Match.NOT_REGEX):
                compile_pattern(matcher.value)
            if matcher.name != self.label:
                continue
            if matcher.kind is Match.EQUAL:
                number = self._number.get(matcher.value)
                left = [number] if number is not None and number in left else []
            elif matcher.kind is Match.NOT_EQUAL:
                left = [i for i in left if self.names[i] != matcher.value]
            else:
                met = self._matched(matcher.value)
                left = [i for i in left if (i in met) == (matcher.kind is Match.REGEX)]
        return list(left)
