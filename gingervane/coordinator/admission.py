"""Admission control: bounds on the open queries and on the memory of their results.

Shared by front threads and the decision thread.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple

from gingervane.coordinator.retry_after import RetryAfterEstimate


class AdmissionLimits(NamedTuple):
    """How much may be open at once."""

    max_open: int  # queries and their parts, counted together
    max_result_bytes: int  # results of open queries and of those whose reply is being written


class Rejected(Exception):
    """A query was not admitted: nothing of it was begun."""

    def __init__(self, detail: str, retry_after: float) -> None:
        """`retry_after`: seconds, from how fast capacity came free lately."""
        super().__init__(detail)
        self.retry_after = retry_after


class Admission:
    """Counts what is open, and rejects queries past the limits."""

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
        """Queries and parts that have been admitted and not released."""
        return self._open

    @property
    def reserved_bytes(self) -> int:
        """Bytes of the results of completed queries that have not been released."""
        return self._reserved_bytes

    def admit(self, size: int, open_result_bytes: int) -> None:
        """Take capacity for a query of `size` (itself and its parts), or raise `Rejected`.

        `open_result_bytes`: of the results of queries that have not been completed.
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
        """Give back the capacity of a query that has been replied to and whose results are no longer held."""
        with self._lock:
            self._open -= size
            self._reserved_bytes -= result_bytes
            self._open_estimate.record_release(self._now(), size)
            self._bytes_estimate.record_release(self._now(), result_bytes)

    def reserve_results(self, result_bytes: int) -> None:
        """Count the results of a completed query, which wait to be merged and written."""
        with self._lock:
            self._reserved_bytes += result_bytes

    def close(self, reason: str) -> None:
        """Reject every query from now on."""
        with self._lock:
            self._closed_reason = reason

    def reopen(self, reason: str) -> None:
        """Admit queries again, if `reason` is what admission was closed for."""
        with self._lock:
            if self._closed_reason == reason:
                self._closed_reason = ""
