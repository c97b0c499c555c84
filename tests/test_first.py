"""A query from a client through a co-ordinator to fake replicas, checked against recomputed data."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
import pytest

from gingervane.experiments.embedded import EmbeddedFleet
from gingervane.fake_servers import data
from gingervane.fronts.client import Client
from gingervane.wire.remote_read import Match, Matcher, Query


@pytest.fixture(scope="module")
def fleet() -> Iterator[EmbeddedFleet]:
    embedded = EmbeddedFleet()
    yield embedded
    embedded.close()


def test_answers_equal_recomputed_data(fleet: EmbeddedFleet) -> None:
    client = Client(fleet.address)
    end = 1_764_600_000_000
    queries = [
        Query(end - 600_000, end, (Matcher(Match.REGEX, "tile", "t00[0-3]"),)),
        Query(end - 60_000, end, (Matcher(Match.EQUAL, "__name__", "wind_speed"),)),
        Query(end, end + 60_000, (Matcher(Match.EQUAL, "tile", "no such tile"),)),
    ]
    answer = client.read(queries, {"class": "area-report"}, 5.0)
    assert answer.status == 200 and answer.headers.get("gingervane-coverage") == "1"
    assert answer.results is not None
    for query, result in zip(queries, answer.results, strict=True):
        matcher = query.matchers[0]
        tiles = fleet.grid.tiles[:4] if matcher.kind is Match.REGEX else fleet.grid.tiles
        tiles = [] if matcher.value == "no such tile" else tiles
        expected = sorted((s for tile in tiles for s in data.answer(tile, query)), key=lambda s: s.labels)
        assert [s.labels for s in result] == [s.labels for s in expected]
        for series, expected_series in zip(result, expected, strict=True):
            assert np.array_equal(series.timestamps, expected_series.timestamps) and np.array_equal(
                series.values, expected_series.values
            )
    client.close()
