"""Simulated time: runs are reproducible, the audit detects broken rules, and experiments store their runs."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from test_audit import DAY, RULES

from gingervane.cli.main import main
from gingervane.emulator.events import Clock
from gingervane.emulator.world import World, emulate
from gingervane.experiments import experiment as experiments
from gingervane.experiments import figures
from gingervane.experiments.store import RunStore, StoreBusy
from gingervane.scenarios.scenario import Scenario, load
from gingervane.settings import daemon_settings


def small_scenario(**changes: Any) -> Scenario:
    return daemon_settings.validate(Scenario, DAY | changes, Path("small"))


def test_events_are_handled_in_order_of_time() -> None:
    clock, handled = Clock(5.0), list[str]()
    for at, name in ((7.0, "b"), (6.0, "a"), (7.0, "c"), (1.0, "past")):
        clock.at(at, lambda n=name: handled.append(n))  # type: ignore[misc]
    clock.at(6.0, lambda: clock.after(0.5, lambda: handled.append("then")))
    clock.run(6.9)
    assert handled == ["past", "a", "then"] and clock.now == 6.9
    clock.run(8.0)
    assert handled[3:] == ["b", "c"]


def test_runs_with_one_seed_are_identical() -> None:
    def digest() -> str:
        world = World(small_scenario())
        day = world.run()
        sends = [[*vars(send).values()] for send in day.sends]
        return json.dumps([day.tries, day.nodes, day.director, sends], default=str)

    first = digest()
    assert first == digest() and len(first) > 100_000
    code = (
        "import hashlib, sys; sys.path.insert(0, 'tests'); import test_emulator as e; "
        "text = e.json.dumps(e.World(e.small_scenario()).run().tries, default=str); "
        "print(hashlib.md5(text.encode()).hexdigest())"
    )
    digests = {
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        for _ in range(2)
    }
    assert len(digests) == 1, "two processes must give the same run"
    assert emulate(small_scenario(), seed=4)["tries"] != emulate(small_scenario(), seed=5)["tries"]


def test_a_run_in_simulated_time_is_judged_by_all_rules() -> None:
    report = emulate(small_scenario())
    assert report["kept"], report["rules"]
    assert all(report["rules"][rule]["tested"] for rule in RULES), report["rules"]
    assert 0 < report["worth"]["served"] <= report["worth"]["asked"]
    bad_day = emulate(load("bad-day"))
    assert bad_day["kept"] and bad_day["worth"]["served"] > 0.95 * bad_day["worth"]["bound"]
    with pytest.raises(daemon_settings.SettingsError, match="consul: not modelled"):
        emulate(load("consul-drain"))


@pytest.mark.parametrize("rule", ["drain", "budget", "cold"])
def test_a_broken_rule_is_detected_in_simulated_time(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    from gingervane.emulator import coordinator
    from gingervane.settings.daemon_settings import Config

    if rule == "drain":
        original_endpoints_updated = coordinator.SimCoordinator.endpoints_updated

        def apply_first_list_only(self: Any, members: Any, cached: bool = False) -> None:
            if not self._view.members:
                original_endpoints_updated(self, members, cached)

        monkeypatch.setattr(coordinator.SimCoordinator, "endpoints_updated", apply_first_list_only)
    elif rule == "budget":
        original_module_settings = Config.module_settings
        monkeypatch.setattr(
            Config,
            "module_settings",
            lambda self: original_module_settings(self)._replace(
                retry_budget_free=None, retry_budget_share=None, retry_budget_window=None
            ),
        )
    else:  # without slow start, a node that has just started receives its full share at once
        original_endpoints_updated = coordinator.SimCoordinator.endpoints_updated
        monkeypatch.setattr(
            coordinator.SimCoordinator,
            "endpoints_updated",
            lambda self, members, cached=False: original_endpoints_updated(
                self, tuple(m._replace(started_at=0.0) for m in members), cached
            ),
        )
        monkeypatch.setattr(
            "gingervane.decisions.outlier_ejection.OutlierDetector.record_outcome",
            lambda self, server, bad, why="": None,
        )
    report = emulate(small_scenario())
    assert not report["rules"][rule]["kept"], report["rules"]


EXPERIMENT = """
name = "tiny"
scenario = "day.toml"
expect = "nothing"
seeds = 3
[vary]
"clients.retries" = [0, 1]
"assumed.list_delay" = [0.0, 0.5]
"""


def write_experiment(folder: Path, text: str) -> Path:
    from gingervane.experiments.toml_text import toml

    (folder / "day.toml").write_text(toml(DAY | {"seconds": 3}))
    path = folder / "tiny.toml"
    path.write_text(text)
    return path


def test_an_experiment_is_run_stored_and_reported(tmp_path: Path) -> None:
    path, out = write_experiment(tmp_path, EXPERIMENT), tmp_path / "runs"
    runner = CliRunner()
    assert runner.invoke(main, ["lab", "run", str(path), "--out", str(out), "--workers", "4"]).exit_code == 0
    store = RunStore(out / "runs.duckdb")
    runs = store.runs("tiny")
    assert len(runs) == 12 and all(run.asked > 0 and run.histograms for run in runs)
    assert {run.asked for run in runs if run.seed == 1} == {runs[0].asked}, "one seed gives the same demands"
    store._db.execute("DELETE FROM runs WHERE seed = 2")  # as if the experiment had been interrupted
    with pytest.raises(StoreBusy):
        open_store_in_subprocess(out)
    store.close()
    progress: list[int] = []
    experiment, scenario, _ = experiments.load(str(path))
    experiments.run(experiment, scenario, out, "emulator", 2, lambda done, total, run: progress.append(done))
    assert progress[0] == 8 and progress[-1] == 12, "an interrupted experiment resumes with its missing runs"
    store = RunStore(out / "runs.duckdb")
    repeated = {(run.cell, run.seed): run.report for run in store.runs("tiny")}
    store.close()
    assert repeated == {(run.cell, run.seed): run.report for run in runs}, "repeated runs must be identical"
    result = runner.invoke(main, ["lab", "report", str(path), "--out", str(out)])
    assert result.exit_code == 0 and result.output.count("| 3 | 3 of 3 |") == 4, result.output
    chart = out / "tiny" / "chart-0.svg"
    first = chart.read_bytes()
    assert first.startswith(b"<?xml") and "simulated" in (out / "tiny" / "report.md").read_text()
    runner.invoke(main, ["lab", "report", str(path), "--out", str(out)])
    assert chart.read_bytes() == first
    result = runner.invoke(main, ["lab", "compare", "tiny", "tiny", "--out", str(out)])
    assert result.exit_code == 0 and "0 (0 to 0)" in result.output
    assert runner.invoke(main, ["lab", "compare", "tiny", "none", "--out", str(out)]).exit_code == 2


def open_store_in_subprocess(out: Path) -> None:
    """Open the store in another process. Raises StoreBusy if that process cannot."""
    code = (
        f"from gingervane.experiments.store import RunStore, StoreBusy\nfrom pathlib import Path\n"
        f"try: RunStore(Path({str(out)!r}) / 'runs.duckdb')\nexcept StoreBusy: print('busy')"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    if "busy" in process.stdout:
        raise StoreBusy


def test_a_failed_run_is_stored_with_its_error(tmp_path: Path) -> None:
    job = experiments.Job("x", DAY, '{"nodes.count": -1}', 1, "emulator", "v", "")
    run = experiments.play(job)
    assert "nodes.count" in run.error and not run.kept
    store = RunStore(tmp_path / "runs.duckdb")
    store.put(run)
    assert store.done("x", "emulator", "v") == set() and len(store.runs("x")) == 1
    assert "failed: " in figures.table(store.runs("x"))
    store.close()


def test_an_invalid_experiment_is_rejected_before_any_run(tmp_path: Path) -> None:
    for text, error in (
        (EXPERIMENT.replace("[0, 1]", '["many"]'), "clients.retries"),
        (EXPERIMENT.replace("assumed.list_delay", "assumed.weather"), "vary.assumed.weather: not a known"),
        (EXPERIMENT.replace("day.toml", "none.toml"), "none.toml: No such file"),
        (EXPERIMENT.replace("seeds = 3", "seeds = 0"), "seeds"),
    ):
        path = write_experiment(tmp_path, text)
        result = CliRunner().invoke(main, ["lab", "run", str(path), "--out", str(tmp_path / "r")])
        assert result.exit_code == 2 and not (tmp_path / "r").exists(), error
        with pytest.raises(daemon_settings.SettingsError, match=error.replace(".", r"\.")):
            experiments.load(str(tmp_path / "tiny.toml"))


def test_intervals_contain_their_means() -> None:
    result = figures.interval([1.0, 2.0, 3.0, 4.0])
    assert result.low < result.mean == 2.5 < result.high
    assert figures.interval([2.0]) == (2.0, 2.0, 2.0)
    for name in ("copies", "list-delay", "retry-storm"):
        assert experiments.load(name)[0].expect
