"""Limits on the descriptors and threads that client connections use."""

from __future__ import annotations

import json
import resource
import socket
import subprocess
import sys
import threading
from pathlib import Path

from platform_fakes import (
    HEAD,
    WAIT_TIMEOUT_SECONDS,
    Part,
    Platform,
    Replica,
    ScriptedDiscovery,
    Wire,
    chunk,
    connections_of,
    host,
    line,
    query,
    read_until,
    reply,
)
from ports import ReservedPort

from gingervane.fronts.connection_table import MAX_CLOSING

ROOT = Path(__file__).parent.parent


def test_idle_clients_take_all_descriptors_while_discovery_is_down_and_a_replica_drains(
    tmp_path: Path,
) -> None:
    """The node runs in a separate process, as the system limits descriptors by process."""
    platform, discovery, limit = Platform(tmp_path), ScriptedDiscovery(), 128
    reserved = ReservedPort()
    data = json.loads(platform.path.read_text()) | {
        "discovery": "{}:{}".format(*discovery.where),
        "limits": {"sockets": limit},
        "listen": f"127.0.0.1:{reserved.port}",
    }
    path = tmp_path / "other.json"
    path.write_text(json.dumps(data))
    program = subprocess.Popen(
        [sys.executable, "-m", "gingervane.node"],
        env={"NODE_CONFIG": str(path)},
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),  # noqa: PLW1509
    )
    assert program.stderr is not None
    read_until(program.stderr, "listening")
    where = "127.0.0.1", int(data["listen"].rpartition(":")[2])
    draining, remaining = platform.replicas
    discovery.sock(1).sendall(HEAD + chunk(line(1, host(draining), host(remaining))))
    discovery.close()
    assert "closed" in read_until(program.stderr, "watch_state_changed old=following new=idle")
    clients, statuses = [], []
    for _ in range(2 * limit):
        clients.append(sock := socket.create_connection(where, WAIT_TIMEOUT_SECONDS))
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        statuses.append(reply(sock)[0])
    assert statuses.count(200) >= limit // 4 and set(statuses) == {200, 503}
    restarted_discovery = ScriptedDiscovery(discovery.where[1])
    restarted_discovery.sock(1).sendall(HEAD + chunk(line(2, host(draining, health="DRAINING"), whole=False)))
    restarted_discovery.sock(1).sendall(chunk(b"{no JSON}\n"))  # logged after the drain is read
    read_until(program.stderr, "endpoint_list_invalid")
    sock, parts_before = clients[statuses.index(200)], len(draining.parts.items)
    for number in range(20):
        sock.sendall(query(f"q{number}", {0: 1.0}))
        assert reply(sock)[0] == 200
    assert len(draining.parts.items) == parts_before and program.poll() is None
    program.kill()
    program.wait()
    program.stderr.close()
    for sock in clients:
        sock.close()
    restarted_discovery.close()
    reserved.close()
    platform.close()


def test_descriptors_add_up_to_the_limit(tmp_path: Path) -> None:
    """Client and replica connections, open or closing, and the node's own descriptors use the whole limit."""
    from gingervane.node.descriptor_budget import OWN_DESCRIPTORS
    from gingervane.node.replica_connections import SPARE_DESCRIPTORS, ReplicaConnections

    for sockets in (256, 1024, 4096):
        platform = Platform(tmp_path, sockets=sockets)
        replica_connections = platform.node.core._transport
        assert isinstance(replica_connections, ReplicaConnections)
        clients = connections_of(platform)._limits.max_connections + MAX_CLOSING
        assert (
            clients + replica_connections._limits.max_connections + SPARE_DESCRIPTORS + OWN_DESCRIPTORS
            == sockets
        )
        platform.close()


def test_idle_connections_keep_no_thread(tmp_path: Path) -> None:
    """Neither an idle connection nor a request that is served takes a thread."""

    def behave(wire: Wire, part: Part) -> None:
        wire.answer(part.id)

    platform = Platform(tmp_path, Replica(0, behave), sockets=512)
    before = set(threading.enumerate())
    socks = [platform.client() for _ in range(100)]
    for number, sock in enumerate(socks):
        assert platform.ask(f"q{number}", {0: 1.0}, sock=sock)[0] == 200
    workers = [thread for thread in threading.enumerate() if thread.name == "client" and thread not in before]
    assert not workers
    for sock in socks:
        sock.close()
    platform.close()
