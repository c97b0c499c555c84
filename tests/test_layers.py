"""Modules import only from their own layer and from lower ones, in a fixed order of layers.

Imports within functions count too.
"""

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
# The package itself only re-exports the decision engine; every layer may import it for its version and path.
PACKAGE = "gingervane"
MODULES = sorted(path.relative_to(ROOT) for path in ROOT.rglob("*.py") if path != ROOT / "__init__.py")


def layer_of_file(path: Path) -> str:
    return path.with_suffix("").parts[0]


def imported_modules(source: str) -> Iterator[str]:
    """Yield the names of all modules that a source imports, also within functions."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"line {node.lineno}: a relative import"
            module = node.module or ""
            yield from (f"{module}.{alias.name}" for alias in node.names)


def imported_layers(source: str) -> Iterator[str]:
    """Yield the layers of the package that a source imports from."""
    for name in imported_modules(source):
        package, _, rest = name.partition(".")
        layer = rest.partition(".")[0]
        if package == PACKAGE and rest and not layer.startswith("__"):
            yield layer


def test_every_module_has_a_layer() -> None:
    assert {layer_of_file(path) for path in MODULES} == set(LAYERS)


@pytest.mark.parametrize("path", MODULES, ids=str)
def test_no_module_imports_from_a_higher_layer(path: Path) -> None:
    own_level = LAYERS.index(layer_of_file(path))
    imported = set(imported_layers((ROOT / path).read_text()))
    assert imported <= set(LAYERS), f"unknown layers {sorted(imported - set(LAYERS))}"
    higher = sorted(layer for layer in imported if LAYERS.index(layer) > own_level)
    assert not higher, f"{path} imports from higher layers: {', '.join(higher)}"


def test_imports_within_functions_are_detected() -> None:
    source = "def f() -> None:\n    from gingervane.cli.main import main\n    import gingervane.audit.rules\n"
    assert set(imported_layers(source)) == {"cli", "audit"}
    assert list(imported_layers("from gingervane import interface as api")) == ["interface"]
