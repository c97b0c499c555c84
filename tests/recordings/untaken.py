"""Finds the lines of some files that a run does not execute."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from inspect import CO_NEWLOCALS
from pathlib import Path
from types import CodeType, FrameType
from typing import Any


def untaken_lines(watched: Sequence[Path], run: Callable[[], None]) -> dict[Path, list[int]]:
    """Lines within functions of the watched files that `run` does not execute."""
    names = {str(path) for path in watched}
    taken: set[tuple[str, int]] = set()

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        name = frame.f_code.co_filename
        if name not in names:
            return None
        taken.add((name, frame.f_lineno))
        return trace

    sys.settrace(trace)
    try:
        run()
    finally:
        sys.settrace(None)
    return {path: sorted(_lines(path) - {n for name, n in taken if name == str(path)}) for path in watched}


def _lines(path: Path) -> set[int]:
    """Lines within functions of a file."""
    lines: set[int] = set()

    def walk(code: CodeType, inside: bool) -> None:
        if inside:
            lines.update(line for _, _, line in code.co_lines() if line and line != code.co_firstlineno)
        for constant in code.co_consts:
            if isinstance(constant, CodeType):
                # A class body runs at import; only the functions in it are of interest.
                walk(constant, bool(constant.co_flags & CO_NEWLOCALS))

    walk(compile(path.read_text(), str(path), "exec"), False)
    return lines
