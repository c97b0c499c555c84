"""What the platform tells a co-ordinator: the file that `NODE_CONFIG` names, read whole or refused with one error."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from gingervane import interface as api
from gingervane.coordinator.types import MAX_SEND_DELAY
from gingervane.startup import SettingsError, flatten, read_settings

Address = tuple[str, int]
_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})\Z")


class ConfigError(ValueError):
    """The configuration cannot be used: which key, and what is wrong with it."""


class Config(NamedTuple):
    """Sizes in bytes, times in seconds. `raw_settings`: flattened, for what the module does not need."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Any
    settings: api.Settings
    zones: tuple[str, ...]
    class_names: tuple[str, ...]
    shards: int
    me: int
    streams: int
    conn_idle: float
    connect_timeout: float


def read(path: Path) -> Config:
    """Raises ConfigError."""
    try:
        data = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{path}: settings: missing or no table")
    pairs = flatten(data["settings"])
    try:
        settings = read_settings(pairs)._replace(max_send_delay=MAX_SEND_DELAY)
        return Config(
            name=str(data.get("name", "")),
            listen=parse_address(data.get("listen"), "listen", least=0),  # 0: the kernel chooses
            discovery=address(data, "discovery"),
            seed=_number(str(data.get("seed", "0")), "seed", 16),
            sockets=_number(str(data.get("limits", {}).get("sockets", 1024)), "limits.sockets"),
            peer_listen=address(data, "peer_listen") if data.get("peer_listen") else None,
            peers=tuple(parse_address(p, "peers") for p in data.get("peers", [])),
            peers_all=address(data, "peers_all") if data.get("peers_all") else None,
            known=data.get("known"),
            settings=settings,
            zones=_names(data["settings"].get("Zones") or [], "settings: Zones"),  # a name may hold a comma
            class_names=tuple(_need(pairs, f"Classes.{i}.Name") for i in range(len(settings.query_classes))),
            shards=_number(_need(pairs, "Extra.Shards"), "settings: Extra.Shards"),
            me=_number(pairs.get("Ordinal", "0"), "settings: Ordinal"),
            streams=_number(_need(pairs, "Limits.StreamsPerConn"), "settings: Limits.StreamsPerConn"),
            conn_idle=_seconds(pairs, "Limits.ConnIdleS"),
            connect_timeout=_seconds(pairs, "Limits.ConnectTimeoutS"),
        )
    except (SettingsError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: a key of the wrong form: {error}") from None


def address(data: dict[str, Any], key: str) -> Address:
    return parse_address(data.get(key), key)


def parse_address(text: object, key: str, least: int = 1) -> Address:
    """`A.B.C.D:PORT`, as the platform writes them. Raises ConfigError.

    Guards against names: there is no DNS, and whoever connects to one waits for the resolver, or breaks on it.
    """
    found = _ADDRESS.match(str(text))
    try:
        if found and least <= int(found[2]) < 65536:
            return str(IPv4Address(found[1])), int(found[2])
    except ValueError:
        pass  # numbers that are no address
    raise ConfigError(f"{key}: {str(text)[:100]!r} is not an IPv4 address and a port")


def _names(found: object, key: str) -> tuple[str, ...]:
    if not isinstance(found, list) or not all(isinstance(name, str) for name in found):
        raise ConfigError(f"{key}: {found!r} is no list of names")
    return tuple(found)


def _need(pairs: dict[str, str], key: str) -> str:
    if not pairs.get(key):
        raise ConfigError(f"settings: key {key} is missing")
    return pairs[key]


def _number(text: str, key: str, base: int = 10) -> int:
    try:
        return int(text, base)
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not a number") from None


def _seconds(pairs: dict[str, str], key: str) -> float:
    text = _need(pairs, key)
    try:
        if 0.0 <= (seconds := float(text)) < inf:
            return seconds
    except ValueError:
        pass
    raise ConfigError(f"settings: {key}: {text!r} is no number of seconds")
