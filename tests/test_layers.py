"""Imports within the package go down a fixed order of layers only, wherever in a module they stand."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import gingervane

ROOT = Path(gingervane.__file__).parent
# From the lowest layer to the highest. A layer is a module or a package directly under `gingervane`.
LAYERS = (
    "interface",
    "decisions",
    "startup",
    "benchlink_records",
    "benchlink",
    "wire",
    "telemetry",
    "limits",
    "coordinator",
    "writes",
    "settings",
    "membership",
    "merge",
    "tree",
    "fronts",
    "vectors",
    "node",
    "daemon",
    "fake_servers",
    "scenarios",
    "audit",
    "emulator",
    "experiments",
    "cli",
)
# The package itself only passes on the decision engine; all may import it for its version and its path.
PACKAGE = "gingervane"
MODULES = sorted(path.relative_to(ROOT) for path in ROOT.rglob("*.py") if path != ROOT / "__init__.py")


def layer_of_file(path: Path) -> str:
    return path.with_suffix("").parts[0]


def imported_modules(source: str) -> Iterator[str]:
    """Names of modules that a source imports, those in functions too."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"line {node.lineno}: a relative import"
            module = node.module or ""
            yield from (f"{module}.{alias.name}" for alias in node.names)


def imported_layers(source: str) -> Iterator[str]:
    """Layers of the package that a source imports from."""
    for name in imported_modules(source):
        package, _, rest = name.partition(".")
        layer = rest.partition(".")[0]
        if package == PACKAGE and rest and not layer.startswith("__"):
            yield layer


def test_every_module_has_a_layer() -> None:
    assert {layer_of_file(path) for path in MODULES} == set(LAYERS)


@pytest.mark.parametrize("path", MODULES, ids=str)
def test_imports_go_down(path: Path) -> None:
    own = LAYERS.index(layer_of_file(path))
    found = set(imported_layers((ROOT / path).read_text()))
    assert found <= set(LAYERS), f"unknown layers {sorted(found - set(LAYERS))}"
    upward = sorted(layer for layer in found if LAYERS.index(layer) > own)
    assert not upward, f"{path} imports upward from {', '.join(upward)}"


def test_an_upward_import_is_seen() -> None:
    source = "def f() -> None:\n    from gingervane.cli.main import main\n    import gingervane.audit.rules\n"
    assert set(imported_layers(source)) == {"cli", "audit"}
    assert list(imported_layers("from gingervane import interface as api")) == ["interface"]
