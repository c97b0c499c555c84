"""The faults of the fake discovery service, drawn from a seed. Times in seconds; chances for each call or watch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Outage:
    """A time span in which discovery is down: its watches are reset, and calls end in 503 or a reset."""

    begins: float
    lasts: float


@dataclass(frozen=True)
class DiscoveryFaults:
    """How the service fails. Times count from the start of the clients' traffic.

    Calls are handled one after another, `service_time` each. Beyond `queue_length` waiting calls, a call is refused
    at once with 503. If `openings` is given, the queue has room in these time spans only, as if other callers filled
    it for the rest of the time.
    """

    service_time: float = 0.0
    queue_length: int = 1000
    openings: tuple[tuple[float, float], ...] = ()
    hung: float = 0.0  # a call is accepted and never answered
    refused: float = 0.0  # a call is answered with 503 although the queue has room
    cut: float = 0.0  # the connection ends in the middle of the first list
    slow: float = 0.0  # an answer is delayed by up to `longest_delay`, in addition to the queue
    longest_delay: float = 1.0
    silent: float = 0.0  # a watch stays open but sends no more data, after up to `longest_watch`
    ended: float = 0.0  # a watch ends, after up to `longest_watch`
    longest_watch: float = 4.0
    pieces: float = 0.0  # a message is sent in two pieces
    indented: float = 0.0  # the JSON of a list spans several lines
    whole: float = 0.0  # a watch starts with the full list where the changes would suffice
    breaks: tuple[float, ...] = ()  # times at which all open watches are reset
    outages: tuple[Outage, ...] = ()

    def is_down(self, second: float) -> bool:
        """Return whether an outage covers a time."""
        return any(outage.begins <= second < outage.begins + outage.lasts for outage in self.outages)

    def reachable_from(self, second: float) -> float:
        """Return the first time, `second` or later, at which discovery can be reached."""
        for outage in sorted(self.outages, key=lambda outage: outage.begins):
            if outage.begins <= second < outage.begins + outage.lasts:
                second = outage.begins + outage.lasts
        return second


NO_FAULTS = DiscoveryFaults()
