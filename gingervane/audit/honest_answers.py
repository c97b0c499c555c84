"""The rule on honest answers: sufficient coverage, accurate coverage headers and correct samples."""

from __future__ import annotations

import numpy as np

from gingervane.audit import attempts
from gingervane.audit.records import Day, Record
from gingervane.audit.verdict import Verdict
from gingervane.fake_servers import data
from gingervane.wire import remote_read, snappy
from gingervane.wire.remote_read import Match, Matcher, Query, Series

_COVERAGE_ROUNDING_ERROR = 1e-4
_MAX_BODY = 1 << 28  # bytes of a decompressed answer


def judge(day: Day, samples: bool) -> Verdict:
    """Judge every answer. `samples`: whether answers contain samples, to be compared with recomputed data."""
    verdict = Verdict()
    for record in day.tries:
        if record["outcome"] != "reply" or record["status"] != 200:
            continue
        missing = {name for name in (record["missing"] or "").split(",") if name}
        covered = [tile for tile in record["tiles"] if tile not in missing]
        share = len(covered) / len(record["tiles"])
        fault = _fault(day, record, missing, covered) if samples else None
        name = attempts.describe(record)
        if fault is not None:
            verdict.tested += 1
            verdict.count_breach(f"{name}: {fault}")
            continue
        query_class = day.facts["classes"][record["query_class"]]
        least = query_class["least_share"] if record["partial"] else 1.0
        verdict.count_test(least / max(share, 1e-9) if share < 1 else 0.0, f"{name}: share {share:g}")
    return verdict


def _fault(day: Day, record: Record, missing: set[str], covered: list[str]) -> str | None:
    """Describe what is wrong with an answer's samples or stated coverage; None if both are correct."""
    at, length = record["body"]
    body = snappy.decompress(day.bodies[at : at + length], _MAX_BODY)
    (received,) = remote_read.read_response(body, 1)
    query = Query(record["start"], record["end"], (Matcher(Match.EQUAL, "__name__", "wind_speed"),))
    expected = sorted((s for tile in covered for s in data.answer(tile, query)), key=lambda s: s.labels)
    stated = float(record["coverage"] or "nan")
    share = len(covered) / len(record["tiles"])
    if not _is_same(received, expected):
        return "the samples are not those of the tiles that it covers"
    if abs(stated - share) > _COVERAGE_ROUNDING_ERROR:
        return f"states a coverage of {stated:g}, has {share:g}"
    if missing and not record["partial"]:
        return "not whole, and its client did not ask for that"
    return None


def _is_same(received: list[Series], expected: list[Series]) -> bool:
    return len(received) == len(expected) and all(
        a.labels == b.labels
        and np.array_equal(a.timestamps, b.timestamps)
        and np.array_equal(a.values, b.values)
        for a, b in zip(received, expected, strict=True)
    )
