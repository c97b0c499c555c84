"""Which leaves an answer holds: told by a child in a header, checked and summed by its parent. Free of I/O.

A child is asked for a list of shards in an order that both know. It answers with a bitmap over that list (bit i of
byte i // 8, lowest first, in base64) and with the number of series that it holds of each held shard, run-length
coded. The numbers make a bitmap checkable: what the answer's series say of themselves must agree with it.
"""

from __future__ import annotations

import base64
import binascii
from collections import Counter
from collections.abc import Iterable, Sequence

MAX_LEAVES = 20_000


class CoverageError(ValueError):
    """What a child says of its leaves cannot be so."""


def encode(asked: Sequence[str], held: dict[str, int]) -> tuple[str, str]:
    """Bitmap and series counts of the shards `held`, which maps a shard to its number of series."""
    bits = bytearray((len(asked) + 7) // 8)
    runs: list[list[int]] = []  # [count, repeated]
    for index, name in enumerate(asked):
        if name in held:
            bits[index // 8] |= 1 << index % 8
            if runs and runs[-1][0] == held[name]:
                runs[-1][1] += 1
            else:
                runs.append([held[name], 1])
    counts = ".".join(f"{count}" if repeated == 1 else f"{count}x{repeated}" for count, repeated in runs)
    return base64.b64encode(bytes(bits)).decode(), counts


def decode(asked: Sequence[str], bitmap: str, counts: str) -> dict[str, int]:
    """The shards that a child says it holds, with their numbers of series. Raises CoverageError."""
    if len(asked) > MAX_LEAVES:
        raise CoverageError(f"{len(asked)} leaves asked, over the bound of {MAX_LEAVES}")
    try:
        bits = base64.b64decode(bitmap, validate=True)
    except (binascii.Error, ValueError):
        raise CoverageError("bitmap: not base64") from None
    if len(bits) != (len(asked) + 7) // 8:
        raise CoverageError(f"bitmap: {len(bits)} bytes for {len(asked)} leaves")
    if len(asked) % 8 and bits[-1] >> len(asked) % 8:
        raise CoverageError("bitmap: a leaf past the last one asked for")
    held = [name for index, name in enumerate(asked) if bits[index // 8] >> index % 8 & 1]
    numbers: list[int] = []
    for run in counts.split(".") if counts else []:
        count, _, repeated = run.partition("x")
        if (
            not count.isdigit()
            or len(count) > 9
            or (repeated and not repeated.isdigit())
            or len(repeated) > 6
        ):
            raise CoverageError(f"counts: {run[:20]!r} is no run")
        if len(numbers) + int(repeated or 1) > len(held):
            raise CoverageError(f"counts: more than the {len(held)} leaves held")
        numbers += [int(count)] * int(repeated or 1)
    if len(numbers) != len(held):
        raise CoverageError(f"counts: {len(numbers)} for {len(held)} leaves")
    return dict(zip(held, numbers, strict=True))


def verify(held: dict[str, int], met: Iterable[str]) -> None:
    """Hold what a child says against the shard of each series in its answer. Raises CoverageError."""
    found = Counter(met)
    for name, count in found.items():
        if name not in held:
            raise CoverageError(f"a series of {name!r}, which the child does not hold or was not asked for")
        if held[name] != count:
            raise CoverageError(f"{count} series of {name!r}, the child says {held[name]}")
    for name, count in held.items():
        if count and not found[name]:
            raise CoverageError(f"no series of {name!r}, the child says {count}")


def leaves_with_series(asked: Sequence[str], met: Iterable[str]) -> dict[str, int]:
    """The leaves that an answer without coverage headers proves: those of which it holds series.

    A shard without series may be empty or may be lacking: nothing proves which. It is not counted as held, so that
    it is asked directly. Raises CoverageError for a shard that was not asked for.
    """
    found = Counter(met)
    if strangers := set(found) - set(asked):
        raise CoverageError(f"a series of {min(strangers)!r}, which was not asked for")
    return dict(found)


class LeafCoverage:
    """The leaves of one wide query: each is in at most once, whatever path it came by.

    `weights` sum to 1. The share is the sum over leaves, never over children.
    """

    def __init__(self, weights: dict[str, float]) -> None:
        self._weights = weights
        self._source: dict[str, int] = {}  # leaf -> the answer that gave it

    @property
    def share(self) -> float:
        return 1.0 if self.complete else sum(self._weights[name] for name in self._source)

    @property
    def complete(self) -> bool:
        return len(self._source) == len(self._weights)

    def missing_leaves(self) -> list[str]:
        return [name for name in self._weights if name not in self._source]

    def add(self, source: int, held: Iterable[str]) -> set[str]:
        """Take the leaves of an answer; those that are new. The caller keeps the series of these alone."""
        fresh = {name for name in held if name in self._weights and name not in self._source}
        for name in fresh:
            self._source[name] = source
        return fresh

    def source(self, name: str) -> int | None:
        return self._source.get(name)
