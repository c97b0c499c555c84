"""What a co-ordinator is told once, at its start, as the platform names it: read into `interface.Settings`.

The simulator sends lines `Key=value`, the platform nested JSON with the same names and units (seconds);
`flatten` makes the second into the first, so that one reader serves both. Standard library only.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import Any, TypeVar

from gingervane import interface as api

T = TypeVar("T")


class SettingsError(Exception):
    """A key that the module needs is missing or malformed."""


def flatten(nested: Mapping[str, Any], prefix: str = "") -> dict[str, str]:
    """Nested settings as dotted keys; a list of objects becomes `Key.count` and `Key.0.x`, others `a,b`."""
    pairs: dict[str, str] = {}
    for name, value in nested.items():
        key = prefix + name
        if isinstance(value, Mapping):
            pairs |= flatten(value, key + ".")
        elif isinstance(value, list) and all(isinstance(item, Mapping) for item in value):
            pairs[key + ".count"] = str(len(value))
            for index, item in enumerate(value):
                pairs |= flatten(item, f"{key}.{index}.")
        elif isinstance(value, list):
            pairs[key] = ",".join(map(_text, value))
        else:
            pairs[key] = _text(value)
    return pairs


def _text(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_settings(pairs: Mapping[str, str]) -> api.Settings:
    """Unknown keys are skipped; a needed key that is absent or bad is named in a SettingsError."""

    def need(key: str, read: Callable[[str], T]) -> T:
        if key not in pairs:
            raise SettingsError(f"settings: key {key} is missing")
        try:
            return read(pairs[key])
        except (ValueError, KeyError, IndexError):
            raise SettingsError(f"settings: key {key} has the bad value {pairs[key]!r}") from None

    def maybe(key: str, read: Callable[[str], T]) -> T | None:
        return need(key, read) if pairs.get(key) else None

    # Guards against values that break the decisions long after the start, or let them wait for ever.
    def number(value: str) -> float:
        if not 0.0 <= (found := float(value)) < inf:  # nor NaN
            raise ValueError
        return found

    def positive(value: str) -> float:
        if not (found := number(value)):
            raise ValueError
        return found

    def count(value: str) -> int:
        if (found := int(value)) < 1:
            raise ValueError
        return found

    def flag(value: str) -> bool:
        return {"true": True, "false": False}[value]

    def per_class(key: str, read: Callable[[str], T], index: int) -> T:
        return need(key, lambda value: read(value.split(",")[index]))

    def mode(value: str) -> bool:
        return {"ask": True, "push": False}[value]

    def query_class(i: int) -> api.QueryClass:
        semantics = need(f"Classes.{i}.Semantics", api.RetrySafety)
        keyed = semantics is api.RetrySafety.IDEMPOTENCY_KEY
        return api.QueryClass(
            latency_objective=need(f"Classes.{i}.AimS", number),
            deadline=need(f"Classes.{i}.DeadlineS", positive),
            retry_safety=semantics,
            idempotency_window=need(f"Classes.{i}.WindowS", number) if keyed else None,
            second_step_parts=per_class("Extra.ClassFetch", int, i),
            required_coverage=per_class("Extra.MinShare", float, i),
            complete_coverage=per_class("Extra.WholeAt", positive, i),
            objective_stretch=maybe(f"Classes.{i}.AimStretch", float),
            late_weight=need(f"Classes.{i}.LateWorth", float),
            partial_weight=per_class("Extra.ShortWorth", float, i),
        )

    grace = maybe("Rules.StopSendingWithinS", number)
    tenants = range(need("Tenants.count", int) if "Tenants.count" in pairs else 0)
    return api.Settings(
        coordinator_count=need("Balancers", count),
        zone=need("Locality", int),
        query_classes=tuple(query_class(i) for i in range(need("Classes.count", count))),
        tenant_quotas=tuple(maybe(f"Tenants.{i}.QuotaPerS", number) for i in tenants),
        timer_granularity=need("GranularityS", positive),
        cell_count=need("Extra.Sets", count),
        cells_per_replica=need("Extra.Width", count),
        max_parts_per_request=need("Extra.PerCall", count),
        max_attempts=need("Limits.SendCap", count),
        cancellation_allowed=need("Limits.Cancelling", flag),
        gossip_allowed=need("Limits.Peers", flag),
        hedging_allowed=need("Limits.SecondCopies", flag),
        retry_after_allowed=need("Limits.RetryAfter", flag),
        max_retry_after=need("Limits.MaxRetryAfterS", number),
        membership_polled=need("MembershipMode", mode),
        slow_start_capacity=need("Rules.StartCapacity", number),
        slow_start_duration=need("Rules.RampTimeS", number),
        overload_window=need("Rules.FallS", number),
        overload_multiple=need("Rules.TipMultiple", number),
        retry_budget_free=maybe("Rules.BudgetFree", number),
        retry_budget_share=maybe("Rules.ExtraRatio", number),
        retry_budget_window=maybe("Rules.ResendSpanS", number),
        drain_grace=inf if grace is None else grace,
    )
