"""Shared by the scripts of review/6 to review/10: the daemon, vector nodes and a client, on loopback.

The daemon is `gingervane serve`; each vector node is a process of its own that runs the project's fake vector
node. Everything lies in a temporary folder. `finish` ends all processes that were started here.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PYTHON = ROOT / ".venv" / "bin" / "python"
GINGERVANE = ROOT / ".venv" / "bin" / "gingervane"
ZONES = ("hall-a", "hall-b", "hall-c")
COLLECTION = ["places", 4, "Cosine"]
START_TIMEOUT = 20.0
CASE_BROKEN, CASE_HELD, CASE_NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not run, or what it needs did not come about."""


def trouble() -> bool:
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self._file = path.open("w")

    def put(self, text: str, at: float | None = None) -> None:
        line = f"{(time.monotonic() if at is None else at) - self.started:8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


def shard_of(point: int, shards: int) -> int:
    """The shard of a point with a whole number as its id, as `gingervane/vectors/points.py` states it."""
    return zlib.crc32(f"{point:020d}".encode()) % shards


def point_in(shard: int, shards: int) -> int:
    return next(point for point in range(100_000) if shard_of(point, shards) == shard)


class Rig:
    """A ring of vector nodes and one daemon; shard s is held by the nodes s, s+1 and s+2 of the ring."""

    def __init__(self, case: Path, nodes: int) -> None:
        self.record = Record(case / "record.txt")
        self.nodes = nodes
        self.folder = Path(tempfile.mkdtemp(prefix="gingervane-review-"))
        self.processes: list[subprocess.Popen[str]] = []
        self.node_processes: list[subprocess.Popen[str]] = []
        self.ports: list[int] = []
        self.ids: list[int] = []
        self.states: dict[int, str] = {}
        self.address = ("127.0.0.1", 0)
        self.daemon: subprocess.Popen[str] | None = None

    # ---- processes

    def start_nodes(self, window: float, ramp_time: float = 4.0) -> None:
        """Start a node for each place on the ring; the id of each is its place."""
        started = [self._start_node(place, f"node-{place}", window, ramp_time) for place in range(self.nodes)]
        for place, process in enumerate(started):
            self.ports.append(self._port_of(process, place))
            self.ids.append(place)

    def replace_node(self, place: int, new_id: int, window: float, ramp_time: float = 4.0) -> None:
        """Start an empty node for a place on the ring, under a new id; the old one is left as it is."""
        process = self._start_node(place, f"node-{place}-{new_id}", window, ramp_time)
        self.ports[place] = self._port_of(process, place)
        self.ids[place] = new_id
        self.record.put(f"vector node for place {place} started, empty, id {new_id}")

    def _start_node(self, place: int, name: str, window: float, ramp_time: float) -> subprocess.Popen[str]:
        config = {
            "nodes": self.nodes,
            "width": 3,
            "collections": [COLLECTION],
            "window": window,
            "model": [2, 0.002, 0.001, 200, 0.2, ramp_time, 4.0, 1.5],
            "faults": {},
            "records": str(self.folder / f"{name}.jsonl"),
            "only": [place],
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [PYTHON, "-m", "gingervane.fake_servers.vectors", path],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=(self.folder / f"{name}.err").open("w"),
            text=True,
            cwd=ROOT,
        )
        self.node_processes.append(process)
        return process

    def _port_of(self, process: subprocess.Popen[str], place: int) -> int:
        assert process.stdout
        line = process.stdout.readline()
        if not line.startswith("ready "):
            raise NotRunError(f"the vector node for place {place} did not start")
        return json.loads(line[len("ready ") :])[0]

    def start_daemon(self, vectors: str, classes: str, extra: str = "") -> None:
        """Start `gingervane serve`; `vectors` has further lines of the table [vectors], `classes` all classes."""
        self.write_list()
        config = self.folder / "coordinator.toml"
        config.write_text(
            f"""default_class = "search"
[shards]
label = "tile"
names = ["t000"]
cells = 1
width = 1
[fleet]
coordinators = 1
zones = ["hall-a", "hall-b", "hall-c"]
zone = "hall-a"
[membership]
file = "{self.folder / "grid.toml"}"
[budget]
free = 20
share = 0.2
span = 5.0
[replicas]
start_capacity = 0.2
ramp_time = 4.0
fall_time = 1.5
fall_multiple = 4.0
{classes}
{extra}
[vectors]
cells = {self.nodes}
width = 3
quorum = 2
search_class = "search"
upsert_class = "upsert"
add_class = "add"
intents = "{self.folder / "intents"}"
{vectors}
[vectors.membership]
file = "{self.folder / "vectors.toml"}"
[[vectors.collection]]
name = "{COLLECTION[0]}"
dims = {COLLECTION[1]}
distance = "{COLLECTION[2]}"
"""
        )
        (self.folder / "grid.toml").write_text(
            f'[[node]]\nid = 1\naddress = "127.0.0.1:{self.ports[0]}"\nzone = "hall-a"\ncell = 0\n'
        )
        self.run_daemon()

    def run_daemon(self) -> None:
        self.daemon = subprocess.Popen(
            [GINGERVANE, "serve", "--config", self.folder / "coordinator.toml"],
            stdout=subprocess.PIPE,
            stderr=(self.folder / "daemon.err").open("a"),
            text=True,
            cwd=ROOT,
        )
        self.processes.append(self.daemon)
        assert self.daemon.stdout
        line = self.daemon.stdout.readline()
        if not line.startswith("listening on "):
            raise NotRunError("the daemon did not start: " + (self.folder / "daemon.err").read_text()[-500:])
        host, _, port = line.split()[-1].rpartition(":")
        self.address = (host, int(port))
        deadline = time.monotonic() + START_TIMEOUT
        while self.request("GET", "/-/ready")[0] != 200:
            if time.monotonic() > deadline:
                raise NotRunError("the daemon is not ready")
            time.sleep(0.1)
        self.record.put("daemon: ready")

    def finish(self) -> None:
        """End all processes that were started here, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.stop_nodes()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def stop_nodes(self) -> None:
        """End the nodes, so that their records are complete."""
        for process in self.node_processes:
            if process.poll() is None and process.stdin and not process.stdin.closed:
                process.stdin.close()
        for process in self.node_processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # ---- the list of vector nodes, and their faults

    def write_list(self, states: dict[int, str] | None = None) -> None:
        """Write the list of vector nodes; `states` has the nodes that are not ready."""
        self.states = states or {}
        rows = [
            f'[[node]]\nid = {self.ids[number]}\nname = "v{self.ids[number]}"\n'
            f'address = "127.0.0.1:{port}"\n'
            f'zone = "{ZONES[number % 3]}"\ncell = {number}\nstate = "{self.states.get(number, "ready")}"\n'
            for number, port in enumerate(self.ports)
        ]
        path = self.folder / "vectors.toml"
        path.with_suffix(".part").write_text("\n".join(rows))
        path.with_suffix(".part").replace(path)
        self.record.put(f"list of vector nodes written: {self.states or 'all ready'}")

    def fault(self, node: int, kind: str, seconds: float, size: float = 1.0) -> None:
        """Begin a fault of a vector node in 0.2 s, so that the answer to this order is not lost to it."""
        body = json.dumps({"kind": kind, "seconds": seconds, "size": size, "delay": 0.2})
        status, _, _ = _exchange(("127.0.0.1", self.ports[node]), "POST", "/control", body, {}, 5.0)
        if status != 200:
            raise NotRunError(f"vector node {node}: fault {kind} was answered {status}")
        self.record.put(f"vector node {node}: {kind} for {seconds:g} s")

    def effects(self, kind: str = "effect") -> list[dict]:
        """What the vector nodes have run, in order of time; call it after `stop_nodes`."""
        found = []
        for path in sorted(self.folder.glob("node-*.jsonl")):
            found += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted((item for item in found if item["kind"] == kind), key=lambda item: item["t"])

    # ---- the client

    def request(
        self, method: str, path: str, content: object = None, headers: dict[str, str] | None = None
    ) -> tuple[int, dict[str, str], str]:
        """Send one request; status 0: the connection ended without an answer."""
        body = "" if content is None else json.dumps(content)
        try:
            return _exchange(self.address, method, path, body, headers or {}, 30.0)
        except (OSError, http.client.HTTPException) as error:
            return 0, {}, repr(error)

    def put_point(self, key: str, point: int, payload: dict) -> int:
        """Insert or replace a point with an Idempotency-Key; return the status."""
        content = {"points": [{"id": point, "vector": [1.0, 0.5, 0.25, 0.125], "payload": payload}]}
        self.record.put(f"client: PUT points, key {key}, point {point}, payload {payload}")
        status, fields, text = self.request(
            "PUT", f"/collections/{COLLECTION[0]}/points", content, {"Idempotency-Key": key}
        )
        extra = {name: fields[name] for name in fields if name.startswith(("gingervane", "retry"))}
        self.record.put(f"client: key {key} answered {status} {extra} {text[:160]}")
        return status

    def set_payload(self, key: str, point: int, payload: dict, increment: bool = False) -> int:
        """Set fields of a point's payload, or add whole numbers to them; return the status."""
        content = {"payload": payload, "points": [point]}
        verb = "add to" if increment else "set"
        self.record.put(f"client: {verb} payload, key {key!r}, point {point}, {payload}")
        path = f"/collections/{COLLECTION[0]}/points/payload" + ("?increment=true" if increment else "")
        status, fields, text = self.request("POST", path, content, {"Idempotency-Key": key} if key else None)
        extra = {name: fields[name] for name in fields if name.startswith(("gingervane", "retry"))}
        self.record.put(f"client: key {key!r} answered {status} {extra} {text[:160]}")
        return status

    def metric(self, name: str) -> float:
        """A figure of the daemon's page /metrics."""
        _, _, text = self.request("GET", "/metrics")
        values = [line.split()[-1] for line in text.splitlines() if line.startswith(name + " ")]
        if not values:
            raise NotRunError(f"no figure {name}")
        return float(values[0])

    def stored(self, node: int, shard: int, point: int) -> dict | None:
        """A point as a vector node keeps it, read from the node itself."""
        path = f"/collections/{COLLECTION[0]}/shards/{shard}/fetch"
        body = json.dumps({"points": [str(point)]})
        _, _, text = _exchange(("127.0.0.1", self.ports[node]), "POST", path, body, {}, 5.0)
        rows = json.loads(text)["result"]
        return rows[0] if rows else None

    def payload_of(self, point: int) -> object:
        """Search for a point by its id; return its payload, or None."""
        content = {
            "vector": [1.0, 0.5, 0.25, 0.125],
            "limit": 1,
            "with_payload": True,
            "filter": {"must": [{"has_id": [point]}]},
        }
        status, fields, text = self.request("POST", f"/collections/{COLLECTION[0]}/points/search", content)
        extra = {name: fields[name] for name in fields if name.startswith("gingervane")}
        self.record.put(f"client: search for point {point} answered {status} {extra} {text[:200]}")
        if status != 200:
            return None
        hits = json.loads(text)["result"]
        return hits[0]["payload"] if hits else None


def _exchange(
    address: tuple[str, int], method: str, path: str, body: str, headers: dict[str, str], timeout: float
) -> tuple[int, dict[str, str], str]:
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body.encode(), {"Content-Type": "application/json", **headers})
        reply = connection.getresponse()
        return (
            reply.status,
            {name.lower(): value for name, value in reply.getheaders()},
            reply.read().decode(),
        )
    finally:
        connection.close()


def main(case: Path, nodes: int, play) -> None:
    """Run a case: `play(rig)` returns whether the rule was broken; exit with 1, 0 or 2."""
    rig = Rig(case, nodes)
    try:
        broken = play(rig)
        rig.record.put("RULE BROKEN" if broken else "rule held")
        status = CASE_BROKEN if broken else CASE_HELD
    except NotRunError as error:
        rig.record.put(f"not run: {error}")
        status = CASE_NOT_RUN
    except Exception as error:  # whatever it is, the case did not run
        rig.record.put(f"not run: {error!r}")
        status = CASE_NOT_RUN
    finally:
        rig.finish()
    sys.exit(status)
