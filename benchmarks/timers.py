"""Cost of the timer implementations, with one hedge timer and one time-out per part, all of which expire.

Run: python benchmarks/timers.py
"""

from __future__ import annotations

import random
import time

from common import machine

from gingervane.coordinator.timers import HeapTimers, WheelTimers


def play(timers: HeapTimers | WheelTimers, parts: int, rate: float) -> tuple[float, int]:
    """Return the CPU seconds a part, and the number of wake-ups for due timers."""
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
