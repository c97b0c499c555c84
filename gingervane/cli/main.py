"""The `gingervane` command line. The sub-commands only parse arguments and call other modules."""

from __future__ import annotations

import signal
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NoReturn

import click

from gingervane.settings import daemon_settings
from gingervane.telemetry import daemon_log
from gingervane.wire.socket_recorder import SOCKET_RECORDER

EXIT_INVALID_INPUT = 2
_DEFAULT_RANGE = 3600  # seconds of a query without a start
_SETTINGS_FILE = click.Path(path_type=Path, dir_okay=False)
_RUNS_OPTION = click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Where runs are kept."
)


@click.group()
def main() -> None:
    """Aggregate queries over replicated shards."""


def _exit_invalid(message: str) -> NoReturn:
    """Print an error message and exit with the status of invalid input."""
    click.echo(message, err=True)
    sys.exit(EXIT_INVALID_INPUT)


@contextmanager
def _exit_on_error(*errors: type[Exception]) -> Iterator[None]:
    """Turn these errors into the exit of `_exit_invalid`, with the error's text."""
    try:
        yield
    except errors as error:
        _exit_invalid(str(error))


def _load_settings(path: Path) -> daemon_settings.Config:
    with _exit_on_error(daemon_settings.SettingsError):
        return daemon_settings.load(path)


@main.command()
@click.option("--config", "path", type=_SETTINGS_FILE, required=True, help="Settings, TOML.")
@click.option(
    "--tap", type=_SETTINGS_FILE, help="Append what passes at this process's socket ends to a file."
)
def serve(path: Path, tap: Path | None) -> None:
    """Run a co-ordinator until SIGTERM or SIGINT."""
    from gingervane.daemon.app import App
    from gingervane.membership.endpoint_file import EndpointFileError

    config = _load_settings(path)
    daemon_log.configure(config.log.format, config.log.level)
    if tap:
        SOCKET_RECORDER.open(tap)
    try:
        sys.exit(App(config).run())
    except (EndpointFileError, OSError) as error:
        where = config.membership.file or path if isinstance(error, EndpointFileError) else path
        _exit_invalid("\n".join(f"{where}: {line}" for line in str(error).splitlines()))


@main.command("check-config")
@click.argument("path", type=_SETTINGS_FILE)
def check_config(path: Path) -> None:
    """Check a settings file; say all that is wrong with it."""
    config = _load_settings(path)
    click.echo(f"{path}: good: {len(config.classes)} classes, {len(config.shards.names)} shards")


@main.command()
@click.option("--serve", "stay", is_flag=True, help="Stay up until interrupted.")
def demo(stay: bool) -> None:
    """Stand-in grid nodes, a co-ordinator, a query over several tiles, its answer."""
    from gingervane.experiments import demonstration

    daemon_log.configure("console", "warning")
    if not stay:
        sys.exit(demonstration.run())
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    with demonstration.embedded_fleet() as embedded:
        click.echo(f"listening on {embedded.address[0]}:{embedded.address[1]}")
        sys.stdout.flush()
        stop.wait()


@main.command()
@click.argument("address")
@click.argument("selector")
@click.option("--start", type=float, help="Unix time; an hour ago if left out.")
@click.option("--end", type=float, help="Unix time; now if left out.")
@click.option("--class", "query_class", help="Class of the query.")
@click.option("--timeout", type=float, default=10.0, show_default=True, help="Seconds.")
@click.option("--partial", is_flag=True, help="Take an answer that is not whole.")
def query(
    address: str,
    selector: str,
    start: float | None,
    end: float | None,
    query_class: str | None,
    timeout: float,
    partial: bool,
) -> None:
    """Ask the co-ordinator at ADDRESS for SELECTOR, such as '{__name__="wind_speed",tile=~"t00."}'."""
    from gingervane.experiments import demonstration

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{address!r} is not HOST:PORT", param_hint="ADDRESS")
    try:
        matchers = demonstration.parse_selector(selector)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="SELECTOR") from None
    until = time.time() if end is None else end
    since = until - _DEFAULT_RANGE if start is None else start
    milliseconds = int(since * 1000), int(until * 1000)
    params = {"timeout": f"{timeout:g}"}
    if query_class:
        params["class"] = query_class
    if partial:
        params["partial_response"] = "true"
    sys.exit(demonstration.run_query((host, int(port)), matchers, milliseconds, params, timeout))


_SCENARIO_ARGUMENT = click.argument("scenario", required=False)
_FROM_DAY_OPTION = click.option("--from-day", type=_SETTINGS_FILE, help="A bench day file to play instead.")
_RECORDS_OPTION = click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="A folder for records; it is emptied."
)


@main.command("run-scenario")
@_SCENARIO_ARGUMENT
@_FROM_DAY_OPTION
@_RECORDS_OPTION
def run_scenario(scenario: str | None, from_day: Path | None, out: Path) -> None:
    """Play SCENARIO (a file, or one that ships, such as bad-day) and judge the six rules; 0 only if all hold."""
    _run_scenario(scenario, from_day, out)


@main.command()
@_SCENARIO_ARGUMENT
@_FROM_DAY_OPTION
@_RECORDS_OPTION
def rehearse(scenario: str | None, from_day: Path | None, out: Path) -> None:
    """Do what run-scenario does, which replaced this command."""
    _run_scenario(scenario, from_day, out, "rehearse has been replaced by run-scenario")


def _run_scenario(
    scenario: str | None, from_day: Path | None, out: Path, notice: str | None = None
) -> NoReturn:
    """Run a scenario; `notice` is printed after it is read, so that bad input gives its error alone."""
    from gingervane.experiments import bench_day_import, report
    from gingervane.experiments.scenario_runner import ScenarioRun, ScenarioRunError
    from gingervane.scenarios import scenario as scenarios

    if (scenario is None) == (from_day is None):
        raise click.UsageError("give a SCENARIO or --from-day, one of the two")
    if out.exists() and any(out.iterdir()) and not (out / "facts.json").exists():
        raise click.BadParameter(f"{out} holds something other than a rehearsal", param_hint="--out")
    with _exit_on_error(daemon_settings.SettingsError, ScenarioRunError):
        scenario_to_run = bench_day_import.convert(from_day) if from_day else scenarios.load(str(scenario))
        if notice:
            click.echo(notice, err=True)
        scenario_report = ScenarioRun(scenario_to_run, out).run()
    report.show(scenario_report)
    sys.exit(0 if scenario_report["kept"] else 1)


@main.group()
def lab() -> None:
    """Experiments: matrices of runs, kept, with tables, charts and paired comparisons."""


@lab.command("run")
@click.argument("experiment")
@_RUNS_OPTION
@click.option("--sockets", is_flag=True, help="On sockets and processes, not in simulated time.")
@click.option("--workers", type=click.IntRange(1, 256), default=4, show_default=True)
def lab_run(experiment: str, out: Path, sockets: bool, workers: int) -> None:
    """Play EXPERIMENT (a file, or one that ships); goes on where it was cut off. 0 only if no run failed."""
    from rich.progress import Progress

    from gingervane.experiments import experiment as experiments
    from gingervane.experiments.store import Run, StoreBusy

    world: experiments.World = "sockets" if sockets else "emulator"
    with _exit_on_error(daemon_settings.SettingsError, StoreBusy):
        loaded, scenario, _ = experiments.load(experiment)
        with Progress() as progress:
            task = progress.add_task(loaded.name, total=None)

            def show_progress(done: int, total: int, run: Run | None) -> None:
                progress.update(task, completed=done, total=total)
                if run and run.error:
                    progress.console.print(f"failed: {run.cell}, seed {run.seed}: {run.error}", markup=False)

            failed = experiments.run(loaded, scenario, out, world, workers, show_progress)
    sys.exit(1 if failed else 0)


@lab.command("report")
@click.argument("experiment")
@_RUNS_OPTION
def lab_report(experiment: str, out: Path) -> None:
    """Write tables and charts of EXPERIMENT's runs, of the version of the code that was played last."""
    from gingervane.experiments import experiment as experiments
    from gingervane.experiments import figures
    from gingervane.experiments.store import RunStore, StoreBusy

    with _exit_on_error(daemon_settings.SettingsError, StoreBusy):
        loaded, _, _ = experiments.load(experiment)
        store = RunStore(out / "runs.duckdb")
    runs = store.runs(loaded.name)
    store.close()
    if not runs:
        _exit_invalid(f"{out}: no run of {loaded.name}")
    click.echo(figures.table(runs))
    click.echo(str(figures.page(loaded.name, loaded.expect, runs, out / loaded.name)))


@lab.command("compare")
@click.argument("a")
@click.argument("b")
@_RUNS_OPTION
def lab_compare(a: str, b: str, out: Path) -> None:
    """B less A, paired by cell and seed. Each is EXPERIMENT, or EXPERIMENT@WORLD, or EXPERIMENT@WORLD@VERSION."""
    from rich.console import Console
    from rich.table import Table

    from gingervane.experiments import figures
    from gingervane.experiments.store import RunStore, StoreBusy

    with _exit_on_error(StoreBusy, ValueError):
        store = RunStore(out / "runs.duckdb")
        sides = [store.runs(*name.split("@")[:3]) for name in (a, b)]
        store.close()
        rows = figures.compare(*sides)
    table = Table("measure", "pairs", a, b, "difference, 95%")
    for row in rows:
        table.add_row(row.measure, str(row.pairs), f"{row.a:.4g}", f"{row.b:.4g}", str(row.difference))
    Console().print(table)


if __name__ == "__main__":
    main()
