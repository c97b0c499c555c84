"""Validates a table against a pydantic model and reports all faults at once, each with its place."""

from __future__ import annotations

import difflib
from pathlib import Path
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)


class SettingsError(Exception):
    """A settings file that cannot be used; the message has a line for each fault."""


def validate(model: type[M], table: dict[str, Any], path: Path) -> M:
    """Return the table as a model. Raises SettingsError with a line `path: table.key: description` for each fault."""
    try:
        return model.model_validate(table)
    except ValidationError as error:
        all_errors = error.errors()
        # pydantic drops invalid items before it counts an array: "too short" is then a consequence, not a fault.
        reported_errors = [
            e
            for e in all_errors
            if e["type"] != "too_short"
            or not any(other is not e and other["loc"][: len(e["loc"])] == e["loc"] for other in all_errors)
        ]
        raise SettingsError("\n".join(f"{path}: {_fault_line(model, e)}" for e in reported_errors)) from None


def _fault_line(model: type[BaseModel], error: Any) -> str:
    key_path = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in error["loc"]).lstrip(".")
    if error["type"] == "extra_forbidden":
        similar = difflib.get_close_matches(str(error["loc"][-1]), _known_keys(model, error["loc"][:-1]), 1)
        return f"{key_path}: not a known key" + (f"; is {similar[0]} meant?" if similar else "")
    if error["type"] == "missing":
        return f"{key_path}: missing"
    description = str(error["msg"]).removeprefix("Value error, ")
    if error["type"] == "value_error" and ": " in description:  # the validator of a table names the key
        key, _, description = description.partition(": ")
        return f"{key_path}.{key}: {description}".lstrip(".")
    return f"{key_path}: {description[:1].lower()}{description[1:]}, not {error['input']!r}"


def _known_keys(model: type[BaseModel], loc: tuple[str | int, ...]) -> list[str]:
    """Return the keys of the table at location `loc` in a model."""
    for location_item in loc:
        if isinstance(location_item, int):
            continue
        field = next(f for name, f in model.model_fields.items() if location_item in (name, f.alias))
        annotated_types = [field.annotation, *get_args(field.annotation)]
        model = next(k for k in annotated_types if isinstance(k, type) and issubclass(k, BaseModel))
    return [field.alias or name for name, field in model.model_fields.items()]
