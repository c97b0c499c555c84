"""`gingervane`: the command line. Each sub-command is thin; what it does is elsewhere."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

import click

from gingervane.telemetry import daemon_log
from gingervane.settings import daemon_settings
from gingervane.wire.socket_recorder import SOCKET_RECORDER


@click.group()
def main() -> None:
    """An aggregator of queries over replicated shards."""


def _load(path: Path) -> daemon_settings.Config:
    try:
        return daemon_settings.load(path)
    except daemon_settings.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


_CONFIG = click.Path(path_type=Path, dir_okay=False)


@main.command()
@click.option("--config", "path", type=_CONFIG, required=True, help="Settings, TOML.")
@click.option("--tap", type=_CONFIG, help="Append what passes at this process's socket ends to a file.")
def serve(path: Path, tap: Path | None) -> None:
    """Run a co-ordinator until SIGTERM or SIGINT."""
    from gingervane.daemon.app import App
    from gingervane.membership.endpoint_file import EndpointFileError

    config = _load(path)
    daemon_log.configure(config.log.format, config.log.level)
    if tap:
        SOCKET_RECORDER.open(tap)
    try:
        sys.exit(App(config).run())
    except (EndpointFileError, OSError) as error:
        where = config.membership.file or path if isinstance(error, EndpointFileError) else path
        click.echo("\n".join(f"{where}: {line}" for line in str(error).splitlines()), err=True)
        sys.exit(2)


@main.command("check-config")
@click.argument("path", type=_CONFIG)
def check_config(path: Path) -> None:
    """Check a settings file; say all that is wrong with it."""
    config = _load(path)
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
    with demonstration.fleet() as embedded:
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
    span = int((until - 3600 if start is None else start) * 1000), int(until * 1000)
    params = {"timeout": f"{timeout:g}"} | ({"class": query_class} if query_class else {})
    params |= {"partial_response": "true"} if partial else {}
    sys.exit(demonstration.ask((host, int(port)), matchers, span, params, timeout))


@main.command()
@click.argument("scenario", required=False)
@click.option("--from-day", type=_CONFIG, help="A bench day file to play instead.")
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="A folder for records; it is emptied."
)
def rehearse(scenario: str | None, from_day: Path | None, out: Path) -> None:
    """Play SCENARIO (a file, or one that ships, such as bad-day) and judge the six rules; 0 only if all hold."""
    from gingervane.experiments import bench_day_import
    from gingervane.experiments import report
    from gingervane.scenarios import scenario as scenarios
    from gingervane.experiments.scenario_runner import ScenarioRun, ScenarioRunError

    if (scenario is None) == (from_day is None):
        raise click.UsageError("give a SCENARIO or --from-day, one of the two")
    if out.exists() and any(out.iterdir()) and not (out / "facts.json").exists():
        raise click.BadParameter(f"{out} holds something other than a rehearsal", param_hint="--out")
    try:
        day = bench_day_import.convert(from_day) if from_day else scenarios.load(str(scenario))
        found = ScenarioRun(day, out).run()
    except (daemon_settings.SettingsError, ScenarioRunError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    report.show(found)
    sys.exit(0 if found["kept"] else 1)


@main.group()
def lab() -> None:
    """Experiments: matrices of runs, kept, with tables, charts and paired comparisons."""


@lab.command("run")
@click.argument("experiment")
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Where runs are kept."
)
@click.option("--sockets", is_flag=True, help="On sockets and processes, not in simulated time.")
@click.option("--workers", type=click.IntRange(1, 256), default=4, show_default=True)
def lab_run(experiment: str, out: Path, sockets: bool, workers: int) -> None:
    """Play EXPERIMENT (a file, or one that ships); goes on where it was cut off. 0 only if no run failed."""
    from rich.progress import Progress

    from gingervane.experiments import experiment as experiments
    from gingervane.experiments.store import Run, StoreBusy

    try:
        found, scenario, _ = experiments.load(experiment)
        with Progress() as progress:
            task = progress.add_task(found.name, total=None)

            def told(done: int, total: int, run: Run | None) -> None:
                progress.update(task, completed=done, total=total)
                if run and run.error:
                    progress.console.print(f"failed: {run.cell}, seed {run.seed}: {run.error}", markup=False)

            world: experiments.World = "sockets" if sockets else "emulator"
            failed = experiments.run(found, scenario, out, world, workers, told)
    except (daemon_settings.SettingsError, StoreBusy) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    sys.exit(1 if failed else 0)


@lab.command("report")
@click.argument("experiment")
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Where runs are kept."
)
def lab_report(experiment: str, out: Path) -> None:
    """Write tables and charts of EXPERIMENT's runs, of the version of the code that was played last."""
    from gingervane.experiments import experiment as experiments
    from gingervane.experiments import figures
    from gingervane.experiments.store import RunStore, StoreBusy

    try:
        found, _, _ = experiments.load(experiment)
        store = RunStore(out / "runs.duckdb")
    except (daemon_settings.SettingsError, StoreBusy) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    runs = store.runs(found.name)
    store.close()
    if not runs:
        click.echo(f"{out}: no run of {found.name}", err=True)
        sys.exit(2)
    click.echo(figures.table(runs))
    click.echo(str(figures.page(found.name, found.expect, runs, out / found.name)))


@lab.command("compare")
@click.argument("a")
@click.argument("b")
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Where runs are kept."
)
def lab_compare(a: str, b: str, out: Path) -> None:
    """B less A, paired by cell and seed. Each is EXPERIMENT, or EXPERIMENT@WORLD, or EXPERIMENT@WORLD@VERSION."""
    from rich.console import Console
    from rich.table import Table

    from gingervane.experiments import figures
    from gingervane.experiments.store import RunStore, StoreBusy

    try:
        store = RunStore(out / "runs.duckdb")
        sides = [store.runs(*name.split("@")[:3]) for name in (a, b)]
        store.close()
        rows = figures.compare(*sides)
    except (StoreBusy, ValueError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    table = Table("measure", "pairs", a, b, "difference, 95%")
    for row in rows:
        table.add_row(row.measure, str(row.pairs), f"{row.a:.4g}", f"{row.b:.4g}", str(row.difference))
    Console().print(table)


if __name__ == "__main__":
    main()
