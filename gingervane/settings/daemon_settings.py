"""The daemon's settings from a TOML file. All values are checked, and all faults are reported at once.

A fault is reported as `file: table.key: description`.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, model_validator

from gingervane import interface as api
from gingervane.settings import decision_settings
from gingervane.settings.tables import (
    Budget,
    Class,
    Fleet,
    Limits,
    Listen,
    Log,
    Membership,
    Replicas,
    Shards,
    Shutdown,
    Table,
    Tree,
    Vectors,
)
from gingervane.settings.validation import SettingsError, validate

__all__ = ["Config", "SettingsError", "check", "load", "validate"]

# Keys of [vectors] that name a query class, and the semantics that the class must have.
_VECTOR_CLASSES = (("search_class", "safe"), ("upsert_class", "keyed"), ("add_class", "unsafe"))


class Config(Table):
    """The complete settings file."""

    listen: Listen = Listen()
    shards: Shards
    fleet: Fleet
    membership: Membership
    classes: Annotated[tuple[Class, ...], Field(alias="class", min_length=1, max_length=64)]
    default_class: str | None = None
    limits: Limits = Limits()
    replicas: Replicas = Replicas()
    budget: Budget | None = None
    tree: Tree | None = None
    vectors: Vectors | None = None
    log: Log = Log()
    shutdown: Shutdown = Shutdown()

    @model_validator(mode="after")
    def _check_names(self) -> Config:
        names = [c.name for c in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("class: duplicate name")
        if self.default_class is not None and self.default_class not in names:
            raise ValueError(f"default_class: {self.default_class!r} is not one of {', '.join(names)}")
        for key, required_semantics in _VECTOR_CLASSES:
            class_name = getattr(self.vectors, key, None)
            if class_name is not None and not any(
                c.name == class_name and c.semantics.value == required_semantics for c in self.classes
            ):
                raise ValueError(
                    f"vectors.{key}: {class_name!r} is not a class with semantics {required_semantics}"
                )
        return self

    def module_settings(self) -> api.Settings:
        """Return the settings of the decision engine that selects replicas."""
        return decision_settings.module_settings(
            self.fleet,
            self.shards,
            self.classes,
            self.limits,
            self.replicas,
            self.budget,
            has_tree=self.tree is not None,
        )

    def subtree_settings(self) -> api.Settings:
        """Return the settings of the decision engine that selects child co-ordinators. Requires `tree`."""
        assert self.tree is not None
        return decision_settings.subtree_settings(
            self.module_settings(), self.classes, self.tree, self.budget
        )


def load(path: Path) -> Config:
    """Read and check a file. Relative paths in it are relative to its directory. Raises SettingsError."""
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return check(table, path)


def check(table: dict[str, Any], path: Path) -> Config:
    """Check a parsed settings table; `path` is the file that it was read from. Raises SettingsError."""
    config = validate(Config, table, path)
    update: dict[str, Any] = {"membership": _with_absolute_paths(config.membership, path.parent)}
    if config.vectors:
        vectors_update: dict[str, Any] = {
            "membership": _with_absolute_paths(config.vectors.membership, path.parent)
        }
        if config.vectors.intents:
            vectors_update["intents"] = path.parent / config.vectors.intents
        update["vectors"] = config.vectors.model_copy(update=vectors_update)
    return config.model_copy(update=update)


def _with_absolute_paths(table: Membership, directory: Path) -> Membership:
    """Return the table with its paths resolved against the directory of the settings file."""
    update: dict[str, Any] = {
        key: directory / value for key in ("file", "kept") if (value := getattr(table, key)) is not None
    }
    if table.consul and table.consul.token_file:
        token = directory / table.consul.token_file
        update["consul"] = table.consul.model_copy(update={"token_file": token})
    return table.model_copy(update=update)
