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

FOLDER = Path(tempfile.gettempdir()) / "gingervane-broken-runs"


def keep_run(logs: Path, plan: Plan, ledger: Ledger, result: Result) -> Path:
    """Copy a run's folder, add its ledger and findings, and return the copy. Times are of the monotonic clock."""
    kept = FOLDER / f"seed-{plan.seed}-{time.time_ns()}"
    shutil.copytree(logs, kept)
    records = {
        name: [asdict(record) if hasattr(record, "__dataclass_fields__") else record for record in value]
        for name, value in vars(ledger).items()
        if isinstance(value, list)
    }
    records["discovery_began_at"] = [ledger.discovery_began_at]
    (kept / "ledger.json").write_text(json.dumps(records))
    found = [*result.violations, *result.doubtful_violations]
    (kept / "found.txt").write_text("\n".join([*map(str, found), *result.ended_early, "", str(plan), ""]))
    return kept
