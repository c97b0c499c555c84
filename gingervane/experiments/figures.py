"""Results of experiments: tables, charts, and paired differences with confidence intervals."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from gingervane.experiments.store import Run

_BOOTSTRAP_DRAWS = 4000  # resamples of the seeds' values for a confidence interval


class Interval(NamedTuple):
    """A mean and its 95% confidence interval, from a bootstrap over the seeds."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.4g} ({self.low:.4g} to {self.high:.4g})"


def interval(values: Sequence[float]) -> Interval:
    """Estimate a mean and its confidence interval; the seed is fixed, so the result is reproducible."""
    samples = np.asarray(values, dtype=float)
    if len(samples) < 2:
        return Interval(*(float(samples.mean()) if len(samples) else float("nan"),) * 3)
    draws = np.random.default_rng(1).integers(0, len(samples), size=(_BOOTSTRAP_DRAWS, len(samples)))
    low, high = np.percentile(samples[draws].mean(axis=1), [2.5, 97.5])
    return Interval(float(samples.mean()), float(low), float(high))


def _latency(quantile: str) -> Callable[[Run], float]:
    def measure(run: Run) -> float:
        rows = run.report["latency_ms"].values()
        count = sum(row["count"] for row in rows)
        return sum(row[quantile] * row["count"] for row in rows) / count if count else float("nan")

    return measure


MEASURES: dict[str, Callable[[Run], float]] = {
    "share of the worth possible": lambda run: run.share,
    "attempts a part": lambda run: run.report["attempts"] / max(run.report["parts"], 1),
    "p50 ms, mean of classes": _latency("p50"),
    "p99 ms, mean of classes": _latency("p99"),
}


def by_cell(runs: Sequence[Run]) -> dict[str, list[Run]]:
    """Group the runs without an error by cell, in order of the cells' values."""
    out: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if not run.error:
            out[run.cell].append(run)
    return dict(sorted(out.items(), key=lambda item: _order(json.loads(item[0]))))


def _order(cell: dict[str, Any]) -> list[tuple[str, Any]]:
    return [(key, (isinstance(value, str), value)) for key, value in sorted(cell.items())]


def table(runs: Sequence[Run]) -> str:
    """Return a Markdown table with a row for each cell, and below it a line for each failed run."""
    keys = sorted({key for run in runs for key in json.loads(run.cell)})
    heads = [*keys, "runs", "rules kept", *MEASURES]
    rows = [f"| {' | '.join(heads)} |", f"|{' --- |' * len(heads)}"]
    for cell, cell_runs in by_cell(runs).items():
        values = json.loads(cell)
        kept = sum(run.kept for run in cell_runs)
        row = [str(values.get(key)) for key in keys] + [str(len(cell_runs)), f"{kept} of {len(cell_runs)}"]
        row += [str(interval([measure(run) for run in cell_runs])) for measure in MEASURES.values()]
        rows.append(f"| {' | '.join(row)} |")
    failed = [run for run in runs if run.error]
    out = "\n".join(rows) + "\n"
    for run in failed:
        out += f"\nfailed: {run.cell}, seed {run.seed}: {run.error}\n"
    return out


def charts(runs: Sequence[Run], folder: Path) -> list[Path]:
    """Write an SVG chart of each measure: the first varied key is x, each value of the others a line."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "gingervane"  # the same runs give the same bytes
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    cells = by_cell(runs)
    keys = sorted({key for cell in cells for key in json.loads(cell)})
    paths = []
    for number, (name, measure) in enumerate(MEASURES.items()):
        figure, axes = pyplot.subplots(figsize=(7, 4))
        lines: dict[str, list[tuple[Any, Interval]]] = defaultdict(list)
        for cell, cell_runs in cells.items():
            values = json.loads(cell)
            x = values[keys[0]] if keys else 0
            rest = ", ".join(f"{key}={values[key]}" for key in keys[1:])
            lines[rest].append((x, interval([measure(run) for run in cell_runs])))
        for label, points in lines.items():
            xs = [x if isinstance(x, int | float) and not isinstance(x, bool) else str(x) for x, _ in points]
            means = np.asarray([cell_runs.mean for _, cell_runs in points])
            errors = np.asarray([[f.mean - f.low, f.high - f.mean] for _, f in points]).T
            axes.errorbar(xs, means, yerr=np.abs(errors), marker="o", capsize=3, label=label or None)
        axes.set_xlabel(keys[0] if keys else "")
        axes.set_ylabel(name)
        if any(lines):
            axes.legend(fontsize="small")
        path = folder / f"chart-{number}.svg"
        figure.savefig(path, metadata={"Date": None})
        pyplot.close(figure)
        paths.append(path)
    return paths


def page(name: str, expect: str, runs: Sequence[Run], folder: Path) -> Path:
    """Write an experiment's report, `report.md` with its charts, into a folder and return its path."""
    worlds = sorted({run.world for run in runs})
    figures = (
        "figures of the emulator, simulated" if worlds == ["emulator"] else f"figures of {', '.join(worlds)}"
    )
    text = [
        f"# {name}",
        "",
        f"{figures.capitalize()}; code {', '.join(sorted({run.version for run in runs}))}.",
        "",
    ]
    if expect:
        text += [f"Expected first: {expect}", ""]
    text += [table(runs), ""]
    text += [
        f"![{measure}]({path.name})" for measure, path in zip(MEASURES, charts(runs, folder), strict=True)
    ]
    path = folder / "report.md"
    path.write_text("\n".join(text) + "\n")
    return path


class Difference(NamedTuple):
    """The difference B - A of a measure, over the cells and seeds that both have."""

    measure: str
    pairs: int
    a: float
    b: float
    difference: Interval


def compare(a: Sequence[Run], b: Sequence[Run]) -> list[Difference]:
    """Compare the runs of two sides, paired by cell and seed. Raises ValueError if there is no pair."""
    good = {(run.cell, run.seed): run for run in a if not run.error}
    pairs = [(good[run.cell, run.seed], run) for run in b if not run.error and (run.cell, run.seed) in good]
    if not pairs:
        raise ValueError("no cell and seed stands on both sides")
    out = []
    for name, measure in MEASURES.items():
        values = [(measure(x), measure(y)) for x, y in pairs]
        out.append(
            Difference(
                name,
                len(pairs),
                float(np.mean([x for x, _ in values])),
                float(np.mean([y for _, y in values])),
                interval([y - x for x, y in values]),
            )
        )
    return out
