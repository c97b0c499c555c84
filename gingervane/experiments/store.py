"""Runs of experiments, kept: settings, seed, version of the code, figures and whole histograms, in a DuckDB file.

DuckDB because it is embedded, columnar, and durable by itself: a run is one transaction, and what a crash cuts off
was not there. A run is named by its experiment, cell, seed, world and version; one that is there is not played again.
Owner: one process at a time (DuckDB holds a lock on the file); workers hand their runs to it.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any, NamedTuple

import duckdb

import gingervane

_TABLE = """
CREATE TABLE IF NOT EXISTS runs (
    experiment VARCHAR, cell VARCHAR, seed INTEGER, world VARCHAR, version VARCHAR,
    error VARCHAR, kept BOOLEAN, asked DOUBLE, served DOUBLE, bound DOUBLE, seconds DOUBLE,
    report JSON, histograms JSON,
    PRIMARY KEY (experiment, cell, seed, world, version)
)
"""


class Run(NamedTuple):
    """One run. `cell`: what was varied, as JSON with sorted keys; `error`: why it could not be played, or empty."""

    experiment: str
    cell: str
    seed: int
    world: str
    version: str
    error: str
    kept: bool
    asked: float
    served: float
    bound: float
    seconds: float  # that it took
    report: dict[str, Any]
    histograms: dict[str, str]  # by class, as HdrHistogram encodes them

    @property
    def share(self) -> float:
        """Share of the priority weight that was possible."""
        return self.served / self.bound if self.bound else 1.0


class StoreBusy(Exception):
    """Another process has the file."""


class RunStore:
    """A file of runs. Raises StoreBusy."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self._db = duckdb.connect(str(path))
        except duckdb.IOException as error:
            raise StoreBusy(f"{path}: {error}") from None
        self._db.execute(_TABLE)

    def close(self) -> None:
        """Close the file, for another process to open."""
        self._db.close()

    def put(self, run: Run) -> None:
        """Keep a run; one of the same name is replaced."""
        values = [*run[:-2], json.dumps(run.report), json.dumps(run.histograms)]
        self._db.execute(f"INSERT OR REPLACE INTO runs VALUES ({','.join('?' * len(values))})", values)

    def done(self, experiment: str, world: str, version: str) -> set[tuple[str, int]]:
        """Cells and seeds that have been played without an error."""
        rows = self._db.execute(
            "SELECT cell, seed FROM runs WHERE experiment = ? AND world = ? AND version = ? AND error = ''",
            [experiment, world, version],
        ).fetchall()
        return set(rows)

    def runs(self, experiment: str, world: str = "", version: str = "") -> list[Run]:
        """Runs of an experiment, by cell and seed; of the version that was put last if none is named."""
        version = version or self._latest_version(experiment, world)
        rows = self._db.execute(
            "SELECT * FROM runs WHERE experiment = ? AND version = ? AND (world = ? OR ? = '') "
            "ORDER BY cell, seed, world",
            [experiment, version, world, world],
        ).fetchall()
        return [Run._make((*row[:-2], json.loads(row[-2]), json.loads(row[-1]))) for row in rows]

    def _latest_version(self, experiment: str, world: str) -> str:
        row = self._db.execute(
            "SELECT version FROM runs WHERE experiment = ? AND (world = ? OR ? = '') ORDER BY rowid DESC LIMIT 1",
            [experiment, world, world],
        ).fetchone()
        return row[0] if row else ""


def code_version() -> str:
    """A digest of this package's source: two runs under one version had the same decisions."""
    digest = hashlib.blake2b(digest_size=6)
    root = Path(gingervane.__file__).parent
    for path in sorted(root.rglob("*.py")):
        digest.update(str(path.relative_to(root)).encode() + path.read_bytes())
    return digest.hexdigest()
