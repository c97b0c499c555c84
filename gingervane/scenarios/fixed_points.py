"""Points of the vector collection that is loaded before a rehearsal and never written to."""

from __future__ import annotations

from typing import Any

import numpy as np

from gingervane.scenarios.scenario import VectorDay


def fixed_points(day: VectorDay) -> list[dict[str, Any]]:
    """Make the points of the fixed collection, which depend on their number and their dimensions alone."""
    rng = np.random.default_rng(17)
    vectors = rng.normal(size=(day.fixed, day.dims)).round(3)
    return [{"id": n, "vector": v.tolist(), "payload": {"n": n}} for n, v in enumerate(vectors)]
