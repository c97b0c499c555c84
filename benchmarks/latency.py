"""Latency that the co-ordinator adds to direct requests, and the effect of hedged requests with a slow node.

To measure the added latency, direct requests and requests through the co-ordinator alternate within one run,
at half of the nodes' capacity.
Run: python benchmarks/latency.py
"""

from __future__ import annotations

import random
import sys
import threading
import time

from common import Fleet, machine, open_loop
from hdrh.histogram import HdrHistogram

from gingervane.fake_servers.capacity import Model
from gingervane.fronts.client import Client
from gingervane.wire.remote_read import Match, Matcher, Query

END = 1_764_600_000_000  # end of the requested time range, in Unix milliseconds
MODEL = Model(cores=2, work=0.02, call_work=0.002)
RATE, SECONDS = 60.0, 20.0


def query(tile: str) -> Query:
    wind = Matcher(Match.EQUAL, "__name__", "wind_speed")
    return Query(END - 300_000, END, (wind, Matcher(Match.EQUAL, "tile", tile)))


def quantiles(histogram: HdrHistogram) -> str:
    return (
        ", ".join(f"p{q:g} {histogram.get_value_at_percentile(q) / 1000:.2f}" for q in (50, 90, 99)) + " ms"
    )


def measure_added_latency() -> None:
    """Alternate direct requests and requests through the co-ordinator in one run; one part a query."""
    with Fleet(model=MODEL) as fleet:
        direct = [Client(("127.0.0.1", port)) for port in fleet.ports]
        through, rng = Client(fleet.address), random.Random(4)
        histograms = {"direct": HdrHistogram(1, 60_000_000, 3), "through": HdrHistogram(1, 60_000_000, 3)}
        lock = threading.Lock()
        picks = [(rng.randrange(24), rng.randrange(3)) for _ in range(int(RATE * 4 * SECONDS))]

        def work(index: int) -> None:
            tile, replica = picks[index]
            queries = [query(f"t{tile:03d}")]
            name = ("direct", "through")[index % 2]
            client = direct[(tile + replica) % 12] if name == "direct" else through
            start = time.monotonic()
            data = client.request(queries, {})
            assert client.exchange(data, 10.0)[0] == 200
            with lock:
                histograms[name].record_value(int((time.monotonic() - start) * 1e6))

        # The rate is half of the capacity of 12 nodes x 2 cores / 22 ms a part.
        _, _, errors = open_loop(RATE * 4, SECONDS, work)
        for name, histogram in histograms.items():
            print(f"{name:8} {histogram.get_total_count():5} queries: {quantiles(histogram)}")
        through_us, direct_us = histograms["through"], histograms["direct"]
        added_us = [
            through_us.get_value_at_percentile(q) - direct_us.get_value_at_percentile(q) for q in (50, 99)
        ]
        print(
            f"added: {added_us[0] / 1000:.2f} ms at the median, {added_us[1] / 1000:.2f} ms at p99; errors {errors}"
        )


def measure_hedging(hedging_allowed: bool) -> None:
    """Measure with one of twelve nodes ten times slower; hedging is switched off in the engine's settings."""
    patch = (
        ""
        if hedging_allowed
        else "from gingervane.settings.daemon_settings import Config as C; f = C.module_settings; "
        "C.module_settings = lambda s: f(s)._replace(may_copy=False); "
    )
    code = patch + "import sys; sys.argv = sys.argv[2:]; from gingervane.cli.main import main; main()"
    slow = {
        3: [{"kind": "slow", "start": time.monotonic() + 8, "seconds": 600.0, "size": 10.0, "how": "crash"}]
    }
    with Fleet(model=MODEL, faults=slow, prefix=[sys.executable, "-c", code]) as fleet:
        client = Client(fleet.address)
        began, slow_phase = time.monotonic(), HdrHistogram(1, 60_000_000, 3)
        lock = threading.Lock()

        def work(index: int) -> None:
            tiles = [f"t{(index * 7 + i) % 24:03d}" for i in range(3)]
            queries = Query(
                END - 300_000,
                END,
                (
                    Matcher(Match.EQUAL, "__name__", "wind_speed"),
                    Matcher(Match.REGEX, "tile", "|".join(tiles)),
                ),
            )
            start = time.monotonic()
            assert client.exchange(client.request([queries], {}), 10.0)[0] == 200
            if start - began > 9:  # the fault starts at 8 s; leave out its first second
                with lock:
                    slow_phase.record_value(int((time.monotonic() - start) * 1e6))

        _, _, errors = open_loop(40.0, 40.0, work)
        name, count = "on " if hedging_allowed else "off", slow_phase.get_total_count()
        print(f"copies {name}: {count} queries of 3 parts: {quantiles(slow_phase)}; errors {errors}")


if __name__ == "__main__":
    print(machine())
    measure_added_latency()
    measure_hedging(True)
    measure_hedging(False)
