"""Points of the vector collection that is loaded before a scenario run and not written to during it."""

from __future__ import annotations

from typing import Any

import numpy as np

from gingervane.scenarios.scenario import VectorDay


def fixed_points(day: VectorDay) -> list[dict[str, Any]]:
    """Make the points of the fixed collection; they depend only on `fixed` and `dims`."""
    rng = np.random.default_rng(17)
    vectors = rng.normal(size=(day.fixed, day.dims)).round(3)
    return [{"id": n, "vector": v.tolist(), "payload": {"n": n}} for n, v in enumerate(vectors)]
