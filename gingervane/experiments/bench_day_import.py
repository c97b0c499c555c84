"""Converts a bench day file, as `lbsim draw` prints it, to a scenario that one machine can run.

Kept: the query classes with their latency objectives, deadlines and effects, the shape of the fleet (zones,
replicas, reach), and each fault's time, size and share of affected servers. Scaled down to one machine: the
number of servers and co-ordinators, the query rate, and the work of a part, which keeps the day's load.
Faults that have no equivalent are listed in the scenario's `unmapped`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gingervane.scenarios.scenario import Scenario
from gingervane.settings.daemon_settings import SettingsError, validate

_MICROSECONDS = 1e6  # in a second; times in a day file are in microseconds
_QUERY_RATE = 40.0  # queries a second that one machine can run
_CORES_PER_NODE = 2
# Fault kinds of a day file that a scenario has too, with the scenario's kind.
_SAME_KIND = {
    "crash": "crash",
    "vanish": "vanish",
    "slow": "slow",
    "ageing": "ageing",
    "flapping": "flapping",
}
# Fault kinds that become another kind: a function from the day file's size to the scenario's fields.
_MAPPED_BY_SIZE: dict[str, Callable[[float], dict[str, Any]]] = {
    "shared_slow": lambda size: {"kind": "slow", "size": size, "share": 1.0},
    "hang": lambda _: {"kind": "hang", "size": 1.0},
    "fast_errors": lambda size: {"kind": "fail_fast", "size": min(size, 1.0)},
    "answer_lost": lambda size: {"kind": "lose_answers", "size": min(size, 1.0)},
    "pauses": lambda size: {"kind": "stand_still", "size": min(size / 1000, 0.9)},
    "idle_reap": lambda size: {"kind": "idle_reap", "size": max(size, 0.1)},
    "burst": lambda size: {"kind": "burst", "size": max(size, 1.0), "share": 0.0},
}
_COORDINATOR_KINDS = {"balancer_crash": "coordinator_kill", "balancer_stall": "coordinator_stall"}
# Fault kinds without an equivalent, and the reason that the report shows.
_UNMAPPED_REASONS = {
    "report_late": "replicas here report no load",
    "false_reports": "replicas here report no load",
    "heavy_tail": "work here does not differ by query",
    "peer_down": "co-ordinators here do not talk yet",
    "one_sided": "all of one machine's loopback is one network",
    "preempt": "no notice of a stop is given here",
    "retry_abuse": "clients here retry as the day's clients do",
}


def convert(path: Path, nodes: int = 12, coordinators: int = 3, seconds: float = 40.0) -> Scenario:
    """Convert a day file to a scenario of at most this size and length. Raises SettingsError."""
    try:
        day = json.loads(path.read_text())
        table = _table(day, nodes, coordinators, seconds)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
    except (KeyError, IndexError, TypeError) as error:
        raise SettingsError(f"{path}: not a day file of the fan-out family: {error!r}") from None
    return validate(Scenario, table, path)


def _table(day: dict[str, Any], nodes: int, coordinators: int, seconds: float) -> dict[str, Any]:
    """Build the scenario's table from the day file's."""
    day_seconds, family = day["length"] / _MICROSECONDS, day["fam"]
    # Scales the day's length, fault times and the ramp time, but not latency objectives and deadlines.
    time_scale = min(seconds / day_seconds, 1.0)
    nodes = min(nodes, len(day["servers"]))
    tiles = min(family["shards"], 4 * nodes)
    classes = [
        _class(day_class, fan_out, max(round(tiles * fan_out["parts"] / family["shards"]), 1))
        for day_class, fan_out in zip(day["classes"], family["asks"], strict=True)
    ]
    faults, unmapped = _faults(day, time_scale, coordinators)
    return {
        "name": f"{day['site']}-{day['kind']}",
        "seed": day["noise"] % (1 << 31),
        "seconds": day_seconds * time_scale,
        "nodes": {
            "count": nodes,
            "tiles": tiles,
            "width": min(family["replicas"], nodes),
            "zones": list(day["zones"]),
            **_capacity(day, nodes, classes, time_scale),
        },
        "list": _listing(day),
        "coordinators": {
            "count": min(coordinators, len(day["balancers"])),
            "notice": day["front_notice"] / _MICROSECONDS,
            "limits": {
                "most_attempts": day["allow"]["max_attempts"],
                "parts_per_call": max(family["batch"], 1),
            },
        },
        "clients": _clients(day["clients"]),
        "class": classes,
        "trouble": faults,
        "unmapped": unmapped,
    }


def _class(day_class: dict[str, Any], fan_out: dict[str, Any], tiles: int) -> dict[str, Any]:
    """Build a query class whose queries each read `tiles` tiles."""
    table = {
        "name": day_class["name"],
        "share": day_class["share"],
        "aim": day_class["aim"] / _MICROSECONDS,
        "deadline": day_class["deadline"] / _MICROSECONDS,
        "worth": day_class["worth"],
        "late_worth": day_class["late_worth"],
        "semantics": day_class["effect"],
        "least_share": fan_out["floor"],
        "partial": fan_out["floor"] < 1.0,
        "tiles": [tiles, tiles],
    }
    if day_class["effect"] == "keyed":
        table["repeat_window"] = day_class["window"] / _MICROSECONDS
    return table


def _capacity(
    day: dict[str, Any], nodes: int, classes: list[dict[str, Any]], time_scale: float
) -> dict[str, Any]:
    """Set the work of a part so that `_QUERY_RATE` gives the day's load (share of all cores' capacity)."""
    mean_tiles = sum(c["share"] * c["tiles"][0] for c in classes) / sum(c["share"] for c in classes)
    work = day["traffic"]["load"] * nodes * _CORES_PER_NODE / (_QUERY_RATE * mean_tiles)
    replica_kind = day["tiers"][0]["kinds"][0]
    return {
        "cores": _CORES_PER_NODE,
        "work": work,
        "call_work": work * 0.05,
        "queue": replica_kind["queue"],
        "start_capacity": replica_kind["cold_from"],
        "ramp_time": max(replica_kind["cold"] / _MICROSECONDS * time_scale, 1.0),
        "fall_multiple": day["fall_multiple"],
        "fall_time": day["fall_for"] / _MICROSECONDS,
    }


def _listing(day: dict[str, Any]) -> dict[str, Any]:
    discovery = day["discovery"]
    return {
        "notice": discovery["notice"] / _MICROSECONDS,
        "silent_notice": discovery["silent_notice"] / _MICROSECONDS,
        "add": discovery["add"] / _MICROSECONDS,
        "grace": day["drain_grace"] / _MICROSECONDS,
    }


def _clients(clients: dict[str, Any]) -> dict[str, Any]:
    return {
        "rate": _QUERY_RATE,
        "retries": clients["retries"],
        "backoff": clients["backoff_us"] / _MICROSECONDS,
        "honour": clients["honour"],
        "try_share": clients["try_share"],
        "impatient": clients["impatient"],
    }


def _faults(
    day: dict[str, Any],
    time_scale: float,
    coordinators: int,
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the faults that have an equivalent, and a line for each of the others."""
    mapped: list[dict[str, Any]] = []
    unmapped: list[str] = []
    for fault in day["troubles"]:
        fault_kind = fault["kind"]
        common_fields: dict[str, Any] = {
            "at": fault["at"] / _MICROSECONDS * time_scale,
            "seconds": max(fault["len"] / _MICROSECONDS * time_scale, 0.1),
            "share": min(len(fault["on"]) / len(day["servers"]), 1.0),
        }
        if fault_kind in _SAME_KIND:
            mapped.append(common_fields | _same_kind_fault(fault))
        elif fault_kind in _MAPPED_BY_SIZE:
            mapped.append(common_fields | _MAPPED_BY_SIZE[fault_kind](fault["size"]))
        elif fault_kind == "zone_loss":
            mapped.append(common_fields | _zone_loss(day, fault))
        elif fault_kind in _COORDINATOR_KINDS:
            mapped.append(common_fields | _coordinator_fault(day, fault, coordinators))
        else:
            unmapped.append(f"{fault_kind}: {_UNMAPPED_REASONS.get(fault_kind, 'no twin here')}")
    return mapped, unmapped


def _same_kind_fault(fault: dict[str, Any]) -> dict[str, Any]:
    how = {"silence": "vanish", "hang": "hang"}.get(fault.get("how", ""), "crash")
    return {"kind": _SAME_KIND[fault["kind"]], "size": max(fault["size"], 0.1), "how": how}


def _zone_loss(day: dict[str, Any], fault: dict[str, Any]) -> dict[str, Any]:
    servers = day["servers"]
    zones = {servers[n]["zone"] for n in fault["on"] if n < len(servers)}
    zone = day["zones"][min(zones)] if zones else day["zones"][0]
    return {"kind": "zone_loss", "zone": zone, "share": 0.0}


def _coordinator_fault(day: dict[str, Any], fault: dict[str, Any], coordinators: int) -> dict[str, Any]:
    """Build a fault of co-ordinators; with two or more, at least one is left out of it."""
    balancers = len(day["balancers"])
    affected = sorted({n * coordinators // balancers for n in fault["on"] if n < balancers})
    is_stall = fault["kind"] == "balancer_stall"
    return {
        "kind": _COORDINATOR_KINDS[fault["kind"]],
        "coordinators": affected[: max(coordinators - 1, 1)],
        "share": 0.0,
        "size": max(fault["size"], 1.0) / 1000 if is_stall else 1.0,
    }
