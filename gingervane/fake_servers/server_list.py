"""Writes endpoint lists in the form of list files."""

from __future__ import annotations

from pathlib import Path


def list_row(
    number: int,
    address: str,
    zone: str,
    cell: int,
    state: str,
    started: float | None,
    table: str = "node",
    name: str = "",
) -> str:
    """Return one [[node]] or [[coordinator]] table of a list file; `started` is in Unix time."""
    name = name or f"n{number}"
    row = f'[[{table}]]\nid = {number}\nname = "{name}"\naddress = "{address}"\nzone = "{zone}"\n'
    row += f'cell = {cell}\nstate = "{state}"\n'
    return row + (f"started = {started:.3f}\n" if started is not None else "")


def write_list(path: Path, text: str) -> None:
    """Replace a list file atomically, so that no reader sees an incomplete file."""
    temporary = path.with_suffix(".part")
    temporary.write_text(text)
    temporary.replace(path)
