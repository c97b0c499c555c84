"""Runs `gingervane serve` with a fault that breaks one rule of the audit, for tests of the audit.

Usage: `python -m gingervane.cli.serve_mutant RULE ...`; the other arguments are those of `gingervane serve`.
"""

from __future__ import annotations

import sys

from gingervane.cli.main import main as command_line
from gingervane.experiments.fault_mutants import MUTANTS


def main(arguments: list[str]) -> None:
    """Install the fault that the first argument names, then run `serve` with the other arguments."""
    rule, *options = arguments
    MUTANTS[rule]()
    command_line(["serve", *options])


if __name__ == "__main__":
    main(sys.argv[1:])
