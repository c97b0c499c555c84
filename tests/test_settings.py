"""Settings and list files: all faults are reported at once, each with its place."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from gingervane import interface as api
from gingervane.membership.endpoint_file import EndpointFileError, parse
from gingervane.membership.view import EndpointView, Member
from gingervane.settings import daemon_settings

VALID_SETTINGS = """
[shards]
names = ["a", "b"]
cells = 2
width = 2
[fleet]
zones = ["x", "y"]
zone = "y"
[membership]
file = "servers.toml"
[[class]]
name = "look"
aim = 1.0
deadline = 2.0
least_share = 0.5
"""


def faults(text: str, tmp_path: Path) -> list[str]:
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(daemon_settings.SettingsError) as caught:
        daemon_settings.load(path)
    return [line.removeprefix(f"{path}: ") for line in str(caught.value).splitlines()]


def test_good_settings(tmp_path: Path) -> None:
    path = tmp_path / "c.toml"
    path.write_text(VALID_SETTINGS)
    config = daemon_settings.load(path)
    assert config.membership.file == tmp_path / "servers.toml"
    settings = config.module_settings()
    assert settings.zone == 1 and [c.required_coverage for c in settings.query_classes] == [1.0, 0.5, 1e-6]
    assert all(c.complete_coverage == 1.0 for c in settings.query_classes)


def test_all_faults_at_once(tmp_path: Path) -> None:
    text = (
        VALID_SETTINGS.replace("aim = 1.0", "aim = 3.0").replace('zone = "y"', 'zone = "z"')
        + """
repeat_windw = 1.0
[limits]
senders = 0
parts_per_cal = 3
open = "many"
[listen]
port = 70000
"""
    )
    assert sorted(faults(text, tmp_path)) == sorted(
        [
            "fleet.zone: 'z' is not one of x, y",
            "class[0].repeat_windw: not a known key; is repeat_window meant?",
            "limits.senders: input should be greater than 0, not 0",
            "limits.parts_per_cal: not a known key; is parts_per_call meant?",
            "limits.open: input should be a valid integer, unable to parse string as an integer, not 'many'",
            "listen.port: input should be less than or equal to 65535, not 70000",
        ]
    )
    assert faults(VALID_SETTINGS.replace("aim = 1.0", "aim = 3.0"), tmp_path) == [
        "class[0].aim: 3 s is past the deadline of 2 s"
    ]
    assert faults(VALID_SETTINGS + 'semantics = "keyed"\n', tmp_path)[0].startswith(
        "class[0].repeat_window: goes with"
    )
    assert faults(VALID_SETTINGS.replace("[fleet]", "[fleat]"), tmp_path) == [
        "fleet: missing",
        "fleat: not a known key; is fleet meant?",
    ]
    assert "line 1" in faults("x = = 1", tmp_path)[0]


def test_check_config_reports_the_result(tmp_path: Path) -> None:
    path = tmp_path / "c.toml"
    cases = (
        (VALID_SETTINGS, 0, "1 classes, 2 shards"),
        (VALID_SETTINGS + "x = 1\n", 2, "class[0].x: not a known"),
    )
    for text, status, out in cases:
        path.write_text(text)
        command = [sys.executable, "-m", "gingervane.cli.main", "check-config", str(path)]
        ran = subprocess.run(command, capture_output=True, check=False, text=True)
        assert ran.returncode == status and out in ran.stdout + ran.stderr


ROW = '[[node]]\nid = {}\nname = "n{}"\naddress = "{}"\nzone = "x"\ncell = {}\nstate = "{}"\n'


def test_list_faults_name_their_place() -> None:
    text = (
        ROW.format(1, 1, "h:1", 0, "ready")
        + ROW.format(1, 2, "h", 9, "resting")
        + "colour = 1\n"
        + ROW.format(1, 3, "h:2", 1, "gone")
    )
    with pytest.raises(EndpointFileError) as caught:
        parse(text, ("x",), 2, 0.0)
    assert str(caught.value).splitlines() == [
        "node[1].colour: not a known key",
        "node[1].cell: must be a whole number from 0 to 1",
        "node[1].state: must be ready, draining or gone",
        "node[1].address: must be HOST:PORT",
        "node[2].id: 1 is a duplicate",
    ]
    # Guards against a port that counts as digits and is no number: it ended the thread that reads the file.
    with pytest.raises(EndpointFileError, match="must be HOST:PORT"):
        parse(ROW.format(1, 1, "h:9\u00b2", 0, "ready"), ("x",), 2, 0.0)
    with pytest.raises(EndpointFileError, match="node: the list is empty"):
        parse("", ("x",), 2, 0.0)


def member(
    number: int, state: api.ReplicaState = api.ReplicaState.READY, port: int = 1, started: float | None = None
) -> Member:
    return Member(number, f"n{number}", ("h", port), 0, 0, state, started)


def test_a_replica_that_returns_is_cold() -> None:
    view = EndpointView()

    def started(now: float, *members: Member) -> dict[int, float]:
        listed = view.apply_full_list(members, now)
        assert listed is not None
        return {r.id: r.started_at for r in listed.membership.replicas}

    gone = api.ReplicaState.GONE
    assert started(10.0, member(1), member(2, started=4.0)) == {1: 0.0, 2: 4.0}
    assert view.apply_full_list((member(1), member(2, started=4.0)), 11.0) is None
    assert started(12.0, member(2, started=4.0)) == {2: 4.0}
    assert started(13.0, member(1), member(2, gone)) == {1: 13.0, 2: 4.0}, "removed, then listed again"
    now = started(14.0, member(1), member(2), member(3))
    assert now == {1: 13.0, 2: 14.0, 3: 14.0}, "2 was gone and is ready again, 3 is new"
    assert started(15.0, member(1, port=2), member(2), member(3)) == {
        1: 15.0,
        2: 14.0,
        3: 14.0,
    }, "new address"
