"""External interfaces as literals: what clients, peers, nodes, operators and the platform see of the program.

Internal names may change; these literals may not. Log texts and the wording of errors are not pinned: of an
error only its status, its form and the position that it names.
"""

from __future__ import annotations

import json
import re
import signal
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Mapping
from math import inf
from pathlib import Path
from typing import Any

import click
import pytest
from platform_fakes import ROOT, WAIT_TIMEOUT_SECONDS

from gingervane import startup
from gingervane.cli.main import main
from gingervane.experiments import experiment
from gingervane.experiments.embedded import ZONES, config_table
from gingervane.experiments.toml_text import toml
from gingervane.fake_servers.node import FakeGrid
from gingervane.fake_servers.recorder import Recorder
from gingervane.fronts.client import Client
from gingervane.node import config as node_config
from gingervane.scenarios import scenario
from gingervane.scenarios.scenario import Scenario
from gingervane.settings import daemon_settings
from gingervane.wire.remote_read import Match, Matcher, Query

# ---- the daemon's settings

CONFIG: dict[str, Any] = {
    "shards": {"names": ["a"], "cells": 3},
    "fleet": {"zones": ["x"], "zone": "x"},
    "membership": {"file": "/l.toml", "consul": {"agents": ["h:1"], "service": "grid"}},
    "class": [
        {"name": "r", "aim": 1, "deadline": 2},
        {"name": "k", "aim": 1, "deadline": 2, "semantics": "keyed", "repeat_window": 5},
        {"name": "u", "aim": 1, "deadline": 2, "semantics": "unsafe"},
    ],
    "budget": {"free": 1, "share": 0.5, "span": 2},
    "tree": {"name": "c0", "ring": 4},
    "vectors": {
        "membership": {"file": "/v.toml"},
        "cells": 6,
        "collection": [{"name": "cos", "dims": 4}],
        "search_class": "r",
        "upsert_class": "k",
        "add_class": "u",
    },
}

CONFIG_READ: dict[str, Any] = {
    "listen.host": "127.0.0.1",
    "listen.port": 0,
    "listen.max_connections": 2000,
    "listen.idle_timeout": 60.0,
    "listen.head_timeout": 5.0,
    "listen.body_timeout": 10.0,
    "listen.write_timeout": 10.0,
    "listen.max_head_bytes": 16384,
    "listen.max_body_bytes": 4194304,
    "listen.max_request_memory": 268435456,
    "listen.max_message_bytes": 16777216,
    "listen.max_queries": 64,
    "listen.max_matchers": 64,
    "listen.stack_bytes": 262144,
    "shards.label": "tile",
    "shards.names": ["a"],
    "shards.cells": 3,
    "shards.width": 3,
    "shards.keep_label": True,
    "fleet.coordinators": 1,
    "fleet.zones": ["x"],
    "fleet.zone": "x",
    "membership.file": "/l.toml",
    "membership.consul.agents": ["h:1"],
    "membership.consul.service": "grid",
    "membership.consul.datacenters": [],
    "membership.consul.stale": True,
    "membership.consul.filter": "",
    "membership.consul.token_file": None,
    "membership.consul.coordinators": "",
    "membership.consul.ttl": 10.0,
    "membership.consul.wait": 30.0,
    "membership.consul.start_patience": 1.0,
    "membership.kept": None,
    "membership.interval": 0.1,
    "class[0].name": "r",
    "class[0].aim": 1.0,
    "class[0].deadline": 2.0,
    "class[0].semantics": "safe",
    "class[0].repeat_window": None,
    "class[0].least_share": 1.0,
    "class[0].late_worth": 0.0,
    "class[0].short_worth": 1.0,
    "class[0].worth": 1.0,
    "class[0].whole_share": 1.0,
    "class[1].name": "k",
    "class[1].aim": 1.0,
    "class[1].deadline": 2.0,
    "class[1].semantics": "keyed",
    "class[1].repeat_window": 5.0,
    "class[1].least_share": 1.0,
    "class[1].late_worth": 0.0,
    "class[1].short_worth": 1.0,
    "class[1].worth": 1.0,
    "class[1].whole_share": 1.0,
    "class[2].name": "u",
    "class[2].aim": 1.0,
    "class[2].deadline": 2.0,
    "class[2].semantics": "unsafe",
    "class[2].repeat_window": None,
    "class[2].least_share": 1.0,
    "class[2].late_worth": 0.0,
    "class[2].short_worth": 1.0,
    "class[2].worth": 1.0,
    "class[2].whole_share": 1.0,
    "default_class": None,
    "limits.open": 4000,
    "limits.result_bytes": 268435456,
    "limits.reply_bytes": 67108864,
    "limits.senders": 128,
    "limits.waiting_calls": 256,
    "limits.calls_per_replica": 64,
    "limits.idle_connections": 32,
    "limits.idle_age": 30.0,
    "limits.connect_timeout": 0.25,
    "limits.parts_per_call": 8,
    "limits.most_attempts": 3,
    "limits.longest_wait_advice": 1.0,
    "limits.front_slots": 4,
    "limits.front_waiting": 512,
    "limits.front_shares": [0.5, 0.5],
    "limits.copies": True,
    "replicas.start_capacity": 0.2,
    "replicas.ramp_time": 15.0,
    "replicas.fall_time": 1.5,
    "replicas.fall_multiple": 2.0,
    "budget.free": 1.0,
    "budget.share": 0.5,
    "budget.span": 2.0,
    "tree.name": "c0",
    "tree.fan_out": 40,
    "tree.levels": 2,
    "tree.ring": 4,
    "tree.place": 0,
    "tree.width": 3,
    "tree.leaf_attempts": 3,
    "tree.ramp_time": 5.0,
    "vectors.membership.file": "/v.toml",
    "vectors.membership.consul": None,
    "vectors.membership.kept": None,
    "vectors.membership.interval": 0.1,
    "vectors.cells": 6,
    "vectors.width": 3,
    "vectors.quorum": 2,
    "vectors.collection[0].name": "cos",
    "vectors.collection[0].dims": 4,
    "vectors.collection[0].distance": "Cosine",
    "vectors.search_class": "r",
    "vectors.upsert_class": "k",
    "vectors.add_class": "u",
    "vectors.intents": None,
    "vectors.keep_keys": 3600.0,
    "vectors.most_keys": 1000000,
    "vectors.max_k": 10000,
    "vectors.max_points": 10000,
    "vectors.max_searches": 64,
    "vectors.repair_rate": 500.0,
    "vectors.repair_sweep": 600.0,
    "log.format": "json",
    "log.level": "info",
    "shutdown.grace": 5.0,
}


def flatten_table(value: Any, where: str = "") -> dict[str, Any]:
    """Return the values of nested tables by their dotted keys."""
    if isinstance(value, dict) and value:
        pairs = [(f"{where}.{key}" if where else key, inner) for key, inner in value.items()]
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        pairs = [(f"{where}[{index}]", inner) for index, inner in enumerate(value)]
    else:
        return {where: value}
    return {key: leaf for name, inner in pairs for key, leaf in flatten_table(inner, name).items()}


def test_every_settings_key_and_its_default() -> None:
    read = daemon_settings.check(CONFIG, Path("/c.toml"))
    assert flatten_table(read.model_dump(mode="json", by_alias=True)) == CONFIG_READ


def nest_keys(pairs: Mapping[str, Any]) -> dict[str, Any]:
    """Undo `flatten_table`, leaving out keys without a value."""
    out: dict[str, Any] = {}
    for name, value in pairs.items():
        *tables, key = name.split(".")
        at = out
        for word in tables:
            title, bracket, index = word.partition("[")
            if bracket:
                rows = at.setdefault(title, [])
                rows += [{} for _ in range(int(index[:-1]) + 1 - len(rows))]
                at = rows[int(index[:-1])]
            else:
                at = at.setdefault(title, {})
        if value is not None:
            at[key] = value
    return out


def test_every_key_of_the_settings_may_be_given() -> None:
    full = nest_keys({key: value for key, value in CONFIG_READ.items() if not key.endswith(".consul")})
    read = daemon_settings.check(full, Path("/c.toml"))
    assert flatten_table(read.model_dump(mode="json", by_alias=True)) == CONFIG_READ


@pytest.mark.parametrize("key", CONFIG_READ)
def test_a_key_of_the_settings_that_is_misspelt_is_refused_with_its_place(key: str) -> None:
    """This also shows that every key is accepted under its own name only."""
    full = nest_keys({name: value for name, value in CONFIG_READ.items() if not name.endswith(".consul")})
    wrong = key + "x"
    misspelt = nest_keys({wrong: 1})
    merged = merge_tables(full, misspelt)
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.check(merged, Path("/c.toml"))
    word = key.rpartition(".")[2]
    assert f"/c.toml: {wrong}: not a known key; is {word} meant?" in str(caught.value).splitlines()


def merge_tables(table: Any, more: Any) -> Any:
    """Merge `more` into `table`, through nested tables and arrays of tables."""
    if isinstance(more, dict):
        return {**table, **{key: merge_tables(table.get(key, {}), value) for key, value in more.items()}}
    if isinstance(more, list):
        return [merge_tables(row, extra) for row, extra in zip(table, more, strict=False)] + table[
            len(more) :
        ]
    return more


def test_unknown_key_without_a_similar_one_has_no_suggestion() -> None:
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.check(CONFIG | {"zzz": 1}, Path("/c.toml"))
    assert str(caught.value) == "/c.toml: zzz: not a known key"


@pytest.mark.parametrize("key", ["shards", "fleet", "membership", "class"])
def test_a_table_that_is_needed_is_named(key: str) -> None:
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.check({name: value for name, value in CONFIG.items() if name != key}, Path("/c.toml"))
    assert f"/c.toml: {key}: missing" in str(caught.value).splitlines()


@pytest.mark.parametrize(
    ("key", "words"),
    [
        ("class[0].semantics", ("safe", "keyed", "unsafe")),
        ("vectors.collection[0].distance", ("Cosine", "Dot", "Euclid")),
        ("log.format", ("json", "console")),
        ("log.level", ("debug", "info", "warning", "error")),
    ],
)
def test_enumerated_values_of_the_settings(key: str, words: tuple[str, ...]) -> None:
    full = nest_keys({name: value for name, value in CONFIG_READ.items() if not name.endswith(".consul")})
    for word in words:
        own = merge_tables(full, nest_keys({key: word}))
        if word == "keyed":
            own["class"][0]["repeat_window"] = 1.0
        if key.startswith("class"):  # the vector front needs a class of each retry safety by name
            del own["vectors"]
        read = daemon_settings.check(own, Path("/c.toml"))
        assert flatten_table(read.model_dump(mode="json", by_alias=True))[key] == word
    with pytest.raises(daemon_settings.SettingsError, match=key.replace("[", r"\[").replace("]", r"\]")):
        daemon_settings.check(merge_tables(full, nest_keys({key: "other"})), Path("/c.toml"))


# ---- scenario files

SCENARIO: dict[str, Any] = {
    "name": "s",
    "class": [{"name": "r", "aim": 1, "deadline": 2}],
    "trouble": [{"kind": "drain", "at": 1, "seconds": 2}],
    "consul": {},
    "vectors": {},
}

SCENARIO_READ: dict[str, Any] = {
    "name": "s",
    "seed": 1,
    "seconds": 30.0,
    "nodes.count": 12,
    "nodes.processes": 1,
    "nodes.tiles": 24,
    "nodes.width": 3,
    "nodes.zones": ["hall-a", "hall-b", "hall-c"],
    "nodes.cores": 2,
    "nodes.work": 0.01,
    "nodes.call_work": 0.002,
    "nodes.queue": 60,
    "nodes.start_capacity": 0.2,
    "nodes.ramp_time": 8.0,
    "nodes.fall_multiple": 4.0,
    "nodes.fall_time": 1.5,
    "list.notice": 0.5,
    "list.silent_notice": 2.0,
    "list.add": 0.3,
    "list.interval": 0.05,
    "list.grace": 0.5,
    "coordinators.count": 3,
    "coordinators.roots": 0,
    "coordinators.notice": 0.5,
    "coordinators.limits": {},
    "coordinators.tree": {},
    "coordinators.budget_free": 20.0,
    "coordinators.budget_share": 0.2,
    "coordinators.budget_span": 5.0,
    "clients.rate": 40.0,
    "clients.retries": 1,
    "clients.backoff": 0.1,
    "clients.honour": 0.7,
    "clients.try_share": 0.8,
    "clients.impatient": 0.01,
    "clients.range_ms": 300000,
    "class[0].name": "r",
    "class[0].aim": 1.0,
    "class[0].deadline": 2.0,
    "class[0].semantics": "safe",
    "class[0].repeat_window": None,
    "class[0].least_share": 1.0,
    "class[0].late_worth": 0.0,
    "class[0].short_worth": 1.0,
    "class[0].worth": 1.0,
    "class[0].whole_share": 1.0,
    "class[0].share": 1.0,
    "class[0].tiles": [2, 4],
    "class[0].partial": False,
    "trouble[0].kind": "drain",
    "trouble[0].at": 1.0,
    "trouble[0].seconds": 2.0,
    "trouble[0].size": 1.0,
    "trouble[0].how": "crash",
    "trouble[0].nodes": [],
    "trouble[0].zone": None,
    "trouble[0].share": 0.0,
    "trouble[0].coordinators": [],
    "trouble[0].agents": [],
    "trouble[0].vector_nodes": [],
    "trouble[0].fault": "",
    "trouble[0].listed": True,
    "consul.agents": 2,
    "consul.wait": 10.0,
    "vectors.nodes": 6,
    "vectors.width": 3,
    "vectors.quorum": 2,
    "vectors.dims": 8,
    "vectors.window": 6.0,
    "vectors.fixed": 600,
    "vectors.upserts": 60.0,
    "vectors.adds": 30.0,
    "vectors.searches": 10.0,
    "vectors.tries": 4,
    "vectors.backoff": 0.15,
    "vectors.timeout": 1.5,
    "vectors.settle": 30.0,
    "unmapped": [],
}


def test_every_scenario_key_and_its_default() -> None:
    read = Scenario.model_validate(SCENARIO)
    assert flatten_table(read.model_dump(mode="json", by_alias=True)) == SCENARIO_READ
    again = Scenario.model_validate(nest_keys(SCENARIO_READ))
    assert flatten_table(again.model_dump(mode="json", by_alias=True)) == SCENARIO_READ


@pytest.mark.parametrize("key", SCENARIO_READ)
def test_a_key_of_a_scenario_that_is_misspelt_is_refused_with_its_place(key: str) -> None:
    wrong = key + "x"
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.validate(
            Scenario, merge_tables(nest_keys(SCENARIO_READ), nest_keys({wrong: 1})), Path("/s.toml")
        )
    word = key.rpartition(".")[2]
    assert f"/s.toml: {wrong}: not a known key; is {word} meant?" in str(caught.value).splitlines()


KINDS_OF_TROUBLE = [
    *[
        "ageing",
        "agent_fault",
        "burst",
        "coordinator_drain",
        "coordinator_kill",
        "coordinator_stall",
        "crash",
    ],
    *["drain", "dribble", "fail_fast", "few_results", "flapping", "hang", "idle_reap", "lose_answers"],
    *["pause_mid_reply", "reject", "reset_mid_body", "say_nothing", "short_body", "slow", "snappy_lies"],
    *["stand_still", "vanish", "wrong_tile", "wrong_time", "zone_loss"],
]
AGENT_FAULTS = ["hang", "late", "500", "429", "empty", "garbage", "half", "cut", "no_leader", "stale", "lag"]


def test_enumerated_values_of_a_scenario() -> None:
    for kind in KINDS_OF_TROUBLE:
        row = {"kind": kind, "at": 1, "seconds": 2, "agents": [0], "fault": "hang"}
        Scenario.model_validate(SCENARIO | {"trouble": [row]})
    for fault in AGENT_FAULTS:
        row = {"kind": "agent_fault", "at": 1, "seconds": 2, "agents": [0], "fault": fault}
        Scenario.model_validate(SCENARIO | {"trouble": [row]})
    for how in ("crash", "vanish", "hang"):
        Scenario.model_validate(
            SCENARIO | {"trouble": [{"kind": "crash", "at": 1, "seconds": 2, "how": how}]}
        )
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.validate(
            Scenario, SCENARIO | {"trouble": [{"kind": "?", "at": 1, "seconds": 2}]}, Path("/s.toml")
        )
    assert str(caught.value).endswith(f"'?' is not one of {', '.join(KINDS_OF_TROUBLE)}")


def test_scenarios_that_ship() -> None:
    assert scenario.names() == [
        *["bad-day", "consul-drain", "consul-outage", "tree-cold-hall", "tree-hall-loss", "vector-writes"]
    ]


# ---- experiment files


def test_every_experiment_key_and_its_default(tmp_path: Path) -> None:
    path = tmp_path / "e.toml"
    path.write_text('name = "e"\nscenario = "bad-day"\n')
    loaded, _, _ = experiment.load(str(path))
    assert loaded.model_dump(mode="json") == {
        "name": "e",
        "scenario": "bad-day",
        "expect": "",
        "seeds": 5,
        "vary": {},
    }
    path.write_text('name = "e"\nscenario = "bad-day"\nseeds = [3, 9]\n[vary]\n"nodes.width" = [1, 2]\n')
    loaded, _, _ = experiment.load(str(path))
    assert loaded.all_seeds() == (3, 9) and loaded.cells() == [{"nodes.width": 1}, {"nodes.width": 2}]
    path.write_text('name = "e"\nscenario = "bad-day"\nseedsx = 1\n')
    with pytest.raises(daemon_settings.SettingsError) as caught:
        experiment.load(str(path))
    assert str(caught.value) == f"{path}: seedsx: not a known key; is seeds meant?"


@pytest.mark.parametrize("name", ["copies", "list-delay", "retry-storm"])
def test_experiments_that_ship(name: str) -> None:
    assert experiment.load(name)[0].name == name


# ---- the command line

COMMANDS = {
    "": ["check-config", "demo", "lab", "query", "rehearse", "run-scenario", "serve"],
    "check-config": ["PATH"],
    "demo": ["--serve: BOOL"],
    "lab": ["compare", "report", "run"],
    "lab compare": ["A", "B", "--out: PATH, required"],
    "lab report": ["EXPERIMENT", "--out: PATH, required"],
    "lab run": ["EXPERIMENT", "--out: PATH, required", "--sockets: BOOL", "--workers: INTEGER RANGE = 4"],
    "query": [
        "ADDRESS",
        "SELECTOR",
        "--start: FLOAT",
        "--end: FLOAT",
        "--class: TEXT",
        "--timeout: FLOAT = 10.0",
        "--partial: BOOL",
    ],
    "rehearse": ["[SCENARIO]", "--from-day: FILE", "--out: PATH, required"],
    "run-scenario": ["[SCENARIO]", "--from-day: FILE", "--out: PATH, required"],
    "serve": ["--config: FILE, required", "--tap: FILE"],
}


def commands(command: click.Command, path: str = "") -> Iterator[tuple[str, list[str]]]:
    """Yield each command's path with its sub-commands, or with its arguments and options."""
    if isinstance(command, click.Group):
        yield path, sorted(command.commands)
        for name, inner in sorted(command.commands.items()):
            yield from commands(inner, f"{path} {name}".strip())
    else:
        yield path, [describe_parameter(parameter) for parameter in command.params]


def describe_parameter(parameter: click.Parameter) -> str:
    """Describe a parameter as the command line shows it: its option names, type and default."""
    if isinstance(parameter, click.Argument):
        name = (parameter.name or "").upper()
        return name if parameter.required else f"[{name}]"
    kind = "BOOL" if getattr(parameter, "is_flag", False) else parameter.type.name.upper()
    if isinstance(parameter.type, click.Path):
        kind = "FILE" if not parameter.type.dir_okay else "PATH"
    kind = kind.replace("DIRECTORY", "PATH")
    preset = parameter.default
    more = ", required" if parameter.required else f" = {preset}" if isinstance(preset, int | float) else ""
    return f"{'/'.join(parameter.opts)}: {kind}{'' if kind == 'BOOL' else more}"


def test_commands_and_their_options() -> None:
    assert dict(commands(main)) == COMMANDS


# ---- start-up settings from the platform or the simulator

START: dict[str, str] = {
    "Balancers": "3",
    "Locality": "1",
    "GranularityS": "0.005",
    "MembershipMode": "ask",
    "Classes.count": "2",
    "Classes.0.AimS": "2.0",
    "Classes.0.DeadlineS": "6.0",
    "Classes.0.Semantics": "safe",
    "Classes.0.LateWorth": "0.3",
    "Classes.0.AimStretch": "1.5",
    "Classes.1.AimS": "1.0",
    "Classes.1.DeadlineS": "4.0",
    "Classes.1.Semantics": "keyed",
    "Classes.1.WindowS": "9.0",
    "Classes.1.LateWorth": "0.25",
    "Tenants.count": "2",
    "Tenants.0.QuotaPerS": "4.5",
    "Tenants.1.QuotaPerS": "",
    "Extra.ClassFetch": "0,2",
    "Extra.MinShare": "1.0,0.5",
    "Extra.WholeAt": "1.0,0.75",
    "Extra.ShortWorth": "0.9,0.8",
    "Extra.Sets": "7",
    "Extra.Width": "4",
    "Extra.PerCall": "5",
    "Limits.SendCap": "6",
    "Limits.Cancelling": "true",
    "Limits.Peers": "false",
    "Limits.SecondCopies": "true",
    "Limits.RetryAfter": "false",
    "Limits.MaxRetryAfterS": "0.5",
    "Rules.StartCapacity": "0.17",
    "Rules.RampTimeS": "16.0",
    "Rules.FallS": "1.25",
    "Rules.TipMultiple": "4.0",
    "Rules.BudgetFree": "3",
    "Rules.ExtraRatio": "0.2",
    "Rules.ResendSpanS": "5",
    "Rules.StopSendingWithinS": "0.75",
}
MAY_BE_LEFT_OUT = {
    "Classes.0.AimStretch",
    "Tenants.count",
    "Tenants.0.QuotaPerS",
    "Tenants.1.QuotaPerS",
    "Rules.BudgetFree",
    "Rules.ExtraRatio",
    "Rules.ResendSpanS",
    "Rules.StopSendingWithinS",
}
START_READ: tuple[Any, ...] = (
    *(3, 1),
    (
        (2.0, 6.0, "safe", None, 0, 1.0, 1.0, 1.5, 0.3, 0.9),
        (1.0, 4.0, "keyed", 9.0, 2, 0.5, 0.75, None, 0.25, 0.8),
    ),
    *((4.5, None), 0.005, 7, 4, 5, 6, True, False, True, False, 0.5, True),
    *(0.17, 16.0, 1.25, 4.0, 3.0, 0.2, 5.0, 0.0, 0.75),
)


def by_position(read: Any) -> tuple[Any, ...]:
    """Return the settings as a plain tuple, so that the test does not depend on field names."""
    classes = tuple((*kind[:2], kind[2].value, *kind[3:]) for kind in read[2])
    return (*read[:2], classes, *read[3:])


def test_every_start_up_key() -> None:
    assert by_position(startup.read_settings(START)) == START_READ


@pytest.mark.parametrize("key", START)
def test_missing_start_up_key_is_named(key: str) -> None:
    pairs = {name: value for name, value in START.items() if name != key}
    if key in MAY_BE_LEFT_OUT:
        is_the_same = by_position(startup.read_settings(pairs)) == START_READ
        assert is_the_same is (START[key] == "")
        return
    with pytest.raises(startup.SettingsError, match=f"key {key} is missing"):
        startup.read_settings(pairs)
    with pytest.raises(startup.SettingsError, match=f"key {key} has the bad value '!'"):
        startup.read_settings(pairs | {key: "!"})


def test_defaults_of_start_up_settings() -> None:
    bare = {name: value for name, value in START.items() if name not in MAY_BE_LEFT_OUT}
    read = by_position(startup.read_settings(bare))
    assert read[2][0][7] is None and read[3] == () and read[-5:] == (None, None, None, 0.0, inf)
    assert startup.read_settings(bare | {"MembershipMode": "push"}) != startup.read_settings(bare)


def test_the_platform_s_nested_settings_are_the_same_keys() -> None:
    nested_start = {
        "A": {"B": 1, "C": [1, 0.5, "x"], "D": True, "E": None},
        "F": [{"G": 1}, {"G": [True]}],
        "H": [],
    }
    assert startup.flatten(nested_start) == {
        "A.B": "1",
        "A.C": "1,0.5,x",
        "A.D": "true",
        "A.E": "",
        "F.count": "2",
        "F.0.G": "1",
        "F.1.G": "true",
        "H.count": "0",
    }


# ---- a node's configuration from the platform

NODE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.2:8500",
    "seed": "1f",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 77},
    "peer_listen": "127.0.0.1:7000",
    "peers": ["127.0.0.1:7000", "127.0.0.3:7001"],
    "peers_all": "127.0.0.9:7009",
    "known": {"seq": 1, "whole": True, "hosts": []},
    "settings": {
        "Balancers": 2,
        "Locality": 0,
        "Ordinal": 1,
        "GranularityS": 0.005,
        "MembershipMode": "ask",
        "Zones": ["a", "b, west"],
        "Classes": [
            {"Name": "look", "AimS": 2.0, "DeadlineS": 6.0, "Semantics": "safe", "LateWorth": 0.0},
        ],
        "Extra": {
            "ClassFetch": [0],
            "MinShare": [1.0],
            "WholeAt": [1.0],
            "ShortWorth": [1.0],
            "PerCall": 1,
            "Sets": 1,
            "Shards": 4,
            "Width": 1,
        },
        "Limits": {
            "Cancelling": True,
            "ConnIdleS": 15.0,
            "ConnectTimeoutS": 0.25,
            "MaxRetryAfterS": 0.5,
            "Peers": False,
            "RetryAfter": True,
            "SecondCopies": True,
            "SendCap": 3,
            "StreamsPerConn": 32,
        },
        "Rules": {"RampTimeS": 1.0, "StartCapacity": 0.2, "FallS": 1.5, "TipMultiple": 4.0},
    },
}


def read_node(tmp_path: Path, table: dict[str, Any]) -> tuple[Any, ...]:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(table))
    return tuple(node_config.read_config(path))


def test_every_key_of_a_node_s_configuration(tmp_path: Path) -> None:
    read = read_node(tmp_path, NODE)
    assert read[:9] == (
        "n0",
        ("127.0.0.1", 0),
        ("127.0.0.2", 8500),
        0x1F,
        77,
        ("127.0.0.1", 7000),
        (("127.0.0.1", 7000), ("127.0.0.3", 7001)),
        ("127.0.0.9", 7009),
        {"seq": 1, "whole": True, "hosts": []},
    )
    assert read[10:] == (("a", "b, west"), ("look",), 4, 1, 32, 15.0, 0.25, 64 << 20)


def test_keys_that_a_node_s_configuration_may_leave_out(tmp_path: Path) -> None:
    needed = ("listen", "discovery", "settings")
    read = read_node(tmp_path, {key: value for key, value in NODE.items() if key in needed})
    assert read[:9] == ("", ("127.0.0.1", 0), ("127.0.0.2", 8500), 0, 1024, None, (), None, None)
    assert read[-1] == 192 << 20


@pytest.mark.parametrize(
    "key",
    [
        "listen",
        "discovery",
        "settings",
        "settings.Classes.0.Name",
        "settings.Extra.Shards",
        "settings.Limits.StreamsPerConn",
        "settings.Limits.ConnIdleS",
        "settings.Limits.ConnectTimeoutS",
    ],
)
def test_a_key_that_a_node_needs_is_named(tmp_path: Path, key: str) -> None:
    table = json.loads(json.dumps(NODE))
    *tables, last = key.split(".")
    at = table
    for word in tables:
        at = at[int(word) if word.isdigit() else word]
    del at[last]
    with pytest.raises(node_config.ConfigError, match=key.removeprefix("settings.")):
        read_node(tmp_path, table)


# ---- programs as processes


def test_daemon_output_exit_and_records(tmp_path: Path) -> None:
    """Pins its line on standard output, its exit, and the records that it and its nodes write."""
    recorder = Recorder(tmp_path / "nodes.jsonl")
    grid = FakeGrid(3, 3, ZONES, recorder=recorder)
    (tmp_path / "servers.toml").write_text(grid.list_text())
    config, tap = tmp_path / "c.toml", tmp_path / "tap.jsonl"
    config.write_text(toml(config_table(grid, tmp_path / "servers.toml", ZONES[0])))
    program = subprocess.Popen(
        [sys.executable, "-m", "gingervane.cli.main", "serve", "--config", str(config), "--tap", str(tap)],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert program.stdout is not None
    listening = re.fullmatch(r"listening on 127\.0\.0\.1:([0-9]+)\n", program.stdout.readline())
    assert listening
    client = Client(("127.0.0.1", int(listening[1])))
    query = Query(0, 60_000, (Matcher(Match.EQUAL, "tile", "t000"),))
    assert client.read([query], {}, WAIT_TIMEOUT_SECONDS).status == 200
    client.close()
    program.send_signal(signal.SIGTERM)
    assert program.wait(WAIT_TIMEOUT_SECONDS) == 0
    program.stdout.close()
    grid.stop()
    recorder.close()
    assert keys_of(tap) == {
        "request": ["t", "kind", "near", "far"],
        "call": ["t", "kind", "near", "far", "data"],
        "got": ["t", "kind", "near", "far", "bytes"],
        "reply": ["t", "kind", "near", "far", "status"],
    }
    assert keys_of(tmp_path / "nodes.jsonl") == {
        "taken": ["t", "kind", "node", "call", "peer", "asked"],
        "done": ["t", "kind", "node", "call"],
    }


def keys_of(path: Path) -> dict[str, list[str]]:
    """Return the keys of each kind of record in a file."""
    records = [json.loads(line) for line in path.read_text().splitlines()]
    return {record["kind"]: list(record) for record in records}


@pytest.mark.parametrize(
    ("command", "what"),
    [
        (["gingervane.cli.main", "serve", "--config", "none.toml"], "none.toml: "),
        (["gingervane.cli.main", "check-config", "none.toml"], "none.toml: "),
        (["gingervane.cli.main", "rehearse", "none", "--out", "none"], "none: "),
        (["gingervane.cli.main", "lab", "report", "none", "--out", "none"], "none: "),
        (["gingervane.node"], "gingervane: NODE_CONFIG "),
        (["gingervane.benchlink"], "gingervane: batch 9, byte 21: "),
    ],
)
def test_programs_that_cannot_start_end_with_2_and_a_line(
    tmp_path: Path, command: list[str], what: str
) -> None:
    done = subprocess.run(
        [sys.executable, "-m", *command],
        input=struct.pack("<dIIIB", 1.0, 21, 1, 9, 99),
        capture_output=True,
        check=False,
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT)},
    )
    error_text = done.stderr.decode()
    assert done.returncode == 2 and not done.stdout
    assert error_text.startswith(what) and error_text.count("\n") == 1


def test_a_node_takes_its_configuration_s_name_from_the_environment(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "gingervane.node"],
        capture_output=True,
        check=False,
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT), "NODE_CONFIG": "none.json", "GINGERVANE_TRACE": "trace.jsonl"},
    )
    assert done.returncode == 2 and done.stderr.startswith(b"gingervane: none.json: ")
    assert (tmp_path / "trace.jsonl").read_bytes() == b""


def test_commands_that_the_platform_runs() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy) == ["build", "node", "packages", "policy", "run", "sim"]
    assert deploy["run"].endswith(" -m gingervane.node")
    assert deploy["sim"].endswith(" -m gingervane.benchlink")
    assert all((ROOT / path).exists() for path in [*deploy["policy"], *deploy["node"]])
