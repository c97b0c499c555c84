"""Runs a gingervane command and samples the stacks of all its threads; writes each stack with its count.

Run: python benchmarks/sampler.py OUT -m gingervane.cli.main serve --config FILE
"""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from pathlib import Path

WAITS = {"wait", "_recv_into", "accept", "poll", "select", "get"}


def sample(out: str) -> None:
    counts: Counter[str] = Counter()
    own, last = threading.get_ident(), time.monotonic()
    while True:
        time.sleep(0.003)
        for ident, frame in sys._current_frames().items():
            if ident == own:
                continue
            stack, current = [], frame
            while current is not None:
                code = current.f_code
                stack.append(
                    f"{code.co_filename.rpartition('gingervane/')[2]}:{code.co_name}:{current.f_lineno}"
                )
                current = current.f_back  # type: ignore[assignment]
            counts[";".join(reversed(stack))] += 1
        if time.monotonic() - last > 2:
            last = time.monotonic()
            with Path(out).open("w") as file:
                file.writelines(f"{stack} {count}\n" for stack, count in counts.items())


if __name__ == "__main__":
    threading.Thread(target=sample, args=(sys.argv[1],), daemon=True).start()
    sys.argv = sys.argv[3:]
    from gingervane.cli.main import main

    main()
