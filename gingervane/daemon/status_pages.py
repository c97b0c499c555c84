"""HTTP pages for metrics, liveness and readiness."""

from __future__ import annotations

from collections.abc import Callable

from gingervane.fronts.http_server import Reply, plain
from gingervane.fronts.routing import Route

METRICS_PATH = "/metrics"
HEALTHY_PATH = "/-/healthy"
READY_PATH = "/-/ready"

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"  # the Prometheus text format
_READY_RETRY_AFTER = "1"  # seconds


class StatusPages:
    """Serves `/metrics`, `/-/healthy` (the process answers) and `/-/ready` (it admits queries, else 503)."""

    def __init__(self, metrics_text: Callable[[], bytes], is_ready: Callable[[], bool]) -> None:
        self._metrics_text = metrics_text
        self._is_ready = is_ready

    def routes(self) -> list[Route]:
        """Return the routes of all pages."""
        return [
            Route("GET", METRICS_PATH, lambda *_: self._metrics()),
            Route("GET", HEALTHY_PATH, lambda *_: plain(200, "healthy")),
            Route("GET", READY_PATH, lambda *_: self._ready()),
        ]

    def _metrics(self) -> Reply:
        return Reply(200, [("Content-Type", _METRICS_TYPE)], self._metrics_text())

    def _ready(self) -> Reply:
        if self._is_ready():
            return plain(200, "ready")
        return plain(503, "not ready", fields=(("Retry-After", _READY_RETRY_AFTER),))
