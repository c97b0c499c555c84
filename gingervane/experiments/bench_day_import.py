"""A scenario from a bench day, as `lbsim draw` prints it, scaled to one machine; troubles without a twin are named.

What is kept: the classes with their aims, deadlines and effects, the shape of the fleet (zones, replicas, reach),
the times and sizes of the troubles and the share of servers that each hits. What is scaled: servers, co-ordinators
and query rate, so that all fits one machine; work a part, by the same factor as times are.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from gingervane.settings.daemon_settings import SettingsError, validate
from gingervane.scenarios.scenario import Scenario

_SAME = {"crash": "crash", "vanish": "vanish", "slow": "slow", "ageing": "ageing", "flapping": "flapping"}
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
    length, fam, allow = day["length"] / 1e6, day["fam"], day["allow"]
    squeeze = min(seconds / length, 1.0)  # of times of troubles; aims and deadlines stay
    zones, servers = list(day["zones"]), len(day["servers"])
    nodes = min(nodes, servers)
    kind = day["tiers"][0]["kinds"][0]
    tiles = min(fam["shards"], 4 * nodes)
    # Work a part is set so that the day's load (share of what all cores can do) comes at a rate one machine bears.
    rate, cores = 40.0, 2
    classes: list[dict[str, Any]] = []
    for c, asks in zip(day["classes"], fam["asks"], strict=True):
        least = max(round(tiles * asks["parts"] / fam["shards"]), 1)
        classes.append(
            {
                "name": c["name"],
                "share": c["share"],
                "aim": c["aim"] / 1e6,
                "deadline": c["deadline"] / 1e6,
                "worth": c["worth"],
                "late_worth": c["late_worth"],
                "semantics": c["effect"],
                "least_share": asks["floor"],
                "partial": asks["floor"] < 1.0,
                "tiles": [least, least],
            }
            | ({"repeat_window": c["window"] / 1e6} if c["effect"] == "keyed" else {})
        )
    mean = sum(c["share"] * c["tiles"][0] for c in classes) / sum(c["share"] for c in classes)
    work = day["traffic"]["load"] * nodes * cores / (rate * mean)
    troubles, unmapped = _troubles(day, squeeze, coordinators)
    seen = day["discovery"]
    return {
        "name": f"{day['site']}-{day['kind']}",
        "seed": day["noise"] % (1 << 31),
        "seconds": length * squeeze,
        "nodes": {
            "count": nodes,
            "tiles": tiles,
            "width": min(fam["replicas"], nodes),
            "zones": zones,
            "cores": cores,
            "work": work,
            "call_work": work * 0.05,
            "queue": kind["queue"],
            "start_capacity": kind["cold_from"],
            "ramp_time": max(kind["cold"] / 1e6 * squeeze, 1.0),
            "fall_multiple": day["fall_multiple"],
            "fall_time": day["fall_for"] / 1e6,
        },
        "list": {
            "notice": seen["notice"] / 1e6,
            "silent_notice": seen["silent_notice"] / 1e6,
            "add": seen["add"] / 1e6,
            "grace": day["drain_grace"] / 1e6,
        },
        "coordinators": {
            "count": min(coordinators, len(day["balancers"])),
            "notice": day["front_notice"] / 1e6,
            "limits": {"most_attempts": allow["max_attempts"], "parts_per_call": max(fam["batch"], 1)},
        },
        "clients": {
            "rate": rate,
            "retries": day["clients"]["retries"],
            "backoff": day["clients"]["backoff_us"] / 1e6,
            "honour": day["clients"]["honour"],
            "try_share": day["clients"]["try_share"],
            "impatient": day["clients"]["impatient"],
        },
        "class": classes,
        "trouble": troubles,
        "unmapped": unmapped,
    }


def _troubles(
    day: dict[str, Any],
    squeeze: float,
    coordinators: int,
) -> tuple[list[dict[str, Any]], list[str]]:
    out: list[dict[str, Any]] = []
    unmapped: list[str] = []
    servers, balancers = len(day["servers"]), len(day["balancers"])
    for trouble in day["troubles"]:
        kind, size = trouble["kind"], trouble["size"]
        on: list[int] = trouble["on"]
        base: dict[str, Any] = {
            "at": trouble["at"] / 1e6 * squeeze,
            "seconds": max(trouble["len"] / 1e6 * squeeze, 0.1),
            "share": min(len(on) / servers, 1.0),
        }
        ours = sorted({n * coordinators // balancers for n in on if n < balancers})
        if kind in _SAME:
            how = {"silence": "vanish", "hang": "hang"}.get(trouble.get("how", ""), "crash")
            out.append(base | {"kind": _SAME[kind], "size": max(size, 0.1), "how": how})
        elif kind == "shared_slow":
            out.append(base | {"kind": "slow", "size": size, "share": 1.0})
        elif kind == "hang":
            out.append(base | {"kind": "hang", "size": 1.0})
        elif kind == "fast_errors":
            out.append(base | {"kind": "fail_fast", "size": min(size, 1.0)})
        elif kind == "answer_lost":
            out.append(base | {"kind": "lose_answers", "size": min(size, 1.0)})
        elif kind == "pauses":
            out.append(base | {"kind": "stand_still", "size": min(size / 1000, 0.9)})
        elif kind == "idle_reap":
            out.append(base | {"kind": "idle_reap", "size": max(size, 0.1)})
        elif kind == "burst":
            out.append(base | {"kind": "burst", "size": max(size, 1.0), "share": 0.0})
        elif kind == "zone_loss":
            hit = {day["servers"][n]["zone"] for n in on if n < servers}
            zone = day["zones"][min(hit)] if hit else day["zones"][0]
            out.append(base | {"kind": "zone_loss", "zone": zone, "share": 0.0})
        elif kind in ("balancer_crash", "balancer_stall"):
            mine = "coordinator_kill" if kind == "balancer_crash" else "coordinator_stall"
            out.append(
                base
                | {
                    "kind": mine,
                    "coordinators": ours[: max(coordinators - 1, 1)],
                    "share": 0.0,
                    "size": max(size, 1.0) / 1000 if kind == "balancer_stall" else 1.0,
                }
            )
        else:
            unmapped.append(f"{kind}: {_UNMAPPED.get(kind, 'no twin here')}")
    return out, unmapped
