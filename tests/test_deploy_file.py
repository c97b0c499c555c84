"""The deploy file lists every module of the decisions, and only files that exist."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_every_decision_module_is_listed() -> None:
    modules = {path.relative_to(ROOT).as_posix() for path in (ROOT / "gingervane" / "decisions").glob("*.py")}
    assert set(DEPLOY["policy"]) == modules - {"gingervane/decisions/__init__.py"}


def test_every_listed_path_exists() -> None:
    assert [path for path in DEPLOY["policy"] + DEPLOY["node"] if not (ROOT / path).exists()] == []
