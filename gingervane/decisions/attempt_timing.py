"""How long an attempt at a part may take: as measured or, before that, as the time of its caller allows."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.membership import Membership
from gingervane.decisions.query_state import Part


class AttemptTiming:
    """Divides the time of a part's caller between the attempts that can be made in it."""

    def __init__(self, settings: api.Settings, membership: Membership) -> None:
        self._settings = settings
        self._membership = membership

    def share_of_attempt(self, part: Part) -> float:
        """Seconds of its caller's time for each attempt that may be made at the part, one after another."""
        return self._caller_time(part) / self._attempts_possible(part)

    def _attempts_possible(self, part: Part) -> int:
        """The number of holders that may be asked one after another, at least 1."""
        holders = len(self._membership.holders(part.arrival.shard))
        return max(1, min(self._settings.max_attempts, holders))

    @staticmethod
    def _caller_time(part: Part) -> float:
        """Seconds from the arrival of the part to the time by which its query must be answered."""
        return part.query.answer_by - part.first_sent_at
