"""Admission control: limits the open queries and the memory that their results take.

Shared by front threads and the decision thread.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple

from gingervane.coordinator.retry_after import RetryAfterEstimate


class AdmissionLimits(NamedTuple):
    """Limits on open queries and on the memory of their results."""

    max_open: int  # open queries and their parts, counted together
    max_result_bytes: int  # of open queries and of queries whose reply is being written


class Rejected(Exception):
    """A query was not admitted; no part of it was started."""

    def __init__(self, detail: str, retry_after: float) -> None:
        """`retry_after`: seconds, from the recent rate at which capacity was released."""
        super().__init__(detail)
        self.retry_after = retry_after


class Admission:
    """Counts admitted queries and result bytes, and rejects queries beyond the limits."""

    def __init__(
        self,
        limits: AdmissionLimits,
        max_retry_after: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """`max_retry_after`: seconds, the longest Retry-After."""
        self._limits = limits
        self._max_retry_after = max_retry_after
        self._now = now
        self._lock = Lock()
        self._open_estimate = RetryAfterEstimate(max_retry_after)
        self._bytes_estimate = RetryAfterEstimate(max_retry_after)
        self._open = 0
        self._reserved_bytes = 0
        self._closed_reason = ""  # empty: queries are admitted

    @property
    def open(self) -> int:
        """Queries and parts that are admitted and not yet released."""
        return self._open

    @property
    def reserved_bytes(self) -> int:
        """Bytes of the results of queries that are completed and not yet released."""
        return self._reserved_bytes

    def admit(self, size: int, open_result_bytes: int) -> None:
        """Reserve capacity for a query of `size` (itself and its parts), or raise `Rejected`.

        `open_result_bytes`: size of the results of queries that are not yet completed.
        """
        with self._lock:
            if self._closed_reason:
                raise Rejected(self._closed_reason, self._max_retry_after)
            max_open = self._limits.max_open
            if self._open + size > max_open:
                wait = self._open_estimate.seconds_until_free(self._now(), self._open + size - max_open)
                raise Rejected(f"{self._open} of {max_open} queries and parts are open", wait)
            excess = self._reserved_bytes + open_result_bytes - self._limits.max_result_bytes
            if excess > 0:
                wait = self._bytes_estimate.seconds_until_free(self._now(), excess)
                raise Rejected(f"results held take {excess} bytes more than the bound", wait)
            self._open += size

    def release(self, size: int, result_bytes: int) -> None:
        """Release the capacity of a query whose reply has been written and whose results have been dropped."""
        with self._lock:
            self._open -= size
            self._reserved_bytes -= result_bytes
            self._open_estimate.record_release(self._now(), size)
            self._bytes_estimate.record_release(self._now(), result_bytes)

    def reserve_results(self, result_bytes: int) -> None:
        """Count the results of a completed query until they have been merged and written."""
        with self._lock:
            self._reserved_bytes += result_bytes

    def close(self, reason: str) -> None:
        """Reject all queries from now on; `reason` is the detail of each rejection."""
        with self._lock:
            self._closed_reason = reason

    def reopen(self, reason: str) -> None:
        """Admit queries again if admission was closed for this `reason`."""
        with self._lock:
            if self._closed_reason == reason:
                self._closed_reason = ""
