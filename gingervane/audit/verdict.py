"""The verdict on one rule. Its fields are keys of `report.json`."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_BREACHES_DESCRIBED = 5


@dataclass
class Verdict:
    """Whether and how well a rule was kept.

    `tested` counts the tests, `nearest` is the largest tested value as a share of the limit (1 is the limit;
    0 if never tested), and `what` describes the first few breaches.
    """

    kept: bool = True
    tested: int = 0
    nearest: float = 0.0
    breaches: int = 0
    what: list[str] = field(default_factory=list)

    def count_test(self, share: float, description: str) -> None:
        """Count one test with its value as a share of the limit; a share over 1 is a breach."""
        self.tested += 1
        self.nearest = max(self.nearest, share)
        if share > 1.0:
            self.count_breach(description)

    def count_breach(self, description: str) -> None:
        """Count a breach."""
        self.kept = False
        self.breaches += 1
        if len(self.what) < MAX_BREACHES_DESCRIBED:
            self.what.append(description)
