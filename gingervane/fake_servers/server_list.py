"""Server lists as list files have them."""

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
    """Give one [[node]] or [[coordinator]] of a list file; `started` in Unix time."""
    name = name or f"n{number}"
    row = f'[[{table}]]\nid = {number}\nname = "{name}"\naddress = "{address}"\nzone = "{zone}"\n'
    row += f'cell = {cell}\nstate = "{state}"\n'
    return row + (f"started = {started:.3f}\n" if started is not None else "")


def write_list(path: Path, text: str) -> None:
    """Replace a list file in one step, so that no reader meets half of it."""
    part = path.with_suffix(".part")
    part.write_text(text)
    part.replace(path)
