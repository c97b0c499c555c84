"""Turns successive server lists into membership updates for the decision engine. Free of I/O.

A list may leave out when a replica started. A replica that was gone and is listed again without a start time may have
just started, so its slow start begins when it is listed again. One that the first list names without a start time
counts as warm.

A list in which three of a thousand replicas changed becomes a delta of three rows.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.coordinator.replica_start_times import is_too_early
from gingervane.coordinator.types import EndpointsUpdated


class Member(NamedTuple):
    """One entry of a server list. `started_at`: on the caller's monotonic clock, None if the list does not state it.

    `create_index` changes when the entry is re-created (Consul's CreateIndex); 0 if the source has none.
    """

    id: int
    name: str
    address: tuple[str, int]
    zone: int
    cell: int
    state: api.ReplicaState
    started_at: float | None
    create_index: int = 0


class EndpointView:
    """The current list, and the start times of replicas derived from its changes."""

    def __init__(self) -> None:
        self._members: dict[int, Member] = {}
        self._start_times: dict[int, float] = {}
        self._removed: set[int] = set()
        self._awaiting_first_list = True
        self._last_update_at: float | None = None  # when the last list was applied that was not a cached one

    @property
    def members(self) -> dict[int, Member]:
        """The current list, by ID."""
        return self._members

    def apply_full_list(
        self, members: tuple[Member, ...], now: float, cached: bool = False
    ) -> EndpointsUpdated | None:
        """Apply a complete list received at `now`; return the update, None if nothing has changed."""
        members_by_id = {member.id: member for member in members}
        if members_by_id == self._members and (not self._awaiting_first_list or not members_by_id):
            return None
        for member in members:
            self._record_start(member, now)
        self._removed = (self._removed | set(self._members)) - {
            m.id for m in members if m.state is not api.ReplicaState.GONE
        }
        self._members, self._awaiting_first_list = members_by_id, False
        self._last_update_at = self._last_update_at if cached else now
        kind = api.MembershipUpdateKind.CACHED if cached else api.MembershipUpdateKind.FULL
        return self._as_update(kind, members)

    def apply_delta(self, changes: Mapping[int, Member | None], now: float) -> EndpointsUpdated | None:
        """Apply changed members by ID, None for removed ones. Before any other list, they are a complete list."""
        if self._awaiting_first_list:
            return self.apply_full_list(tuple(m for _, m in sorted(changes.items()) if m is not None), now)
        rows: list[Member] = []
        for member_id, member in changes.items():
            previous = self._members.get(member_id)
            if member == previous:
                continue
            if member is None:
                assert previous is not None
                del self._members[member_id]
                rows.append(previous._replace(state=api.ReplicaState.GONE))
                self._removed.add(member_id)
                continue
            self._record_start(member, now)
            self._members[member_id] = member
            (self._removed.add if member.state is api.ReplicaState.GONE else self._removed.discard)(member_id)
            rows.append(member)
        self._last_update_at = now
        return self._as_update(api.MembershipUpdateKind.DELTA, tuple(rows)) if rows else None

    def full_update(self, kind: api.MembershipUpdateKind = api.MembershipUpdateKind.FULL) -> EndpointsUpdated:
        """Return the current list as one update."""
        return self._as_update(kind, tuple(self._members.values()))

    def dump(self, offset: float) -> dict[str, Any]:
        """Return the state that slow start needs as JSON-compatible data.

        `offset`: seconds to add to Unix time to get the members' clock.
        """
        started = {str(n): at - offset for n, at in self._start_times.items() if at > 0.0}
        return {"started": started, "gone": sorted(self._removed)}

    def restore(self, stored: dict[str, Any], members: tuple[Member, ...], offset: float) -> None:
        """Restore what `dump` returned and the list of that time; call it before any list. Raises ValueError."""
        try:
            started = {int(n): float(at) + offset for n, at in stored["started"].items()}
            gone = {int(n) for n in stored["gone"]}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"malformed view state: {error!r}") from None
        self._members = {member.id: member for member in members}
        self._start_times, self._removed, self._awaiting_first_list = started, gone, False
        for member in members:
            if member.started_at is not None:
                self._start_times[member.id] = member.started_at

    def _record_start(self, member: Member, now: float) -> None:
        """Record when a replica counts as started, from its stated start time or else from how its entry changed."""
        previous = self._members.get(member.id)
        has_returned = member.id in self._removed and member.state is not api.ReplicaState.GONE
        has_moved = previous is not None and previous.address != member.address
        if member.started_at is not None:
            if (
                previous is None
                or previous.started_at != member.started_at
                or member.id not in self._start_times
            ):
                self._start_times[member.id] = self._bounded_start(
                    member.started_at, now, was_listed_before=previous is not None
                )
        elif not self._awaiting_first_list and (has_returned or has_moved or previous is None):
            self._start_times[member.id] = now

    def _bounded_start(self, started: float, now: float, was_listed_before: bool) -> float:
        """Return the start time, but `now` if it is in the future or a restart seems to precede the last list.

        A cold replica whose wall clock is wrong thus does not look warm. The second condition does not apply to a
        member listed for the first time: it may have run for long, as list files are edited by hand.
        """
        if was_listed_before and is_too_early(started, self._last_update_at):
            return now
        return min(started, now)

    def _as_update(self, kind: api.MembershipUpdateKind, members: tuple[Member, ...]) -> EndpointsUpdated:
        start_times = self._start_times
        rows = tuple(
            api.Replica(m.id, m.cell, m.zone, 1.0, m.state, start_times.get(m.id, 0.0)) for m in members
        )
        return EndpointsUpdated(api.MembershipChanged(kind, rows), {m.id: m.address for m in members})
