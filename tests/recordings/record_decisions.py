"""Writes the recordings: `python -m tests.recordings.record_decisions [NAME ...]`, from the root of the repository.

Run it only after an intended change of the decisions, and never from a test. It prints the size of each file.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))  # for the test helpers that the scenarios import
if __package__ in (None, ""):  # run by path
    sys.path.insert(0, str(Path(__file__).parents[2]))
    __package__ = "recordings"

from .codec import DIRECTORY, PREFIX, SUFFIX, names, write
from .scenarios import scenarios
from .simulator import Simulator


def main(chosen: list[str]) -> None:
    """Record the named scenarios, or all of them and then delete recordings that have no scenario any more."""
    scenario_names = set[str]()
    for name, scenario in scenarios():
        scenario_names.add(name)
        if chosen and name not in chosen:
            continue
        recording = Simulator(scenario).run()
        write(name, recording)
        size = (DIRECTORY / f"{PREFIX}{name}{SUFFIX}").stat().st_size
        actions = sum(len(batch.actions) for batch in recording.batches)
        print(f"{name}: {len(recording.batches)} batches, {actions} actions, {size} bytes")
    for name in set(names()) - scenario_names if not chosen else ():
        (DIRECTORY / f"{PREFIX}{name}{SUFFIX}").unlink()


if __name__ == "__main__":
    main(sys.argv[1:])
