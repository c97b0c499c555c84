"""A scenario from a bench day, as `lbsim draw` prints it, scaled to one machine; what has no equivalent is named.

What is kept: the classes with their latency objectives, deadlines and effects, the shape of the fleet (zones,
replicas, reach), the times and sizes of the faults and the share of servers that each hits. What is scaled: servers,
co-ordinators and query rate, so that all fits one machine; work a part, by the same factor as times are.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gingervane.scenarios.scenario import Scenario
from gingervane.settings.daemon_settings import SettingsError, validate

_MICROSECONDS = 1e6  # in a second; a day file has its times in microseconds
_RATE = 40.0  # queries a second, which one machine bears
_CORES = 2  # of a node
# By kind: the same fault here.
_SAME = {"crash": "crash", "vanish": "vanish", "slow": "slow", "ageing": "ageing", "flapping": "flapping"}
# By kind: the fault here, from the size there.
_BY_SIZE: dict[str, Callable[[float], dict[str, Any]]] = {
    "shared_slow": lambda size: {"kind": "slow", "size": size, "share": 1.0},
    "hang": lambda _: {"kind": "hang", "size": 1.0},
    "fast_errors": lambda size: {"kind": "fail_fast", "size": min(size, 1.0)},
    "answer_lost": lambda size: {"kind": "lose_answers", "size": min(size, 1.0)},
    "pauses": lambda size: {"kind": "stand_still", "size": min(size / 1000, 0.9)},
    "idle_reap": lambda size: {"kind": "idle_reap", "size": max(size, 0.1)},
    "burst": lambda size: {"kind": "burst", "size": max(size, 1.0), "share": 0.0},
}
_COORDINATOR_KINDS = {"balancer_crash": "coordinator_kill", "balancer_stall": "coordinator_stall"}
# Why a kind has no equivalent.
_UNMAPPED = {
    "report_late": "replicas here report no load",
    "false_reports": "replicas here report no load",
    "heavy_tail": "work here does not differ by query",
    "peer_down": "co-ordinators here do not talk yet",
    "one_sided": "all of one machine's loopback is one network",
    "preempt": "no notice of a stop is given here",
    "retry_abuse": "clients here retry as the day's clients do",
}


def convert(path: Path, nodes: int = 12, coordinators: int = 3, seconds: float = 40.0) -> Scenario:
    """Read a day file. Raises SettingsError if it is none."""
    try:
        day = json.loads(path.read_text())
        table = _table(day, nodes, coordinators, seconds)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
    except (KeyError, IndexError, TypeError) as error:
        raise SettingsError(f"{path}: not a day file of the fan-out family: {error!r}") from None
    return validate(Scenario, table, path)


def _table(day: dict[str, Any], nodes: int, coordinators: int, seconds: float) -> dict[str, Any]:
    """Build the scenario's table."""
    length, fam = day["length"] / _MICROSECONDS, day["fam"]
    squeeze = min(seconds / length, 1.0)  # of times of faults; latency objectives and deadlines stay
    nodes = min(nodes, len(day["servers"]))
    tiles = min(fam["shards"], 4 * nodes)
    classes = [
        _class(found, asks, max(round(tiles * asks["parts"] / fam["shards"]), 1))
        for found, asks in zip(day["classes"], fam["asks"], strict=True)
    ]
    faults, unmapped = _faults(day, squeeze, coordinators)
    return {
        "name": f"{day['site']}-{day['kind']}",
        "seed": day["noise"] % (1 << 31),
        "seconds": length * squeeze,
        "nodes": {
            "count": nodes,
            "tiles": tiles,
            "width": min(fam["replicas"], nodes),
            "zones": list(day["zones"]),
            **_capacity(day, nodes, classes, squeeze),
        },
        "list": _listing(day),
        "coordinators": {
            "count": min(coordinators, len(day["balancers"])),
            "notice": day["front_notice"] / _MICROSECONDS,
            "limits": {
                "most_attempts": day["allow"]["max_attempts"],
                "parts_per_call": max(fam["batch"], 1),
            },
        },
        "clients": _clients(day["clients"]),
        "class": classes,
        "trouble": faults,
        "unmapped": unmapped,
    }


def _class(found: dict[str, Any], asks: dict[str, Any], tiles: int) -> dict[str, Any]:
    """Build a class whose queries need so many tiles."""
    table = {
        "name": found["name"],
        "share": found["share"],
        "aim": found["aim"] / _MICROSECONDS,
        "deadline": found["deadline"] / _MICROSECONDS,
        "worth": found["worth"],
        "late_worth": found["late_worth"],
        "semantics": found["effect"],
        "least_share": asks["floor"],
        "partial": asks["floor"] < 1.0,
        "tiles": [tiles, tiles],
    }
    if found["effect"] == "keyed":
        table["repeat_window"] = found["window"] / _MICROSECONDS
    return table


def _capacity(
    day: dict[str, Any], nodes: int, classes: list[dict[str, Any]], squeeze: float
) -> dict[str, Any]:
    """Set the work of a part so that the day's load (share of what all cores can do) comes at the rate."""
    mean_tiles = sum(c["share"] * c["tiles"][0] for c in classes) / sum(c["share"] for c in classes)
    work = day["traffic"]["load"] * nodes * _CORES / (_RATE * mean_tiles)
    kind = day["tiers"][0]["kinds"][0]
    return {
        "cores": _CORES,
        "work": work,
        "call_work": work * 0.05,
        "queue": kind["queue"],
        "start_capacity": kind["cold_from"],
        "ramp_time": max(kind["cold"] / _MICROSECONDS * squeeze, 1.0),
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
        "rate": _RATE,
        "retries": clients["retries"],
        "backoff": clients["backoff_us"] / _MICROSECONDS,
        "honour": clients["honour"],
        "try_share": clients["try_share"],
        "impatient": clients["impatient"],
    }


def _faults(
    day: dict[str, Any],
    squeeze: float,
    coordinators: int,
) -> tuple[list[dict[str, Any]], list[str]]:
    """Build the faults that have an equivalent here, and name the others."""
    mapped: list[dict[str, Any]] = []
    unmapped: list[str] = []
    for fault in day["troubles"]:
        kind = fault["kind"]
        base: dict[str, Any] = {
            "at": fault["at"] / _MICROSECONDS * squeeze,
            "seconds": max(fault["len"] / _MICROSECONDS * squeeze, 0.1),
            "share": min(len(fault["on"]) / len(day["servers"]), 1.0),
        }
        if kind in _SAME:
            mapped.append(base | _same_fault(fault))
        elif kind in _BY_SIZE:
            mapped.append(base | _BY_SIZE[kind](fault["size"]))
        elif kind == "zone_loss":
            mapped.append(base | _zone_loss(day, fault))
        elif kind in _COORDINATOR_KINDS:
            mapped.append(base | _coordinator_fault(day, fault, coordinators))
        else:
            unmapped.append(f"{kind}: {_UNMAPPED.get(kind, 'no twin here')}")
    return mapped, unmapped


def _same_fault(fault: dict[str, Any]) -> dict[str, Any]:
    how = {"silence": "vanish", "hang": "hang"}.get(fault.get("how", ""), "crash")
    return {"kind": _SAME[fault["kind"]], "size": max(fault["size"], 0.1), "how": how}


def _zone_loss(day: dict[str, Any], fault: dict[str, Any]) -> dict[str, Any]:
    servers = day["servers"]
    zones = {servers[n]["zone"] for n in fault["on"] if n < len(servers)}
    zone = day["zones"][min(zones)] if zones else day["zones"][0]
    return {"kind": "zone_loss", "zone": zone, "share": 0.0}


def _coordinator_fault(day: dict[str, Any], fault: dict[str, Any], coordinators: int) -> dict[str, Any]:
    """Build a fault of co-ordinators; one of them at least is spared."""
    balancers = len(day["balancers"])
    hit = sorted({n * coordinators // balancers for n in fault["on"] if n < balancers})
    is_stall = fault["kind"] == "balancer_stall"
    return {
        "kind": _COORDINATOR_KINDS[fault["kind"]],
        "coordinators": hit[: max(coordinators - 1, 1)],
        "share": 0.0,
        "size": max(fault["size"], 1.0) / 1000 if is_stall else 1.0,
    }
