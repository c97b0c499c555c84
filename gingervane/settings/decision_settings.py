"""Derives the settings of the decision engines from the tables of the daemon's settings file."""

from __future__ import annotations

from collections.abc import Sequence

from gingervane import interface as api
from gingervane.coordinator.types import MAX_SEND_DELAY
from gingervane.settings.tables import Budget, Class, Fleet, Limits, Replicas, Shards, Tree

# Share of the free retries that a co-ordinator with a tree spends on subtrees; the rest is for its own replicas.
SUBTREE_BUDGET_SHARE = 0.25
_TIMER_GRANULARITY = 0.005  # seconds
_COLLECTING_COVERAGE = 1e-6  # least share of the parts; so small that a single part suffices


def module_settings(
    fleet: Fleet,
    shards: Shards,
    classes: Sequence[Class],
    limits: Limits,
    replicas: Replicas,
    budget: Budget | None,
    has_tree: bool,
) -> api.Settings:
    """Return the settings of the decision engine that selects replicas."""
    free = budget.free * (1.0 - SUBTREE_BUDGET_SHARE if has_tree else 1.0) if budget else None
    return api.Settings(
        coordinator_count=fleet.coordinators,
        zone=fleet.zones.index(fleet.zone),
        query_classes=tuple(variant for c in classes for variant in _variants(c)),
        tenant_quotas=(),
        timer_granularity=_TIMER_GRANULARITY,
        cell_count=shards.cells,
        cells_per_replica=shards.width,
        max_parts_per_request=limits.parts_per_call,
        max_attempts=limits.most_attempts,
        cancellation_allowed=True,
        gossip_allowed=False,
        hedging_allowed=limits.copies,
        retry_after_allowed=True,
        max_retry_after=limits.longest_wait_advice,
        membership_polled=False,
        slow_start_capacity=replicas.start_capacity,
        slow_start_duration=replicas.ramp_time,
        overload_window=replicas.fall_time,
        overload_multiple=replicas.fall_multiple,
        retry_budget_free=free,
        retry_budget_share=budget.share if budget else None,
        retry_budget_window=budget.span if budget else None,
        max_send_delay=MAX_SEND_DELAY,
    )


def subtree_settings(
    settings: api.Settings, classes: Sequence[Class], tree: Tree, budget: Budget | None
) -> api.Settings:
    """Return the settings of the decision engine that selects child co-ordinators; its parts are subtrees."""
    return settings._replace(
        query_classes=tuple(_query_class(c, 1.0) for c in classes),
        cell_count=tree.ring,
        cells_per_replica=min(tree.width, tree.ring),
        max_parts_per_request=1,
        slow_start_duration=tree.ramp_time,
        retry_budget_free=budget.free * SUBTREE_BUDGET_SHARE if budget else None,
    )


def _variants(c: Class) -> tuple[api.QueryClass, api.QueryClass, api.QueryClass]:
    """Return three variants of a class: strict, lenient (partial answers allowed) and collecting (for a parent).

    The collecting variant answers with whatever parts came by its deadline, as the parent co-ordinator works out the
    coverage of the whole query.
    """
    strict = _query_class(c, 1.0)
    lenient = _query_class(c, c.least_share)._replace(complete_coverage=c.whole_share)
    collecting = _query_class(c, _COLLECTING_COVERAGE)
    return strict, lenient, collecting


def _query_class(c: Class, required_coverage: float) -> api.QueryClass:
    return api.QueryClass(
        latency_objective=c.aim,
        deadline=c.deadline,
        retry_safety=c.semantics,
        idempotency_window=c.repeat_window,
        second_step_parts=0,
        required_coverage=required_coverage,
        complete_coverage=1.0,
        objective_stretch=None,
        late_answer_value=c.late_worth,
        partial_answer_value=c.short_worth,
    )
