"""Writes settings as TOML; the standard library can only read it."""

from __future__ import annotations

import json
from typing import Any


def toml(table: dict[str, Any], under: str = "") -> str:
    """Return a table as TOML: scalars, arrays, nested tables, and arrays of tables without sub-tables.

    `under` is the dotted prefix of nested table headers.
    """
    out = [f"{key} = {json.dumps(value)}" for key, value in table.items() if not _nested(value)]
    for key, value in table.items():
        if isinstance(value, dict):
            out += ["", f"[{under}{key}]", toml(value, f"{under}{key}.").rstrip("\n")]
        elif _nested(value):
            for row in value:
                out += ["", f"[[{under}{key}]]", toml(row).rstrip("\n")]
    return "\n".join(out) + "\n"


def _nested(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))
