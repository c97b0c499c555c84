"""Divides the node's memory limit, and reads how much memory the process has in use."""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

from gingervane.limits.memory_budget import BudgetUse

# Memory that the process takes with its first queries: worker threads, caches of the allocator and of the decisions.
_WARM_UP_BYTES = 2 << 20
# Of the rest; the remainder is for copies while a request is parsed and sent on, garbage, and a fragmented heap.
_BUDGET_SHARE = 0.5
_LEAST_BUDGET_BYTES = 1 << 20
_STATUS_FILE = Path("/proc/self/status")
_STATUS_FIELD = re.compile(r"^(VmRSS|VmHWM|Threads):\s+(\d+)", re.MULTILINE)


class MemoryLimits(NamedTuple):
    """The division of the memory limit, in bytes.

    `at_rest`: what the process had in use before it served; `budget`: what it may hold for clients.
    """

    limit: int
    at_rest: int
    budget: int

    @property
    def is_too_low(self) -> bool:
        """Whether the limit leaves less than the least budget, so that the process may pass it."""
        return self.limit < self.at_rest + _WARM_UP_BYTES + _LEAST_BUDGET_BYTES / _BUDGET_SHARE


class ProcessStatus(NamedTuple):
    """Memory in KiB and the number of threads; 0 where the system does not tell."""

    resident: int
    peak: int
    threads: int

    def as_totals(self) -> dict[str, int]:
        """Return the values by the names that they have in the log."""
        return {"rss_kib": self.resident, "peak_rss_kib": self.peak, "threads": self.threads}


def divide_memory(limit: int, at_rest: int) -> MemoryLimits:
    """Divide a limit of `limit` bytes, of which `at_rest` are in use before the first request."""
    budget = int((limit - at_rest - _WARM_UP_BYTES) * _BUDGET_SHARE)
    return MemoryLimits(limit, at_rest, max(budget, _LEAST_BUDGET_BYTES))


def process_status() -> ProcessStatus:
    """Return what the system tells about this process."""
    try:
        fields = dict(_STATUS_FIELD.findall(_STATUS_FILE.read_text()))
    except OSError:
        fields = {}
    return ProcessStatus(*(int(fields.get(name, 0)) for name in ("VmRSS", "VmHWM", "Threads")))


def budget_totals(use: BudgetUse) -> dict[str, int]:
    """Return the bytes of the budget by the names that they have in the log."""
    return {"total": use.total, "used": use.used, "peak": use.peak, **use.by_owner}
