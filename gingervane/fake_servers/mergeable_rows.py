"""Rows of points that replicas can merge whatever they have missed, and in any order.

A row is a map of last-writer-wins registers with counters. The last write of the whole point (an upsert or a
deletion) is ordered by its version, and so is the last setting of each field of its payload. Increments have their
versions for identities: a field's value is what was last set, plus all increments with a later version. Merging takes
the newer of each register and the union of the increments, so that nothing is lost that any replica ran, and all
replicas that have seen the same operations have equal rows. A row with fewer keys, as an older node or a loader sends
it, counts as one full write.

A real node would fold increments that all replicas are known to have into the value; this one keeps them until the
next full write.
"""

from __future__ import annotations

from typing import Any

# id, written (version of the last full write), deleted, vector, set_at (version by field), base (value as set, by
# field), added (amount by version, by field). Derived from these: version (the newest), ops (increments), payload.
Row = dict[str, Any]


def full_row(point: dict[str, Any], version: int, deleted: bool = False) -> Row:
    """Return the row of a full write; `point`: its id, vector and payload."""
    payload = point.get("payload") or {}
    return _derive(
        {
            "id": point["id"],
            "vector": point["vector"],
            "deleted": deleted,
            "written": version,
            "set_at": dict.fromkeys(payload, version),
            "base": dict(payload),
            "added": {},
        }
    )


def complete_row(row: Row) -> Row:
    """Return a received row with all its keys."""
    return row if "set_at" in row else full_row(row, row["version"], row["deleted"])


def with_fields(row: Row, payload: dict[str, Any], version: int) -> Row:
    """Return a row after fields of its payload were set."""
    change = _change(row)
    change["set_at"] = dict.fromkeys(payload, version)
    change["base"] = dict(payload)
    return merge(row, change)


def with_increments(row: Row, payload: dict[str, Any], version: int) -> Row:
    """Return a row after numbers were added to fields of its payload."""
    change = _change(row)
    change["added"] = {name: {str(version): amount} for name, amount in payload.items()}
    return merge(row, change)


def merge(first: Row, second: Row) -> Row:
    """Return the row that has seen what either has; the result does not depend on their order."""
    newer = max(first, second, key=_full_write_order)
    merged = {key: newer[key] for key in ("id", "vector", "deleted", "written")}
    merged |= {"set_at": {}, "base": {}, "added": {}}
    for name in sorted({*first["set_at"], *second["set_at"]}):
        register = max(_register(first, name), _register(second, name))
        if register[0] >= newer["written"]:
            value = next(row["base"][name] for row in (first, second) if _register(row, name) == register)
            merged["set_at"][name], merged["base"][name] = register[0], value
    for name in sorted({*first["added"], *second["added"]}):
        after = max(merged["set_at"].get(name, 0), newer["written"])
        amounts = first["added"].get(name, {}) | second["added"].get(name, {})
        live = {version: amount for version, amount in sorted(amounts.items()) if int(version) > after}
        if live:
            merged["added"][name] = live
    return _derive(merged)


def _change(row: Row) -> Row:
    """Return a copy of a row without registers and increments."""
    return {**row, "set_at": {}, "base": {}, "added": {}}


def _full_write_order(row: Row) -> tuple[int, bool, str]:
    return row["written"], row["deleted"], repr(row["vector"])


def _register(row: Row, name: str) -> tuple[int, str]:
    """Sort key of a field's register; the lowest if the row has none."""
    return row["set_at"].get(name, -1), repr(row["base"].get(name))


def _derive(row: Row) -> Row:
    """Add the keys that follow from the others."""
    payload = dict(row["base"])
    for name, amounts in row["added"].items():
        payload[name] = payload.get(name, 0) + sum(amounts.values())
    versions = [int(version) for amounts in row["added"].values() for version in amounts]
    row["payload"] = {} if row["deleted"] else payload
    row["version"] = max([row["written"], *row["set_at"].values(), *versions])
    row["ops"] = len(versions)
    return row
