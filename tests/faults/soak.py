"""The soak: `python -m faults.soak --seeds 1-50 --at-once 4` from `tests/`; `--seconds` sets the length of a run.

Clients use their open connections until SIGKILL, which comes as early as the platform allows. Nodes are restarted
again and again, and in some runs idle clients use up a node's file descriptors. Discovery does not answer, refuses
calls, cuts lists short, stops sending, is slow, is down or moves. The command prints one line for each seed, the
number of injected faults and of races of each kind, and the number of runs that broke a rule; its exit status is 0
only if no run did.
"""

from __future__ import annotations

import sys

from faults.campaign import run_campaign
from faults.rig import play
from faults.soak_plans import draw_soak

SECONDS = 20.0  # of a run

if __name__ == "__main__":
    sys.exit(run_campaign("Plays long seeded runs with faults of discovery.", draw_soak, play, SECONDS))
