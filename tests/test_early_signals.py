"""A node that gets SIGHUP while it starts, as after a restart in the middle of new configurations."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

from platform_fakes import ROOT, Platform, reply, wait_until
from ports import ReservedPort

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def is_python(pid: int) -> bool:
    return b"gingervane.node" in Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")


# Guards against a process that ends by itself because a new configuration comes while it starts.
def test_a_hang_up_during_the_start_does_not_end_the_node(tmp_path: Path) -> None:
    platform, reserved = Platform(tmp_path), ReservedPort()
    data = json.loads(platform.path.read_text()) | {"listen": f"127.0.0.1:{reserved.port}"}
    path, log = tmp_path / "other.json", tmp_path / "node.log"
    path.write_text(json.dumps(data))
    with log.open("w") as output:
        command = RUN.replace("deploy/venv/bin/python", sys.executable)
        env = {"NODE_CONFIG": str(path)}
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stderr=output)
    wait_until(lambda: is_python(process.pid), "the interpreter runs")

    def has_started() -> bool:
        process.send_signal(signal.SIGHUP)
        return "event=listening" in log.read_text() or process.poll() is not None

    wait_until(has_started, "it has started")
    assert process.poll() is None, log.read_text()
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=configuration_reloaded" in log.read_text(), "the signal is handled as before")
    with socket.create_connection(("127.0.0.1", reserved.port)) as sock:
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert reply(sock)[0] in (200, 503)
    process.kill()
    process.wait()
    reserved.close()
    platform.close()
