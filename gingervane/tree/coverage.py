"""Coverage of an answer by leaf, reported by a child and verified and summed by its parent. Free of I/O.

A parent requests a list of leaves in an order that both sides know. The child reports, in headers, a bitmap
over that list (leaf i is bit i % 8 of byte i // 8, lowest bit first, in base64) and the run-length encoded
number of series of each received leaf. The numbers make the bitmap verifiable: the series in the answer must
agree with them.
"""

from __future__ import annotations

import base64
import binascii
from collections import Counter
from collections.abc import Iterable, Sequence

MAX_LEAVES = 20_000  # in one bitmap
_MAX_COUNT_DIGITS = 9
_MAX_REPEAT_DIGITS = 6


class CoverageError(ValueError):
    """The coverage reported by a child is malformed or contradicts its answer."""


def encode(requested: Sequence[str], series_counts: dict[str, int]) -> tuple[str, str]:
    """Return the bitmap and the encoded series counts of the leaves in `series_counts`."""
    bits = bytearray((len(requested) + 7) // 8)
    runs: list[list[int]] = []  # pairs of a count and how often it is repeated
    for index, leaf in enumerate(requested):
        if leaf not in series_counts:
            continue
        bits[index // 8] |= 1 << index % 8
        if runs and runs[-1][0] == series_counts[leaf]:
            runs[-1][1] += 1
        else:
            runs.append([series_counts[leaf], 1])
    counts = ".".join(
        f"{count}" if repeat_count == 1 else f"{count}x{repeat_count}" for count, repeat_count in runs
    )
    return base64.b64encode(bytes(bits)).decode(), counts


def decode(requested: Sequence[str], bitmap: str, counts: str) -> dict[str, int]:
    """Return the series count of each leaf that a child reports as received. Raises CoverageError."""
    if len(requested) > MAX_LEAVES:
        raise CoverageError(f"{len(requested)} leaves asked, over the bound of {MAX_LEAVES}")
    received = _decode_bitmap(requested, bitmap)
    series_counts = _decode_counts(counts, len(received))
    return dict(zip(received, series_counts, strict=True))


def _decode_bitmap(requested: Sequence[str], bitmap: str) -> list[str]:
    """Return the leaves whose bits are set. Raises CoverageError."""
    try:
        bits = base64.b64decode(bitmap, validate=True)
    except (binascii.Error, ValueError):
        raise CoverageError("bitmap: not base64") from None
    if len(bits) != (len(requested) + 7) // 8:
        raise CoverageError(f"bitmap: {len(bits)} bytes for {len(requested)} leaves")
    if len(requested) % 8 and bits[-1] >> len(requested) % 8:
        raise CoverageError("bitmap: a leaf past the last one asked for")
    return [leaf for index, leaf in enumerate(requested) if bits[index // 8] >> index % 8 & 1]


def _decode_counts(counts: str, expected: int) -> list[int]:
    """Return exactly `expected` series counts. Raises CoverageError."""
    numbers: list[int] = []
    for run in counts.split(".") if counts else []:
        count, _, repeat_count = run.partition("x")
        if not _is_run(count, repeat_count):
            raise CoverageError(f"counts: {run[:20]!r} is no run")
        if len(numbers) + int(repeat_count or 1) > expected:
            raise CoverageError(f"counts: more than the {expected} leaves held")
        numbers += [int(count)] * int(repeat_count or 1)
    if len(numbers) != expected:
        raise CoverageError(f"counts: {len(numbers)} for {expected} leaves")
    return numbers


def _is_run(count: str, repeat_count: str) -> bool:
    if not count.isdigit() or len(count) > _MAX_COUNT_DIGITS:
        return False
    return not repeat_count or (repeat_count.isdigit() and len(repeat_count) <= _MAX_REPEAT_DIGITS)


def verify(series_counts: dict[str, int], series_leaves: Iterable[str]) -> None:
    """Check the reported counts against the leaf of each series in the answer. Raises CoverageError."""
    received_counts = Counter(series_leaves)
    for leaf, count in received_counts.items():
        if leaf not in series_counts:
            raise CoverageError(f"a series of {leaf!r}, which the child does not hold or was not asked for")
        if series_counts[leaf] != count:
            raise CoverageError(f"{count} series of {leaf!r}, the child says {series_counts[leaf]}")
    for leaf, count in series_counts.items():
        if count and not received_counts[leaf]:
            raise CoverageError(f"no series of {leaf!r}, the child says {count}")


def leaves_with_series(requested: Sequence[str], series_leaves: Iterable[str]) -> dict[str, int]:
    """Return the leaves that an answer without coverage headers provably covers, and their numbers of series.

    A leaf without series may be empty or missing, and the answer does not tell which. It does not count as
    received, so that it is queried directly. Raises CoverageError for a leaf that was not requested.
    """
    received_counts = Counter(series_leaves)
    if unexpected := set(received_counts) - set(requested):
        raise CoverageError(f"a series of {min(unexpected)!r}, which was not asked for")
    return dict(received_counts)


class LeafCoverage:
    """The received leaves of one wide query; each leaf counts once, even if several subqueries return it.

    `weights`: the weight of each leaf; they sum to 1.
    """

    def __init__(self, weights: dict[str, float]) -> None:
        self._weights = weights
        self._source: dict[str, int] = {}  # leaf -> id of the subquery that returned it

    @property
    def share(self) -> float:
        """The sum of the weights of the received leaves."""
        return 1.0 if self.complete else sum(self._weights[leaf] for leaf in self._source)

    @property
    def complete(self) -> bool:
        """Whether all leaves have been received."""
        return len(self._source) == len(self._weights)

    def missing_leaves(self) -> list[str]:
        """Return the leaves that have not been received, in the order of `weights`."""
        return [leaf for leaf in self._weights if leaf not in self._source]

    def add(self, source: int, received: Iterable[str]) -> set[str]:
        """Add the leaves of an answer; return the new ones. The caller must keep only the series of these."""
        new_leaves = {leaf for leaf in received if leaf in self._weights and leaf not in self._source}
        for leaf in new_leaves:
            self._source[leaf] = source
        return new_leaves

    def source(self, leaf: str) -> int | None:
        """Return the id of the subquery that first returned a leaf; None if it has not been received."""
        return self._source.get(leaf)
