"""Trees of one (flat), two and three levels: queries over all tiles, with 12, 60 and 150 nodes and one root.

Run: python benchmarks/tree.py [OUT]
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from common import machine

from gingervane.experiments.scenario_runner import ScenarioRun
from gingervane.scenarios.scenario import Scenario
from gingervane.settings.daemon_settings import validate

SECONDS, RATE = 10.0, 3.0


def scenario_table(nodes: int, levels: int) -> dict[str, Any]:
    """Build a scenario with 1 (flat) to 3 levels of co-ordinators; the fan-out makes all levels used."""
    tiles = nodes
    fan_out = {1: tiles, 2: max(-(-tiles // 5), 2), 3: max(round((tiles / 4) ** 0.5) + 1, 2)}[levels]
    tree = {} if levels == 1 else {"fan_out": fan_out, "levels": levels - 1, "width": 3}
    return {
        "name": f"{nodes}x{levels}",
        "seconds": SECONDS,
        "nodes": {
            "count": nodes,
            "tiles": tiles,
            "processes": 4,
            "work": 0.01,
            "call_work": 0.002,
            "queue": 500,
        },
        "coordinators": {"count": 1 if levels == 1 else 8, "roots": 1, "tree": tree, "budget_free": 100},
        "clients": {"rate": RATE, "retries": 0, "impatient": 0.0},
        "class": [{"name": "wide", "aim": 3.0, "deadline": 8.0, "tiles": [tiles, tiles]}],
    }


if __name__ == "__main__":
    print(machine())
    out = Path(sys.argv[1] if len(sys.argv) > 1 else "/tmp/gingervane-tree")
    print(
        "nodes levels answered  p50 ms  p99 ms  root CPU ms/query  all CPU ms/query  root KiB/query  root MiB  "
        "attempts/part"
    )
    for nodes in (12, 60, 150):
        for levels in (1, 2, 3):
            scenario = validate(Scenario, scenario_table(nodes, levels), Path("benchmark"))
            report = ScenarioRun(scenario, out / f"{nodes}-{levels}").run()
            row, count = (
                report["latency_ms"].get("wide", {"count": 0, "p50": 0, "p99": 0}),
                max(report["tries"], 1),
            )
            usage = {int(n): process_usage for n, process_usage in report["usage"].items()}
            cpu = sum(process_usage["cpu_s"] for process_usage in usage.values())
            root = next(v for tap, v in report["bytes_exchanged"].items() if tap.startswith("tap-0-"))
            kept = "" if report["kept"] else "  RULES BROKEN"
            print(
                f"{nodes:5} {levels:6} {row['count']:5}/{report['tries']:<3} {row['p50']:7.1f} {row['p99']:7.1f} "
                f"{usage[0]['cpu_s'] / count * 1000:18.1f} {cpu / count * 1000:17.1f} {root / count / 1024:15.1f} "
                f"{usage[0]['rss_mib']:9.0f} {report['attempts'] / max(report['parts'], 1):14.3f}{kept}",
                flush=True,
            )
