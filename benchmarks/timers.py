"""The timer structures on the mix that the module makes: one hedge timer a part, one stop a send, all fire.

Run: python benchmarks/timers.py
"""

from __future__ import annotations

import random
import time

from common import machine

from gingervane.coordinator.timers import HeapTimers, WheelTimers


def play(timers: HeapTimers | WheelTimers, parts: int, rate: float) -> tuple[float, int]:
    """Seconds of CPU a part, and how many turns of the loop the timers caused."""
    rng, now, wakes = random.Random(1), 0.0, 0
    began = time.process_time()
    for _ in range(parts):
        now += rng.expovariate(rate)
        while timers.next_due() <= now:
            timers.pop_due(max(timers.next_due(), now))
            wakes += 1
        timers.add(now + rng.uniform(0.02, 0.06), 1)
        timers.add(now + 4.0, (1, 2))
    return (time.process_time() - began) / parts, wakes


if __name__ == "__main__":
    print(machine())
    for rate in (500.0, 2000.0, 10000.0):
        for name, timers in (("heap", HeapTimers()), ("wheel", WheelTimers(0.005))):
            seconds, wakes = play(timers, 100_000, rate)
            print(
                f"{rate:6.0f} parts/s  {name:5}  {seconds * 1e6:5.2f} us a part, {wakes / 100_000:.3f} wakes a part"
            )
