"""Experiments: a scenario run with each combination of varied values and seeds, simulated or on sockets.

    name = "copies"
    scenario = "bad-day"            # one that ships, or a file in this file's folder
    expect = "the expected result, written before the runs"
    seeds = 10                      # seeds 1 to 10; or a list of seeds
    [vary]
    "coordinators.limits.copies" = [true, false]
    "clients.rate" = [45, 90]
    "assumed.list_delay" = [0.03, 1.0]    # an assumption of the emulator, not a key of the scenario
    "scale" = [1, 4]                # nodes, tiles, co-ordinators and rate together

An interrupted experiment resumes with the runs that are not yet stored. A run that fails is stored with its
error and does not stop the others.
"""

from __future__ import annotations

import itertools
import json
import multiprocessing
import time
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import Field

from gingervane.experiments.store import Run, RunStore, code_version
from gingervane.scenarios import scenario as scenarios
from gingervane.scenarios.scenario import Scenario
from gingervane.settings.daemon_settings import SettingsError, validate
from gingervane.settings.tables import Table

World = Literal["emulator", "sockets"]
_MAX_ERROR = 2000  # characters of an error that are stored


class Experiment(Table):
    """An experiment file; the fields are its keys."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_-]{1,80}$")]
    scenario: str
    expect: str = ""
    seeds: Annotated[int, Field(gt=0, le=10_000)] | tuple[int, ...] = 5
    vary: dict[str, Annotated[list[Any], Field(min_length=1)]] = {}

    def cells(self) -> list[dict[str, Any]]:
        """Return every combination of the varied values."""
        keys = list(self.vary)
        return [dict(zip(keys, values, strict=True)) for values in itertools.product(*self.vary.values())]

    def all_seeds(self) -> tuple[int, ...]:
        """Return the listed seeds, or 1 to N if `seeds` is the number N."""
        return tuple(range(1, self.seeds + 1)) if isinstance(self.seeds, int) else self.seeds


class Job(NamedTuple):
    """One run, in the form that is sent to a worker process."""

    experiment: str
    scenario: dict[str, Any]
    cell: str
    seed: int
    world: World
    version: str
    out: str


def load(name: str) -> tuple[Experiment, dict[str, Any], Path]:
    """Load an experiment by the name of one that ships, or by its file. Raises SettingsError.

    Returns the experiment, its scenario's table, and the path of the experiment's file.
    """
    shipped = resources.files("gingervane.experiments") / "experiments" / f"{name}.toml"
    path = Path(str(shipped)) if shipped.is_file() else Path(name)
    table = _toml(path)
    experiment = validate(Experiment, table, path)
    if experiment.scenario in scenarios.names():
        scenario_path = Path(str(resources.files("gingervane.scenarios") / f"{experiment.scenario}.toml"))
    else:
        scenario_path = path.parent / experiment.scenario
    scenario = _toml(scenario_path)
    for cell in experiment.cells():  # reports invalid values before the first run
        apply(scenario, cell, path)
    return experiment, scenario, path


def _toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}") from None


def apply(table: dict[str, Any], cell: dict[str, Any], path: Path) -> tuple[Scenario, dict[str, Any]]:
    """Return the scenario with a cell's values, and the emulator's assumptions. Raises SettingsError."""
    scenario_table = json.loads(json.dumps(table))
    assumed: dict[str, Any] = {}
    for key, value in cell.items():
        if key == "scale":
            continue
        section, _, assumption = key.partition(".")
        if section == "assumed":
            assumed[assumption] = value
            continue
        target = scenario_table
        *tables, last = key.split(".")
        for word in tables:
            target = target.setdefault(word, {})
            if not isinstance(target, dict):
                raise SettingsError(f"{path}: vary.{key}: {word} is no table")
        target[last] = value
    if scale := cell.get("scale"):
        _scale(scenario_table, scale)
    if unknown := set(assumed) - {"list_delay"}:
        raise SettingsError(f"{path}: vary.assumed.{min(unknown)}: not a known assumption")
    return validate(Scenario, scenario_table, path), assumed


def _scale(table: dict[str, Any], factor: float) -> None:
    """Scale nodes, tiles, co-ordinators and rate; a fault with a `share` then hits more nodes too."""
    for section, key in (
        ("nodes", "count"),
        ("nodes", "tiles"),
        ("coordinators", "count"),
        ("clients", "rate"),
    ):
        value = table.setdefault(section, {}).get(key)
        if value is not None:
            table[section][key] = value * factor if key == "rate" else max(round(value * factor), 1)


def jobs(
    experiment: Experiment, scenario: dict[str, Any], world: World, version: str, out: Path
) -> Iterator[Job]:
    """Yield all runs. All cells of a seed get the same demands and faults, so that they can be paired."""
    for seed in experiment.all_seeds():
        for cell in experiment.cells():
            yield Job(
                experiment.name, scenario, json.dumps(cell, sort_keys=True), seed, world, version, str(out)
            )


def play(job: Job) -> Run:
    """Carry out one run, in a worker process. An exception becomes the run's error."""
    started_at = time.monotonic()
    try:
        scenario, assumed = apply(job.scenario, json.loads(job.cell), Path(job.experiment))
        scenario = scenario.model_copy(update={"seed": job.seed})
        report, histograms = (
            _run_in_emulator(scenario, assumed) if job.world == "emulator" else _run_on_sockets(scenario, job)
        )
    except Exception as error:  # noqa: BLE001 - stored with the run, so that the other runs continue
        return _build_run(job, started_at, f"{type(error).__name__}: {error}"[:_MAX_ERROR], {}, {})
    return _build_run(job, started_at, "", report, histograms)


def _build_run(
    job: Job, started_at: float, error: str, report: dict[str, Any], histograms: dict[str, str]
) -> Run:
    """Build the record of a run; `report` is empty for one that failed."""
    weight = report["worth"] if report else {"asked": 0, "served": 0, "bound": 0}
    return Run(
        experiment=job.experiment,
        cell=job.cell,
        seed=job.seed,
        world=job.world,
        version=job.version,
        error=error,
        kept=report["kept"] if report else False,
        asked=weight["asked"],
        served=weight["served"],
        bound=weight["bound"],
        seconds=time.monotonic() - started_at,
        report=report,
        histograms=histograms,
    )


def _run_in_emulator(scenario: Scenario, assumed: dict[str, Any]) -> tuple[dict[str, Any], dict[str, str]]:
    from gingervane.audit import figures
    from gingervane.emulator.assumptions import Assumptions
    from gingervane.emulator.world import World

    world = World(scenario, None, Assumptions()._replace(**assumed))
    day = world.run()
    return world.judge(day), {n: h.encode().decode() for n, h in figures.histograms(day).items()}


def _run_on_sockets(scenario: Scenario, job: Job) -> tuple[dict[str, Any], dict[str, str]]:
    from gingervane.audit import day_reader, figures
    from gingervane.experiments.scenario_runner import ScenarioRun

    folder = Path(job.out) / "sockets"
    report = ScenarioRun(scenario, folder).run()
    return report, {n: h.encode().decode() for n, h in figures.histograms(day_reader.load(folder)).items()}


def run(
    experiment: Experiment,
    scenario: dict[str, Any],
    out: Path,
    world: World,
    workers: int,
    on_progress: Callable[[int, int, Run | None], None],
) -> int:
    """Carry out the runs that are not yet stored and return how many failed.

    `on_progress` is called with the number of completed runs, the number of all runs, and the run that has
    ended (None at the start).
    """
    version = code_version()
    store = RunStore(out / "runs.duckdb")
    try:
        done = store.done(experiment.name, world, version)
        pending_jobs = [
            j for j in jobs(experiment, scenario, world, version, out) if (j.cell, j.seed) not in done
        ]
        total = len(pending_jobs) + len(done)
        count = len(done)
        failed = 0
        on_progress(count, total, None)
        # Runs on sockets measure real time, so only one runs at once.
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(1 if world == "sockets" else workers, mp_context=context) as pool:
            for future in as_completed([pool.submit(play, job) for job in pending_jobs]):
                result = future.result()
                store.put(result)
                count += 1
                failed += bool(result.error)
                on_progress(count, total, result)
        return failed
    finally:
        store.close()
