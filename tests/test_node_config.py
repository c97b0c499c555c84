"""Reading the node's configuration file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from platform_fakes import (
    SETTINGS,
    Platform,
    Replica,
)

from gingervane.node.config import ConfigError, read_config


def test_a_zone_may_have_any_name(tmp_path: Path) -> None:
    zones = ["a", "b, west", "c"]
    platform = Platform(tmp_path, Replica(0), settings=SETTINGS | {"Zones": zones})
    assert read_config(platform.path).zones == tuple(zones)
    platform.close()


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"settings": SETTINGS | {"Zones": "a,b"}}, "Zones"),
        ({"settings": None}, "settings: missing"),
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": SETTINGS | {"Zones": ["a"], "Rules": {}}}, "Rules.StartCapacity is missing"),
        ({"discovery": "discovery.internal:8500"}, "discovery"),
        ({"peers": ["\0:1"]}, "peers"),
        ({"discovery": "127.0.0.1:" + "9" * 5000}, "discovery"),
        ({"settings": SETTINGS | {"Classes": []}}, "Classes.count"),
        ({"settings": SETTINGS | {"Balancers": 0}}, "Balancers"),
        ({"settings": SETTINGS | {"GranularityS": 0}}, "GranularityS"),
        ({"settings": SETTINGS | {"Extra": SETTINGS["Extra"] | {"Sets": 0}}}, "Extra.Sets"),
        (
            {"settings": SETTINGS | {"Extra": SETTINGS["Extra"] | {"WholeAt": [1.0, 0.0, 1.0]}}},
            "Extra.WholeAt",
        ),
        ({"settings": SETTINGS | {"Rules": SETTINGS["Rules"] | {"RampTimeS": "nan"}}}, "Rules.RampTimeS"),
        ({"settings": SETTINGS | {"Rules": SETTINGS["Rules"] | {"FallS": -1}}}, "Rules.FallS"),
        ({"settings": SETTINGS | {"Limits": SETTINGS["Limits"] | {"ConnIdleS": "inf"}}}, "Limits.ConnIdleS"),
    ],
)
def test_a_bad_configuration_names_its_key(
    platform: Platform, change: dict[str, object], message: str
) -> None:
    data = json.loads(platform.path.read_text()) | change
    platform.path.write_text(json.dumps(data))
    with pytest.raises(ConfigError, match=message):
        read_config(platform.path)
