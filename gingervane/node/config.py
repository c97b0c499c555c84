"""The configuration of a co-ordinator: the file named by `NODE_CONFIG`, which is read completely or rejected."""

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
_DEFAULT_SOCKETS = 1024  # descriptors, if the configuration sets no limit
_DEFAULT_MEMORY_MB = 192  # if the configuration sets no limit; the most of the platform's scored days
_PORTS = 65536  # number of ports of an address


class ConfigError(ValueError):
    """The configuration is invalid; the message names the key and the fault."""


class NodeConfig(NamedTuple):
    """The configuration. Times are in seconds.

    `cached_endpoints`: the endpoint list to start with, in discovery's format; `peer_broadcast`: one address that
    reaches all peers; `memory_bytes`: the limit of the process's memory; `ordinal`: this co-ordinator's index among
    the peers; `idle_timeout`: for replica connections.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peer_broadcast: Address | None
    cached_endpoints: Any
    settings: api.Settings
    zones: tuple[str, ...]
    class_names: tuple[str, ...]
    shards: int
    ordinal: int
    streams_per_connection: int
    idle_timeout: float
    connect_timeout: float
    memory_bytes: int


def read_config(path: Path) -> NodeConfig:
    """Read a configuration file. Raises ConfigError."""
    try:
        data = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{path}: settings: missing or not a table")
    pairs = flatten(data["settings"])
    try:
        return _read_document(data, pairs)
    except (SettingsError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: a key has a value of the wrong type: {error}") from None


def _read_document(data: dict[str, Any], pairs: dict[str, str]) -> NodeConfig:
    """Read the keys of a document. `pairs`: its settings, flattened."""
    settings = read_settings(pairs)._replace(max_send_delay=MAX_SEND_DELAY)
    return NodeConfig(
        name=str(data.get("name", "")),
        listen=parse_address(data.get("listen"), "listen", min_port=0),  # port 0: the kernel chooses one
        discovery=read_address(data, "discovery"),
        seed=_number(str(data.get("seed", "0")), "seed", 16),
        max_sockets=_number(str(data.get("limits", {}).get("sockets", _DEFAULT_SOCKETS)), "limits.sockets"),
        peer_listen=read_address(data, "peer_listen") if data.get("peer_listen") else None,
        peers=tuple(parse_address(p, "peers") for p in data.get("peers", [])),
        peer_broadcast=read_address(data, "peers_all") if data.get("peers_all") else None,
        cached_endpoints=data.get("known"),
        settings=settings,
        zones=_names(data["settings"].get("Zones") or [], "settings: Zones"),  # a name may hold a comma
        class_names=tuple(_require(pairs, f"Classes.{i}.Name") for i in range(len(settings.query_classes))),
        shards=_number(_require(pairs, "Extra.Shards"), "settings: Extra.Shards"),
        ordinal=_number(pairs.get("Ordinal", "0"), "settings: Ordinal"),
        streams_per_connection=_number(
            _require(pairs, "Limits.StreamsPerConn"), "settings: Limits.StreamsPerConn"
        ),
        idle_timeout=_seconds(pairs, "Limits.ConnIdleS"),
        connect_timeout=_seconds(pairs, "Limits.ConnectTimeoutS"),
        memory_bytes=_megabytes(
            data.get("limits", {}).get("memory_mb", _DEFAULT_MEMORY_MB), "limits.memory_mb"
        ),
    )


def read_address(data: dict[str, Any], key: str) -> Address:
    """Parse the address stored under `key`. Raises ConfigError."""
    return parse_address(data.get(key), key)


def parse_address(text: object, key: str, min_port: int = 1) -> Address:
    """Parse `A.B.C.D:PORT`, the platform's form of an address. Raises ConfigError.

    Host names are rejected: the platform has no DNS, so connecting to one would wait for the resolver or fail in it.
    """
    parsed = _ADDRESS.match(str(text))
    try:
        if parsed and min_port <= int(parsed[2]) < _PORTS:
            return str(IPv4Address(parsed[1])), int(parsed[2])
    except ValueError:
        pass  # not an IPv4 address
    raise ConfigError(f"{key}: {str(text)[:100]!r} is not an IPv4 address and a port")


def _names(value: object, key: str) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ConfigError(f"{key}: {value!r} is not a list of names")
    return tuple(value)


def _require(pairs: dict[str, str], key: str) -> str:
    if not pairs.get(key):
        raise ConfigError(f"settings: key {key} is missing")
    return pairs[key]


def _number(text: str, key: str, base: int = 10) -> int:
    try:
        return int(text, base)
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not a number") from None


def _megabytes(value: object, key: str) -> int:
    """Return a number of MB of 2**20 bytes, which may be a fraction, in bytes. Raises ConfigError."""
    if isinstance(value, int | float) and not isinstance(value, bool) and 0 < value < inf:
        return int(value * (1 << 20))
    raise ConfigError(f"{key}: {value!r} is not a number of megabytes above 0")


def _seconds(pairs: dict[str, str], key: str) -> float:
    text = _require(pairs, key)
    try:
        if 0.0 <= (seconds := float(text)) < inf:
            return seconds
    except ValueError:
        pass
    raise ConfigError(f"settings: {key}: {text!r} is not a number of seconds")
