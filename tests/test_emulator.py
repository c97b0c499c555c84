"""Simulated time: the same day twice is the same, the audit sees what is broken there, runs are kept."""

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


def small(**changes: Any) -> Scenario:
    return daemon_settings.validate(Scenario, DAY | changes, Path("small"))


def test_moments_come_in_order() -> None:
    clock, done = Clock(5.0), list[str]()
    for at, name in ((7.0, "b"), (6.0, "a"), (7.0, "c"), (1.0, "past")):
        clock.at(at, lambda n=name: done.append(n))  # type: ignore[misc]
    clock.at(6.0, lambda: clock.after(0.5, lambda: done.append("then")))
    clock.run(6.9)
    assert done == ["past", "a", "then"] and clock.now == 6.9
    clock.run(8.0)
    assert done[3:] == ["b", "c"]


def test_a_seed_is_one_day() -> None:
    def digest() -> str:
        world = World(small())
        day = world.run()
        sends = [[*vars(send).values()] for send in day.sends]
        return json.dumps([day.tries, day.nodes, day.director, sends], default=str)

    first = digest()
    assert first == digest() and len(first) > 100_000
    code = (
        "import hashlib, sys; sys.path.insert(0, 'tests'); import test_emulator as e; "
        "text = e.json.dumps(e.World(e.small()).run().tries, default=str); "
        "print(hashlib.md5(text.encode()).hexdigest())"
    )
    others = {
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        for _ in range(2)
    }
    assert len(others) == 1, "and in other processes"
    assert emulate(small(), seed=4)["tries"] != emulate(small(), seed=5)["tries"]


def test_the_day_is_judged_as_on_sockets() -> None:
    report = emulate(small())
    assert report["kept"], report["rules"]
    assert all(report["rules"][rule]["tested"] for rule in RULES), report["rules"]
    assert 0 < report["worth"]["served"] <= report["worth"]["asked"]
    bad = emulate(load("bad-day"))
    assert bad["kept"] and bad["worth"]["served"] > 0.95 * bad["worth"]["bound"]
    with pytest.raises(daemon_settings.SettingsError, match="consul: not modelled"):
        emulate(load("consul-drain"))


@pytest.mark.parametrize("rule", ["drain", "budget", "cold"])
def test_a_broken_rule_is_seen_in_simulated_time(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    from gingervane.emulator import coordinator
    from gingervane.settings.daemon_settings import Config

    if rule == "drain":
        listed = coordinator.SimCoordinator.endpoints_updated

        def once(self: Any, members: Any, cached: bool = False) -> None:
            if not self._view.members:
                listed(self, members, cached)

        monkeypatch.setattr(coordinator.SimCoordinator, "endpoints_updated", once)
    elif rule == "budget":
        honest = Config.module_settings
        monkeypatch.setattr(
            Config,
            "module_settings",
            lambda self: honest(self)._replace(
                retry_budget_free=None, retry_budget_share=None, retry_budget_window=None
            ),
        )
    else:  # what has just started is sent its share at once
        listed = coordinator.SimCoordinator.endpoints_updated
        monkeypatch.setattr(
            coordinator.SimCoordinator,
            "endpoints_updated",
            lambda self, members, cached=False: listed(
                self, tuple(m._replace(started_at=0.0) for m in members), cached
            ),
        )
        monkeypatch.setattr(
            "gingervane.decisions.outlier_ejection.OutlierDetector.record_outcome",
            lambda self, server, bad, why="": None,
        )
    report = emulate(small())
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


def write(folder: Path, text: str) -> Path:
    from gingervane.experiments.toml_text import toml

    (folder / "day.toml").write_text(toml(DAY | {"seconds": 3}))
    path = folder / "tiny.toml"
    path.write_text(text)
    return path


def test_a_matrix_is_played_kept_and_reported(tmp_path: Path) -> None:
    path, out = write(tmp_path, EXPERIMENT), tmp_path / "runs"
    runner = CliRunner()
    assert runner.invoke(main, ["lab", "run", str(path), "--out", str(out), "--workers", "4"]).exit_code == 0
    store = RunStore(out / "runs.duckdb")
    runs = store.runs("tiny")
    assert len(runs) == 12 and all(run.asked > 0 and run.histograms for run in runs)
    assert {run.asked for run in runs if run.seed == 1} == {runs[0].asked}, "cells of one seed are one demand"
    store._db.execute("DELETE FROM runs WHERE seed = 2")  # as if it had been cut off
    with pytest.raises(StoreBusy):
        subprocess_store(out)
    store.close()
    told: list[int] = []
    found, scenario, _ = experiments.load(str(path))
    experiments.run(found, scenario, out, "emulator", 2, lambda done, total, run: told.append(done))
    assert told[0] == 8 and told[-1] == 12, "goes on where it stopped"
    store = RunStore(out / "runs.duckdb")
    again = {(run.cell, run.seed): run.report for run in store.runs("tiny")}
    store.close()
    assert again == {(run.cell, run.seed): run.report for run in runs}, "the same runs again"
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


def subprocess_store(out: Path) -> None:
    """Open the store in another process."""
    code = (
        f"from gingervane.experiments.store import RunStore, StoreBusy\nfrom pathlib import Path\n"
        f"try: RunStore(Path({str(out)!r}) / 'runs.duckdb')\nexcept StoreBusy: print('busy')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    if "busy" in done.stdout:
        raise StoreBusy


def test_a_run_that_fails_is_kept_and_the_others_go_on(tmp_path: Path) -> None:
    job = experiments.Job("x", DAY, '{"nodes.count": -1}', 1, "emulator", "v", "")
    run = experiments.play(job)
    assert "nodes.count" in run.error and not run.kept
    store = RunStore(tmp_path / "runs.duckdb")
    store.put(run)
    assert store.done("x", "emulator", "v") == set() and len(store.runs("x")) == 1
    assert "failed: " in figures.table(store.runs("x"))
    store.close()


def test_a_bad_experiment_is_told_before_anything_is_played(tmp_path: Path) -> None:
    for text, what in (
        (EXPERIMENT.replace("[0, 1]", '["many"]'), "clients.retries"),
        (EXPERIMENT.replace("assumed.list_delay", "assumed.weather"), "vary.assumed.weather: not a known"),
        (EXPERIMENT.replace("day.toml", "none.toml"), "none.toml: No such file"),
        (EXPERIMENT.replace("seeds = 3", "seeds = 0"), "seeds"),
    ):
        path = write(tmp_path, text)
        result = CliRunner().invoke(main, ["lab", "run", str(path), "--out", str(tmp_path / "r")])
        assert result.exit_code == 2 and not (tmp_path / "r").exists(), what
        with pytest.raises(daemon_settings.SettingsError, match=what.replace(".", r"\.")):
            experiments.load(str(tmp_path / "tiny.toml"))


def test_intervals_cover_their_means() -> None:
    found = figures.interval([1.0, 2.0, 3.0, 4.0])
    assert found.low < found.mean == 2.5 < found.high
    assert figures.interval([2.0]) == (2.0, 2.0, 2.0)
    for name in ("copies", "list-delay", "retry-storm"):
        assert experiments.load(name)[0].expect
