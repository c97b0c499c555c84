"""`gingervane serve` with a fault that breaks one rule of the audit, for tests of the audit.

Run as `python -m gingervane.cli.serve_mutant RULE ...`; the rest of the command line is that of `gingervane serve`.
"""

from __future__ import annotations

import sys

from gingervane.cli.main import main as command_line
from gingervane.experiments.fault_mutants import MUTANTS


def main(arguments: list[str]) -> None:
    """Put in the fault that the first argument names, and serve."""
    rule, *options = arguments
    MUTANTS[rule]()
    command_line(["serve", *options])


if __name__ == "__main__":
    main(sys.argv[1:])
