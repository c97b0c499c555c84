"""The verdict on one rule. Its fields are keys of `report.json`."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_BREACHES_DESCRIBED = 5


@dataclass
class Verdict:
    """How a rule was kept.

    `tested` is how often the rule was put to the test, `nearest` the nearest miss as a share of the limit (1 is the
    limit; 0 if never tested), `what` describes the first few breaches.
    """

    kept: bool = True
    tested: int = 0
    nearest: float = 0.0
    breaches: int = 0
    what: list[str] = field(default_factory=list)

    def put(self, share: float, what: str) -> None:
        """Count one test, at a share of the limit; over 1 is a breach."""
        self.tested += 1
        self.nearest = max(self.nearest, share)
        if share > 1.0:
            self.breach(what)

    def breach(self, what: str) -> None:
        """Count a breach."""
        self.kept = False
        self.breaches += 1
        if len(self.what) < MAX_BREACHES_DESCRIBED:
            self.what.append(what)
