"""Stores runs of experiments in a DuckDB file: settings, seed, code version, figures and complete histograms.

DuckDB is embedded, columnar and durable: each run is one transaction, so a crash leaves no incomplete run.
The key of a run is its experiment, cell, seed, world and version; a run that is stored without an error is
not repeated. One process at a time owns the file (DuckDB holds a lock on it); worker processes pass their
runs to the owner.
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
    """One run. `cell`: the varied values, as JSON with sorted keys; `error`: why the run failed, or empty."""

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
    seconds: float  # duration of the run in real time
    report: dict[str, Any]
    histograms: dict[str, str]  # by class, as HdrHistogram encodes them

    @property
    def share(self) -> float:
        """Priority weight served, as a share of the greatest possible."""
        return self.served / self.bound if self.bound else 1.0


class StoreBusy(Exception):
    """Another process has opened the file."""


class RunStore:
    """A file of runs. Opening it raises StoreBusy if another process has it open."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self._db = duckdb.connect(str(path))
        except duckdb.IOException as error:
            raise StoreBusy(f"{path}: {error}") from None
        self._db.execute(_TABLE)

    def close(self) -> None:
        """Close the file, so that another process can open it."""
        self._db.close()

    def put(self, run: Run) -> None:
        """Store a run; replaces one with the same key."""
        values = [*run[:-2], json.dumps(run.report), json.dumps(run.histograms)]
        self._db.execute(f"INSERT OR REPLACE INTO runs VALUES ({','.join('?' * len(values))})", values)

    def done(self, experiment: str, world: str, version: str) -> set[tuple[str, int]]:
        """Return the cell and seed of each run without an error."""
        rows = self._db.execute(
            "SELECT cell, seed FROM runs WHERE experiment = ? AND world = ? AND version = ? AND error = ''",
            [experiment, world, version],
        ).fetchall()
        return set(rows)

    def runs(self, experiment: str, world: str = "", version: str = "") -> list[Run]:
        """Return an experiment's runs by cell and seed; without a version, those of the one stored last."""
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
    """Return a digest of the package's source; runs of one version ran the same code."""
    digest = hashlib.blake2b(digest_size=6)
    root = Path(gingervane.__file__).parent
    for path in sorted(root.rglob("*.py")):
        digest.update(str(path.relative_to(root)).encode() + path.read_bytes())
    return digest.hexdigest()
