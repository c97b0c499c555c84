"""Saves the evidence of a run that broke a rule: the nodes' logs, the ledger, the plan and the findings."""

from __future__ import annotations

import json
import shutil
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

from faults.ledger import Ledger
from faults.plans import Plan

if TYPE_CHECKING:
    from faults.rig import Result

BROKEN_RUNS_FOLDER = Path(tempfile.gettempdir()) / "gingervane-broken-runs"


def save_run(logs: Path, plan: Plan, ledger: Ledger, result: Result) -> Path:
    """Copy a run's folder, add its ledger and findings, and return the copy. Times are of the monotonic clock."""
    saved_to = BROKEN_RUNS_FOLDER / f"seed-{plan.seed}-{time.time_ns()}"
    shutil.copytree(logs, saved_to)
    records = {
        name: [asdict(record) if hasattr(record, "__dataclass_fields__") else record for record in value]
        for name, value in vars(ledger).items()
        if isinstance(value, list)
    }
    records["discovery_began_at"] = [ledger.discovery_began_at]
    (saved_to / "ledger.json").write_text(json.dumps(records))
    findings = [*result.violations, *result.doubtful_violations]
    (saved_to / "found.txt").write_text(
        "\n".join([*map(str, findings), *result.unexpected_exits, "", str(plan), ""])
    )
    return saved_to
