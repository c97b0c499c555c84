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
        semantics = need(f"Classes.{i}.Semantics", api.Semantics)
        keyed = semantics is api.Semantics.KEYED
        return api.QueryClass(
            aim=need(f"Classes.{i}.AimS", number),
            deadline=need(f"Classes.{i}.DeadlineS", positive),
            semantics=semantics,
            repeat_window=need(f"Classes.{i}.WindowS", number) if keyed else None,
            second_step_parts=per_class("Extra.ClassFetch", int, i),
            least_share=per_class("Extra.MinShare", float, i),
            whole_share=per_class("Extra.WholeAt", positive, i),
            aim_stretch=maybe(f"Classes.{i}.AimStretch", float),
            late_worth=need(f"Classes.{i}.LateWorth", float),
            short_worth=per_class("Extra.ShortWorth", float, i),
        )

    grace = maybe("Rules.StopSendingWithinS", number)
    tenants = range(need("Tenants.count", int) if "Tenants.count" in pairs else 0)
    return api.Settings(
        coordinators=need("Balancers", count),
        zone=need("Locality", int),
        classes=tuple(query_class(i) for i in range(need("Classes.count", count))),
        tenant_quotas=tuple(maybe(f"Tenants.{i}.QuotaPerS", number) for i in tenants),
        granularity=need("GranularityS", positive),
        cells=need("Extra.Sets", count),
        width=need("Extra.Width", count),
        parts_per_call=need("Extra.PerCall", count),
        most_attempts=need("Limits.SendCap", count),
        may_cancel=need("Limits.Cancelling", flag),
        may_message_peers=need("Limits.Peers", flag),
        may_copy=need("Limits.SecondCopies", flag),
        may_advise_wait=need("Limits.RetryAfter", flag),
        longest_wait_advice=need("Limits.MaxRetryAfterS", number),
        must_ask_membership=need("MembershipMode", mode),
        start_capacity=need("Rules.StartCapacity", number),
        ramp_time=need("Rules.RampTimeS", number),
        fall_time=need("Rules.FallS", number),
        fall_multiple=need("Rules.TipMultiple", number),
        budget_free=maybe("Rules.BudgetFree", number),
        budget_share=maybe("Rules.ExtraRatio", number),
        budget_span=maybe("Rules.ResendSpanS", number),
        drain_grace=inf if grace is None else grace,
    )
