"""Selects the shards that a remote read query touches, by its matchers on the shard label. Free of I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from functools import lru_cache

import re2

from gingervane.wire.remote_read import Match, Matcher


class PatternError(ValueError):
    """A regular expression that RE2 rejects."""


_CACHED_PATTERNS = 512  # patterns whose matching shards a shard index caches
_LITERALS = re.compile(r"[^\\.+*?()\[\]{}^$]*\Z")  # no special character except `|`

_options = re2.Options()
_options.log_errors = False
_options.max_mem = 1 << 20  # bytes


@lru_cache(maxsize=1024)
def compile_pattern(pattern: str) -> re2._Regexp[str]:
    """Compile a pattern as Prometheus does: with RE2, anchored at both ends. Matching takes linear time.

    Raises PatternError.
    """
    try:
        return re2.compile("^(?s:" + pattern + ")$", _options)
    except re2.error as error:
        raise PatternError(f"regular expression {pattern!r}: {_error_text(error)}") from None


def _error_text(error: Exception) -> str:
    detail = error.args[0] if error.args else error
    return detail.decode("utf-8", "replace") if isinstance(detail, bytes) else str(detail)


def matches(matcher: Matcher, value: str) -> bool:
    """Return whether a label value (empty if the label is absent) satisfies a matcher."""
    match matcher.kind:
        case Match.EQUAL:
            return value == matcher.value
        case Match.NOT_EQUAL:
            return value != matcher.value
        case Match.REGEX:
            return compile_pattern(matcher.value).match(value) is not None
        case Match.NOT_REGEX:
            return compile_pattern(matcher.value).match(value) is None


class ShardIndex:
    """The known shards by the value of their label, in a fixed order; a shard's number is its index."""

    def __init__(self, label: str, names: Sequence[str]) -> None:
        self.label = label
        self.names = tuple(names)
        self._number_by_name = {name: i for i, name in enumerate(names)}
        # Dashboards repeat the same patterns, and the shards that a pattern matches do not change.
        self._shards_of_pattern = lru_cache(maxsize=_CACHED_PATTERNS)(self._match_all)

    def _match_all(self, pattern: str) -> frozenset[int]:
        if _LITERALS.match(pattern):  # an alternation of plain names: look them up
            return frozenset(
                self._number_by_name[name] for name in pattern.split("|") if name in self._number_by_name
            )
        matcher = Matcher(Match.REGEX, self.label, pattern)
        return frozenset(i for i, name in enumerate(self.names) if matches(matcher, name))

    def matching_shards(self, matchers: Sequence[Matcher]) -> list[int]:
        """Return the numbers of the shards that may hold matching series.

        Raises PatternError for an invalid pattern on any label.
        """
        candidates: Sequence[int] = range(len(self.names))
        for matcher in matchers:
            if matcher.kind in (Match.REGEX, Match.NOT_REGEX):
                compile_pattern(matcher.value)
            if matcher.name != self.label:
                continue
            if matcher.kind is Match.EQUAL:
                number = self._number_by_name.get(matcher.value)
                candidates = [number] if number is not None and number in candidates else []
            elif matcher.kind is Match.NOT_EQUAL:
                candidates = [i for i in candidates if self.names[i] != matcher.value]
            else:
                pattern_shards = self._shards_of_pattern(matcher.value)
                candidates = [i for i in candidates if (i in pattern_shards) == (matcher.kind is Match.REGEX)]
        return list(candidates)
