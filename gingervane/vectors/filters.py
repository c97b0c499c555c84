"""Filters of the vector API: validation, and application to a point. Free of I/O.

A filter has clauses must, should and must_not. A condition is a nested filter, or one of has_id, is_empty,
match and range. Other conditions of the published API are rejected, and the error names them.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from gingervane.vectors.points import PointId, RequestError, read_id

MAX_FILTER_DEPTH = 8
MAX_CONDITIONS = 256

_CLAUSES = frozenset(("must", "should", "must_not"))
_CONDITION_KEYS = frozenset(("key", "match", "range", "has_id", "is_empty")) | _CLAUSES
_MATCH_KEYS = frozenset(("value", "any", "except"))
_RANGE_KEYS = frozenset(("gt", "gte", "lt", "lte"))


def check_filter(value: Any, where: str) -> None:
    """Raise RequestError if a filter is malformed, unsupported or too large. `where` is its place."""
    _FilterChecker().check_filter(value, where, 0)


class _FilterChecker:
    """Checks one filter, with a limit on the total number of its conditions."""

    def __init__(self) -> None:
        self._condition_count = 0

    def check_filter(self, value: Any, where: str, depth: int) -> None:
        if depth > MAX_FILTER_DEPTH:
            raise RequestError(f"{where}: deeper than {MAX_FILTER_DEPTH}")
        if not isinstance(value, dict):
            raise RequestError(f"{where}: must be an object")
        for key, conditions in value.items():
            if key not in _CLAUSES:
                raise RequestError(f"{where}.{key}: not one of must, should, must_not")
            for index, condition in enumerate(conditions if isinstance(conditions, list) else [conditions]):
                if condition is not None:
                    self._check_condition(condition, f"{where}.{key}[{index}]", depth)

    def _check_condition(self, value: Any, where: str, depth: int) -> None:
        self._condition_count += 1
        if self._condition_count > MAX_CONDITIONS:
            raise RequestError(f"{where}: more than {MAX_CONDITIONS} conditions")
        if not isinstance(value, dict) or not value:
            raise RequestError(f"{where}: must be an object")
        if unknown := set(value) - _CONDITION_KEYS:
            raise RequestError(f"{where}.{min(unknown)}: not served here")
        if value.keys() & _CLAUSES:
            self.check_filter(value, where, depth + 1)
        elif "has_id" in value:
            _check_has_id(value["has_id"], where)
        elif "is_empty" in value:
            _check_is_empty(value["is_empty"], where)
        else:
            _check_field_condition(value, where)


def _check_has_id(ids: Any, where: str) -> None:
    if not isinstance(ids, list):
        raise RequestError(f"{where}.has_id: must be a list")
    for index, point in enumerate(ids):
        read_id(point, f"{where}.has_id[{index}]")


def _check_is_empty(field: Any, where: str) -> None:
    if not isinstance(field, dict) or not isinstance(field.get("key"), str):
        raise RequestError(f"{where}.is_empty.key: must be a string")


def _check_field_condition(value: dict[str, Any], where: str) -> None:
    if not isinstance(value.get("key"), str):
        raise RequestError(f"{where}.key: must be a string")
    match = value.get("match")
    bounds = value.get("range")
    if isinstance(match, dict) and len(match) == 1 and match.keys() <= _MATCH_KEYS:
        _check_match(match, where)
    elif isinstance(bounds, dict) and bounds and bounds.keys() <= _RANGE_KEYS:
        _check_range(bounds, where)
    else:
        raise RequestError(f"{where}: match (value, any, except) or range (gt, gte, lt, lte) is missing")


def _check_match(match: dict[str, Any], where: str) -> None:
    operand = next(iter(match.values()))
    values = operand if isinstance(operand, list) else [operand]
    wrong_shape = isinstance(operand, list) == ("value" in match)
    if wrong_shape or not all(isinstance(value, int | str) for value in values):
        raise RequestError(f"{where}.match: value must be a number, string or boolean; any and except lists")


def _check_range(bounds: dict[str, Any], where: str) -> None:
    for key, number in bounds.items():
        if number is not None and (type(number) not in (int, float) or not isfinite(number)):
            raise RequestError(f"{where}.range.{key}: {number!r:.40} is no finite number")


def matches_filter(point: PointId, payload: dict[str, Any], value: dict[str, Any]) -> bool:
    """Return whether a point matches a filter that `check_filter` has accepted."""

    def conditions_of(clause: str) -> list[Any]:
        clause_value = value.get(clause)
        conditions = clause_value if isinstance(clause_value, list) else [clause_value]
        return [condition for condition in conditions if condition is not None]

    should = conditions_of("should")
    return (
        all(_satisfies_condition(point, payload, condition) for condition in conditions_of("must"))
        and not any(
            _satisfies_condition(point, payload, condition) for condition in conditions_of("must_not")
        )
        and (not should or any(_satisfies_condition(point, payload, condition) for condition in should))
    )


def _satisfies_condition(point: PointId, payload: dict[str, Any], condition: dict[str, Any]) -> bool:
    if condition.keys() & _CLAUSES:
        return matches_filter(point, payload, condition)
    if "has_id" in condition:
        return point in condition["has_id"]
    if "is_empty" in condition:
        return payload.get(condition["is_empty"]["key"]) in (None, [])
    values = _values_at(payload, condition["key"])
    if match := condition.get("match"):
        return _any_matches(values, match)
    bounds = condition["range"]
    return any(type(value) in (int, float) and _in_range(value, bounds) for value in values)


def _values_at(payload: dict[str, Any], key: str) -> list[Any]:
    """Return the values of a field. The names in the key of a nested field are joined by dots."""
    value: Any = payload
    for field_name in key.split("."):
        value = value.get(field_name) if isinstance(value, dict) else None
    return value if isinstance(value, list) else [value]


def _any_matches(values: list[Any], match: dict[str, Any]) -> bool:
    kind, operand = next(iter(match.items()))
    if kind == "except":
        return any(value is not None and value not in operand for value in values)
    expected_values = operand if kind == "any" else [operand]
    return any(
        type(value) is type(expected) and value == expected
        for value in values
        for expected in expected_values
    )


def _in_range(number: float, bounds: dict[str, float | None]) -> bool:
    gt = bounds.get("gt")
    gte = bounds.get("gte")
    lt = bounds.get("lt")
    lte = bounds.get("lte")
    return (
        (gt is None or number > gt)
        and (gte is None or number >= gte)
        and (lt is None or number < lt)
        and (lte is None or number <= lte)
    )
