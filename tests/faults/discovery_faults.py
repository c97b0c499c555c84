"""What a stand-in discovery does wrong, drawn from a seed. Times in seconds, chances for each call or watch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Outage:
    """A span in which discovery is down: its watches are reset and calls end in 503 or a reset."""

    begins: float
    lasts: float


@dataclass(frozen=True)
class DiscoveryFaults:
    """How the service fails. Spans count from the start of the clients' traffic.

    Calls are handled one after another, `service_time` each; beyond `queue_length` waiting ones a call is refused at
    once with 503. `openings`: where given, a call gets a place inside these spans only, as if other callers held all
    places else.
    """

    service_time: float = 0.0
    queue_length: int = 1000
    openings: tuple[tuple[float, float], ...] = ()
    hung: float = 0.0  # a call that is accepted and never answered
    refused: float = 0.0  # a call answered 503 although there is room
    cut: float = 0.0  # a first list that breaks off in its middle
    slow: float = 0.0  # chance of an answer that comes up to `longest_delay` late, beside the queue
    longest_delay: float = 1.0
    silent: float = 0.0  # a watch that carries nothing any more and stays open, after up to `longest_watch`
    ended: float = 0.0  # a watch that ends, after up to `longest_watch`
    longest_watch: float = 4.0
    pieces: float = 0.0  # a message that comes in pieces
    indented: float = 0.0  # a list written over several lines
    whole: float = 0.0  # a whole list where the changes would do
    breaks: tuple[float, ...] = ()  # when all open watches are reset
    outages: tuple[Outage, ...] = ()

    def is_down(self, second: float) -> bool:
        """Whether an outage covers a moment."""
        return any(outage.begins <= second < outage.begins + outage.lasts for outage in self.outages)

    def reachable_from(self, second: float) -> float:
        """The first moment from then on in which discovery can be reached."""
        for outage in sorted(self.outages, key=lambda outage: outage.begins):
            if outage.begins <= second < outage.begins + outage.lasts:
                second = outage.begins + outage.lasts
        return second


NO_FAULTS = DiscoveryFaults()
