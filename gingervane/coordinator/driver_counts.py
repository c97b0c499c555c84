"""Running totals of a driver, for metrics and tests. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Counts:
    """Running totals. The names of the attributes are the names of the metrics."""

    queries: int = 0
    parts: int = 0
    attempts: int = 0
    further: int = 0  # retries and hedged requests
    calls: int = 0  # batch requests
    late_endings: int = 0  # ends of attempts that had already ended
    withheld: int = 0  # attempts that were not sent because the part had reached its `max_executions`
    batches: int = 0  # batches of the decision engine
    verdicts: dict[str, int] = field(default_factory=dict)  # completed queries, by `QueryStatus`
    outcomes: dict[str, int] = field(default_factory=dict)  # ended attempts, by `AttemptOutcome`
    reasons: dict[str, int] = field(default_factory=dict)  # completed queries, by `QueryEndReason`

    def totals(self) -> dict[str, int]:
        """Return the totals that are not broken down, by name."""
        return {name: value for name, value in vars(self).items() if isinstance(value, int)}


def increment(counts: dict[str, int], name: str) -> None:
    """Add one to the count under `name`."""
    counts[name] = counts.get(name, 0) + 1
