"""Plays the plans of many seeds in parallel, and prints the results."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from faults.plans import Plan

if TYPE_CHECKING:
    from faults.rig import Result

ROOT = Path(__file__).parents[2]


class PlayPlan(Protocol):
    """A function that plays one plan."""

    def __call__(
        self, plan: Plan, root: Path, python: str, env: dict[str, str], keep_logs: Path | None
    ) -> Result: ...


def shim(seed: int, parameters: str) -> dict[str, str]:
    """Return the environment that makes system calls of a node fail; `words` is RATE:STEP, or empty."""
    if not parameters:
        return {}
    return {"PYTHONPATH": str(Path(__file__).parent / "shim"), "RIG_SHIM": f"{seed}:{parameters}"}


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _parse_options(description: str, seconds: float) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--plays", type=int, default=1, help="how often each seed is played")
    parser.add_argument(
        "--at-once", type=int, default=4, help="number of runs in parallel, each in its own process"
    )
    parser.add_argument("--seconds", type=float, default=seconds, help="length of a run in seconds")
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument(
        "--shim", default="", help="RATE:STEP: share of failing system calls, step of the wall clock (s)"
    )
    parser.add_argument("--show", type=int, default=3, help="violations to print for each run")
    parser.add_argument("--logs", type=Path, help="folder for the nodes' logs, one for each seed")
    return parser.parse_args()


def run_campaign(description: str, draw: Callable[[int, float], Plan], play: PlayPlan, seconds: float) -> int:
    """Play the seeds given on the command line; return the exit status: 0 only if no run broke a rule."""
    options = _parse_options(description, seconds)
    totals, rules, statuses, faults = Counter[str](), Counter[str](), Counter[int](), Counter[str]()
    expected_answers = Counter[str]()

    seeds = [seed for seed in _seeds(options.seeds) for _ in range(options.plays)]
    # Each run has its own process: threads of several runs in one process would delay each other's time stamps.
    with ProcessPoolExecutor(options.at_once, get_context("spawn"), max_tasks_per_child=1) as pool:
        for run in pool.map(partial(_play_seed, options, draw, play), seeds):
            totals.update(_totals(run))
            rules.update(violation.rule for violation in run.violations)
            statuses.update(run.statuses)
            faults.update(run.faults)
            expected_answers.update(run.expected_answers)
            _print_run(run, options.show)
    titles = (
        ("total", totals),
        ("broken", rules),
        ("statuses", statuses),
        ("owed, by status", expected_answers),
        ("faults", faults),
    )
    for title, counts in titles:
        print(title, dict(sorted(counts.items(), key=str)))
    broken_runs = totals["runs_broken"]
    print(f"{totals['runs']} runs, {broken_runs} with a broken rule")
    return 1 if broken_runs else 0


def _play_seed(
    options: argparse.Namespace, draw: Callable[[int, float], Plan], play: PlayPlan, seed: int
) -> Result:
    logs = options.logs / f"seed-{seed}" if options.logs else None
    plan = draw(seed, options.seconds)
    return play(plan, options.root, options.python, shim(seed, options.shim), logs)


def _totals(run: Result) -> dict[str, int]:
    return {
        "runs": 1,
        "requests": run.requests,
        "attempts": run.attempts,
        "second_steps": run.second_steps,
        "short": run.partial_answers,
        "ended_early": len(run.unexpected_exits),
        "doubtful": len(run.doubtful_violations),
        "runs_broken": bool(run.violations or run.unexpected_exits),
    }


def _print_run(run: Result, max_shown: int) -> None:
    answered = run.statuses[200]
    print(
        f"seed {run.seed}: {run.requests} requests, {answered} answered, owed {run.expected_answers.total()} "
        f"and given {run.expected_answers['200']}, {len(run.violations)} violations, "
        f"{len(run.doubtful_violations)} doubtful, rig stood still for {run.longest_stall:.3f} s",
        flush=True,
    )
    if run.saved_to:
        print(f"  kept in {run.saved_to}", flush=True)
    for violation in run.violations[:max_shown]:
        print(f"  {violation.rule}: {violation.what}", flush=True)
    for name in run.unexpected_exits:
        print(f"  {name} ended by itself", flush=True)
