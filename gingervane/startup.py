"""Start-up settings of a co-ordinator in the platform's names, read into `interface.Settings`.

The simulator sends lines `Key=value`, the platform sends nested JSON with the same names and units (seconds).
`flatten` converts the JSON to such keys, so that one reader serves both. Standard library only.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import Any, TypeVar

from gingervane import interface as api

T = TypeVar("T")


class SettingsError(Exception):
    """A required setting is missing or malformed."""


def flatten(nested: Mapping[str, Any], prefix: str = "") -> dict[str, str]:
    """Flatten nested settings to dotted keys.

    A list of objects becomes `Key.count` and `Key.0.x`, any other list `a,b`.
    """
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
            pairs[key] = ",".join(map(_format_value, value))
        else:
            pairs[key] = _format_value(value)
    return pairs


def _format_value(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


class _SettingsReader:
    """Typed access to settings by key; a missing or malformed key raises a `SettingsError` that names it."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def __contains__(self, key: str) -> bool:
        return key in self._pairs

    def required(self, key: str, parse: Callable[[str], T]) -> T:
        """The value of a required key."""
        if key not in self._pairs:
            raise SettingsError(f"settings: key {key} is missing")
        try:
            return parse(self._pairs[key])
        except (ValueError, KeyError, IndexError):
            raise SettingsError(f"settings: key {key} has the bad value {self._pairs[key]!r}") from None

    def optional(self, key: str, parse: Callable[[str], T]) -> T | None:
        """The value of an optional key; None if it is absent or empty."""
        return self.required(key, parse) if self._pairs.get(key) else None

    def required_item(self, key: str, parse: Callable[[str], T], index: int) -> T:
        """One value of a required comma-separated list."""
        return self.required(key, lambda value: parse(value.split(",")[index]))


# These parsers reject values that would make decisions fail long after the start, or wait without end.


def _parse_non_negative(value: str) -> float:
    number = float(value)
    if not 0.0 <= number < inf:  # also rejects NaN
        raise ValueError
    return number


def _parse_positive(value: str) -> float:
    number = _parse_non_negative(value)
    if not number:
        raise ValueError
    return number


def _parse_count(value: str) -> int:
    count = int(value)
    if count < 1:
        raise ValueError
    return count


def _parse_flag(value: str) -> bool:
    return {"true": True, "false": False}[value]


def _parse_membership_mode(value: str) -> bool:
    return {"ask": True, "push": False}[value]


def read_settings(pairs: Mapping[str, str]) -> api.Settings:
    """Read the settings. Unknown keys are ignored; a `SettingsError` names a missing or bad key."""
    reader = _SettingsReader(pairs)
    drain_grace = reader.optional("Rules.StopSendingWithinS", _parse_non_negative)
    tenants = range(reader.required("Tenants.count", int) if "Tenants.count" in reader else 0)
    return api.Settings(
        coordinator_count=reader.required("Balancers", _parse_count),
        zone=reader.required("Locality", int),
        query_classes=tuple(
            _read_query_class(reader, i) for i in range(reader.required("Classes.count", _parse_count))
        ),
        tenant_quotas=tuple(reader.optional(f"Tenants.{i}.QuotaPerS", _parse_non_negative) for i in tenants),
        timer_granularity=reader.required("GranularityS", _parse_positive),
        cell_count=reader.required("Extra.Sets", _parse_count),
        cells_per_replica=reader.required("Extra.Width", _parse_count),
        max_parts_per_request=reader.required("Extra.PerCall", _parse_count),
        max_attempts=reader.required("Limits.SendCap", _parse_count),
        cancellation_allowed=reader.required("Limits.Cancelling", _parse_flag),
        gossip_allowed=reader.required("Limits.Peers", _parse_flag),
        hedging_allowed=reader.required("Limits.SecondCopies", _parse_flag),
        retry_after_allowed=reader.required("Limits.RetryAfter", _parse_flag),
        max_retry_after=reader.required("Limits.MaxRetryAfterS", _parse_non_negative),
        membership_polled=reader.required("MembershipMode", _parse_membership_mode),
        slow_start_capacity=reader.required("Rules.StartCapacity", _parse_non_negative),
        slow_start_duration=reader.required("Rules.RampTimeS", _parse_non_negative),
        overload_window=reader.required("Rules.FallS", _parse_non_negative),
        overload_multiple=reader.required("Rules.TipMultiple", _parse_non_negative),
        retry_budget_free=reader.optional("Rules.BudgetFree", _parse_non_negative),
        retry_budget_share=reader.optional("Rules.ExtraRatio", _parse_non_negative),
        retry_budget_window=reader.optional("Rules.ResendSpanS", _parse_non_negative),
        drain_grace=inf if drain_grace is None else drain_grace,
    )


def _read_query_class(reader: _SettingsReader, index: int) -> api.QueryClass:
    retry_safety = reader.required(f"Classes.{index}.Semantics", api.RetrySafety)
    has_key = retry_safety is api.RetrySafety.IDEMPOTENCY_KEY
    return api.QueryClass(
        latency_objective=reader.required(f"Classes.{index}.AimS", _parse_non_negative),
        deadline=reader.required(f"Classes.{index}.DeadlineS", _parse_positive),
        retry_safety=retry_safety,
        idempotency_window=reader.required(f"Classes.{index}.WindowS", _parse_non_negative)
        if has_key
        else None,
        second_step_parts=reader.required_item("Extra.ClassFetch", int, index),
        required_coverage=reader.required_item("Extra.MinShare", float, index),
        complete_coverage=reader.required_item("Extra.WholeAt", _parse_positive, index),
        objective_stretch=reader.optional(f"Classes.{index}.AimStretch", float),
        late_answer_value=reader.required(f"Classes.{index}.LateWorth", float),
        partial_answer_value=reader.required_item("Extra.ShortWorth", float, index),
    )
