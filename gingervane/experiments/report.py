"""Prints the report of a scenario run as tables."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table


def show(report: dict[str, Any]) -> None:
    """Print the rules' verdicts, the priority weight served, outcomes, costs and latencies."""
    console = Console()
    console.print(_rules(report))
    weight = report["worth"]
    console.print(
        f"worth served {weight['served']:g} of {weight['asked']:g} asked, {weight['bound']:g} at best "
        f"({weight['served'] / max(weight['bound'], 1e-9):.3f} of that)"
    )
    console.print(f"tries {report['tries']}, outcomes {report['outcomes']}")
    console.print(
        f"parts {report['parts']}, attempts {report['attempts']}, copies {report['copies']}, calls {report['calls']}"
    )
    console.print(
        f"subtrees {report['subtrees']}, attempts a leaf part {report['attempts'] / max(report['parts'], 1):.3f}, "
        f"most that ran {report['most_runs_a_part']}; after the reply {report['stray']['share_of_work']:.2%} of the "
        f"nodes' work and {report['stray']['share_of_sends']:.2%} of the sends"
    )
    if vectors := report.get("vectors"):
        _show_vectors(console, vectors)
    if delays := report["told_of_changes_ms"]:
        console.print(
            f"co-ordinators told {delays['count']} times of a change in the catalogue: p50 {delays.get('p50')} ms, "
            f"p99 {delays.get('p99')}, at most {delays.get('p100')}"
        )
    console.print(_latencies(report))
    for what in report["unmapped"]:
        console.print(f"not mapped: {what}")


def _rules(report: dict[str, Any]) -> Table:
    rules = Table("rule", "kept", "tested", "nearest miss", "breaches", title=f"Rules on {report['name']}")
    for name, verdict in report["rules"].items():
        rules.add_row(
            name,
            "yes" if verdict["kept"] else "[red]BROKEN[/red]",
            str(verdict["tested"]),
            f"{verdict['nearest']:.2f}",
            "\n".join(verdict["what"]),
        )
    return rules


def _show_vectors(console: Console, vectors: dict[str, Any]) -> None:
    rules = Table("rule of writes", "kept", "tested", "breaches", title="Vectors")
    for name, verdict in vectors["rules"].items():
        kept = "yes" if not verdict["breaches"] else f"[red]BROKEN[/red] {verdict['breaches']}"
        rules.add_row(name, kept, str(verdict["tested"]), "\n".join(verdict["what"]))
    console.print(rules)
    console.print(
        f"tries {vectors['tries']}, effects {vectors['effects']}, repeats dropped {vectors['repeats']}, "
        f"all paid at the end: {'yes' if vectors['settled'] else 'no'}, outcomes {vectors['outcomes']}"
    )


def _latencies(report: dict[str, Any]) -> Table:
    latencies = Table("class", "answered", "p50 ms", "p90", "p99", "p99.9")
    for name, row in report["latency_ms"].items():
        latencies.add_row(name, *(str(row[key]) for key in ("count", "p50", "p90", "p99", "p99.9")))
    return latencies
