"""Shared by both recording formats: fields in order, and enumeration members by position."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from enum import Enum
from typing import Any


def field_values(record: Any) -> list[Any]:
    """Return the fields of a named tuple or data class in order of definition."""
    if dataclasses.is_dataclass(record):
        return [getattr(record, field.name) for field in dataclasses.fields(record)]
    return list(record)


def member_position(enumerations: Sequence[type[Enum]], member: Enum) -> tuple[int, int]:
    """Return the position of a member's enumeration, and its own in order of definition."""
    kind = type(member)
    return enumerations.index(kind), list(kind).index(member)


def member_at(enumerations: Sequence[type[Enum]], enumeration: int, position: int) -> Enum:
    """Return the member at a `member_position`."""
    return list(enumerations[enumeration])[position]
