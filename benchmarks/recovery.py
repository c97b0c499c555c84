"""What callers get after a heavy tail has gone, in simulated time: whether the overload goes with its cause.

For 15 s one part in 20 takes 30 times as long, at about the capacity of the replicas; then the tail is gone. Clients
whose query is refused or fails send it again at once, up to three times. Replicas and clients are those of
`overload.py`.

    python benchmarks/recovery.py [--seeds 5] [--processes 4] [--chart FILE.png]

Prints, by co-ordinators and load, for each 5 s: the share of the first tries of that time that were answered in
their caller's time, and the mean seconds to the answers given in that time.
"""

from __future__ import annotations

import argparse
import itertools
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from overload import START, WARM_UP, Job, Query, Run

TAIL_AT, TAIL_SECONDS = START + WARM_UP + 10.0, 15.0
TAIL_SHARE, TAIL_WORK = 0.05, 30.0  # share of the parts, and how many times as long they take
RETRIES = 3
SPAN = 5.0  # seconds of a row
SHOWN_FROM, SHOWN_UNTIL = START + WARM_UP, START + WARM_UP + 55.0
COORDINATORS, LOADS = (3, 17, 54), (0.9, 1.1)

Span = int  # number of a span of `SPAN` seconds from `SHOWN_FROM`
Sums = dict[Span, tuple[int, int, float]]  # first tries asked, of them answered, and seconds to the answers


class RecoveryRun(Run):
    """A run with a heavy tail for some seconds."""

    def __init__(self, job: Job) -> None:
        super().__init__(job)
        self.asked = defaultdict[Span, int](int)
        self.answers = defaultdict[Span, list[float]](
            list
        )  # seconds of the caller, by the span of its first try

    def work_seconds(self, now: float) -> float:
        seconds = super().work_seconds(now)
        is_tail = TAIL_AT <= now < TAIL_AT + TAIL_SECONDS and self.random.random() < TAIL_SHARE
        return seconds * TAIL_WORK if is_tail else seconds

    def client_arrives(self, now: float) -> None:
        self.asked[span_of(now)] += 1
        super().client_arrives(now)

    def answered(self, now: float, query: Query) -> None:
        self.answers[span_of(query.asked_at)].append(now - query.asked_at)
        super().answered(now, query)


def span_of(at: float) -> Span:
    """Return the number of the span in which a time lies."""
    return int((at - SHOWN_FROM) // SPAN)


def play(job: Job) -> Sums:
    """Play one run."""
    run = RecoveryRun(job)
    run.play()
    return {
        span: (count, len(run.answers[span]), sum(run.answers[span])) for span, count in run.asked.items()
    }


def draw(path: Path, rows: dict[tuple[int, float], list[tuple[float, float]]]) -> None:
    """Draw the answered share of each row over time."""
    figure, axes = plt.subplots(figsize=(8, 4))
    for (coordinators, load), values in rows.items():
        times = [SPAN * number for number in range(len(values))]
        axes.plot(times, [share for share, _ in values], label=f"{coordinators} co-ordinators, load {load}")
    axes.axvspan(TAIL_AT - SHOWN_FROM, TAIL_AT - SHOWN_FROM + TAIL_SECONDS, alpha=0.15)
    axes.set_xlabel("seconds; the heavy tail is shaded")
    axes.set_ylabel("first tries answered in their caller's time")
    axes.set_ylim(0.0, 1.02)
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=100)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--chart", type=Path)
    arguments = parser.parse_args()
    cells = list(itertools.product(COORDINATORS, LOADS))
    jobs = [
        Job(load, seed, RETRIES, 0, coordinators)
        for coordinators, load in cells
        for seed in range(arguments.seeds)
    ]
    with ProcessPoolExecutor(arguments.processes) as pool:
        results = iter(list(pool.map(play, jobs)))
    spans = range(span_of(SHOWN_UNTIL))
    print("co-ordinators  load  " + "  ".join(f"{SPAN * span:9.0f} s" for span in spans))
    rows: dict[tuple[int, float], list[tuple[float, float]]] = {}
    for cell in cells:
        runs = [next(results) for _ in range(arguments.seeds)]
        values = []
        for span in spans:
            asked, answered, seconds = (sum(run.get(span, (0, 0, 0.0))[n] for run in runs) for n in range(3))
            values.append((answered / max(asked, 1), seconds / max(answered, 1)))
        rows[cell] = values
        shown = "  ".join(f"{share:.2f} {seconds:4.1f} s" for share, seconds in values)
        print(f"{cell[0]:13}  {cell[1]:4}  {shown}")
    if arguments.chart:
        draw(arguments.chart, rows)


if __name__ == "__main__":
    main()
