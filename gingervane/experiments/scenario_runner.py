"""A scripted day: stand-in nodes, co-ordinators and clients in processes of their own, troubles at stated times.

The director (this process) starts all, writes the server list as the scenario has it, kills and stops co-ordinators,
plays the clients and gathers what every socket end recorded. The audit then judges from those records alone.
"""

from __future__ import annotations

import contextlib
import json
import os
import queue
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

from gingervane.audit import effects, rules
from gingervane.experiments.clients import Load
from gingervane.scenarios.demands import demands
from gingervane.experiments.listing import ConsulListing, FileListing, Listing, Row
from gingervane.scenarios.scenario import Scenario
from gingervane.experiments.toml_text import toml
from gingervane.experiments.vector_day import VectorLoad, VectorNodes, settled
from gingervane.fake_servers.recorder import Recorder

_SERVICE = "grid"  # the nodes' in Consul
_START = (
    6.0  # seconds ahead of the day within which all must be up and warm, on a machine that is slow to start
)


class RehearsalError(Exception):
    """The day could not be played; its records say nothing of the rules."""


class _Process:
    """A child process whose output lines are read as they come."""

    def __init__(self, command: list[str], log: Path, keep_stdin: bool = False) -> None:
        self._log, self._name = log.open("ab"), " ".join(command)
        self.child = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=self._log,
            stdin=subprocess.PIPE if keep_stdin else None,
        )
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        assert self.child.stdout is not None
        threading.Thread(target=self._read, args=(self.child.stdout,), daemon=True).start()

    def _read(self, out: IO[bytes]) -> None:
        for line in out:
            self._lines.put(line.decode())
        self._lines.put("")

    def line(self, begins: str, timeout: float = 30.0) -> str:
        """The rest of the first line that begins so."""
        until = time.monotonic() + timeout
        while True:
            try:
                line = self._lines.get(timeout=max(until - time.monotonic(), 0.01))
            except queue.Empty:
                raise RehearsalError(f"{self._name}: no line {begins!r} in {timeout:g} s") from None
            if line.startswith(begins):
                return line.removeprefix(begins).strip()
            if not line:
                raise RehearsalError(f"{self._name}: ended; see {self._log.name}")

    def finish(self, timeout: float = 20.0) -> None:
        """Its standard input has been closed: let it write what it has recorded, and end."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.child.wait(timeout)
        self.end()

    def end(self, hard: bool = False, timeout: float = 20.0) -> int:
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL if hard else signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()
        finally:
            self._log.close()


class Rehearsal:
    """One day. `command` starts a co-ordinator; tests put one that breaks a rule in its place."""

    def __init__(self, scenario: Scenario, out: Path, command: list[str] | None = None) -> None:
        self.scenario, self.out = scenario, out
        self._command = command or [sys.executable, "-m", "gingervane.cli.main", "serve"]
        self._coordinators: dict[int, _Process] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        self._hidden: dict[int, float] = {}  # killed: until when clients still go there
        self._launches = 0
        self._states: dict[int, str] = {}  # of co-ordinators that are listed, not ready
        self._listed: dict[
            int, tuple[tuple[str, int], float]
        ] = {}  # co-ordinators: address, Unix time of start
        self._nodes: tuple[list[int], float, dict[int, str], dict[int, float]] = ([], 0.0, {}, {})
        self._began = 0.0
        self._lock = threading.Lock()
        self._listing: Listing = FileListing(out / "servers.toml")
        self._agents: list[tuple[str, int]] = []  # of Consul, without the director's own
        self._vectors = VectorNodes(scenario, out) if scenario.vectors else None

    def run(self) -> dict[str, Any]:
        """Play the day and judge it; the report, which is also in `report.json`."""
        scenario, out = self.scenario, self.out
        if out.exists():
            shutil.rmtree(out)
        out.mkdir(parents=True)
        (out / "facts.json").write_text(json.dumps(scenario.facts()))
        director = Recorder(out / "director.jsonl")
        fleets: list[_Process] = []
        try:
            count = scenario.coordinators.count
            began = time.monotonic() + _START + 0.6 * count + 0.02 * scenario.nodes.count
            fleets = self._start_nodes(began)
            if scenario.consul:
                fleets.append(self._start_consul(scenario.consul.agents, director))
            if self._vectors:
                fleets.append(self._start_vectors(self._vectors, began, director))
            ports = [0] * scenario.nodes.count
            for index, fleet in enumerate(fleets[: scenario.nodes.processes]):
                ports[index :: scenario.nodes.processes] = json.loads(fleet.line("ready"))
            director.put("ports", ports=ports)
            self._list(ports, 0, {}, {}, director, began)
            for number in range(count):
                self._launch(number, director)
            if time.monotonic() > began:
                raise RehearsalError("the machine took too long to start all; the day would be late")
            script = threading.Thread(target=self._script, args=(began, ports, director), daemon=True)
            script.start()
            clients = Recorder(out / "clients.jsonl")
            load = Load(scenario, clients, out / "bodies.bin", self._targets)
            tiles = [f"t{i:03d}" for i in range(scenario.nodes.tiles)]
            director.put("began", at=began)
            beside = self._play_vectors(clients, began)
            load.play(demands(scenario, tiles), began)
            if beside:
                beside.join(120.0)
            clients.close()
            script.join(30.0)
            if self._vectors:
                done = settled(self._targets, self._vectors.day.settle)
                director.put("vector_marks", settled=done, marks=self._vectors.marks())
            director.put("usage", usage=self._usage())
        finally:
            with self._lock:
                processes, self._coordinators = self._coordinators, {}
            statuses = {number: process.end() for number, process in processes.items()}
            director.put("ended", statuses=statuses)
            for fleet in fleets:
                if fleet.child.stdin:
                    fleet.child.stdin.close()
            for fleet in fleets:
                fleet.finish()
            director.close()
        report = rules.judge(out)
        if self._vectors:
            report["vectors"] = effects.judge(out)
            report["kept"] = report["kept"] and report["vectors"]["kept"]
        (out / "report.json").write_text(json.dumps(report, indent=2) + "\n")
        return report

    def _start_nodes(self, began: float) -> list[_Process]:
        nodes = self.scenario.nodes
        orders = {
            "nodes": nodes.count,
            "tiles": nodes.tiles,
            "zones": nodes.zones,
            "width": nodes.width,
            "model": list(nodes.model()),
            "faults": {n: [vars(f) for f in found] for n, found in self.scenario.faults(began).items()},
        }
        out = []
        for index in range(nodes.processes):
            path = self.out / f"orders-{index}.json"
            own = {
                "records": str(self.out / f"nodes-{index}.jsonl"),
                "only": list(range(index, nodes.count, nodes.processes)),
            }
            path.write_text(json.dumps(orders | own))
            command = [sys.executable, "-m", "gingervane.fake_servers.fleet", str(path)]
            out.append(_Process(command, self.out / f"nodes-{index}.log", keep_stdin=True))
        return out

    def _start_consul(self, agents: int, director: Recorder) -> _Process:
        """The stand-in, with one agent more than co-ordinators know: the director's own, which stays well."""
        path = self.out / "orders-consul.json"
        path.write_text(json.dumps({"agents": agents + 1, "records": str(self.out / "consul.jsonl")}))
        command = [sys.executable, "-m", "gingervane.fake_servers.consul", str(path)]
        process = _Process(command, self.out / "consul.log", keep_stdin=True)
        ports = json.loads(process.line("ready"))
        director.put("agents", ports=ports)
        self._agents = [("127.0.0.1", port) for port in ports[:-1]]
        self._listing = ConsulListing(("127.0.0.1", ports[-1]), _SERVICE)
        return process

    def _start_vectors(self, nodes: VectorNodes, began: float, director: Recorder) -> _Process:
        process = _Process(nodes.command(began), self.out / "vectors.log", keep_stdin=True)
        nodes.ports = json.loads(process.line("ready"))
        director.put("vector_ports", ports=nodes.ports)
        nodes.write_list()
        nodes.load()
        return process

    def _play_vectors(self, clients: Recorder, began: float) -> threading.Thread | None:
        if self._vectors is None:
            return None
        load = VectorLoad(self.scenario, clients, self._targets)
        thread = threading.Thread(target=load.play, args=(began,), daemon=True)
        thread.start()
        return thread

    def _membership(self, number: int) -> dict[str, Any]:
        if self.scenario.consul is None:
            return {"file": str(self.out / "servers.toml"), "interval": self.scenario.listing.interval}
        consul: dict[str, Any] = {
            "agents": [f"{host}:{port}" for host, port in self._agents],
            "service": _SERVICE,
            "wait": self.scenario.consul.wait,
        }
        if self.scenario.coordinators.tree:
            consul["coordinators"] = "gingervane"
        return {"kept": str(self.out / f"kept-{number}"), "consul": consul}

    def _launch(self, number: int, director: Recorder) -> None:
        own = self.scenario.coordinators
        table = self.scenario.coordinator_table(
            number, self._membership(number), {"format": "json", "level": "info"}
        )
        if self._vectors:
            table["class"] = [*table["class"], *self._vectors.classes()]
            table["vectors"] = self._vectors.table(number)
        if own.tree:
            table["tree"] = {"ring": own.count, "place": number, **own.tree, "name": f"c{number}"}
        path = self.out / f"coordinator-{number}.toml"
        path.write_text(toml(table))
        self._launches += 1
        tap = self.out / f"tap-{number}-{self._launches}.jsonl"
        command = [*self._command, "--config", str(path), "--tap", str(tap)]
        process = _Process(command, self.out / f"coordinator-{number}.log")
        host, _, port = process.line("listening on ").rpartition(":")
        with self._lock:
            self._coordinators[number] = process
            self._addresses[number] = host, int(port)
            self._states.pop(number, None)
            self._listed[number] = (host, int(port)), time.time()
        director.put("launched", coordinator=number, tap=tap.name, port=int(port))
        self._relist(director)

    def _usage(self) -> dict[int, dict[str, float]]:
        """CPU seconds and resident MiB of each co-ordinator that runs."""
        out = {}
        with self._lock:
            pids = {number: process.child.pid for number, process in self._coordinators.items()}
        for number, pid in pids.items():
            try:
                fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            except FileNotFoundError:  # killed by the day's script, and not started again yet
                continue
            ticks = os.sysconf("SC_CLK_TCK")
            out[number] = {
                "cpu_s": (int(fields[11]) + int(fields[12])) / ticks,
                "rss_mib": int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20),
            }
        return out

    def _targets(self) -> list[tuple[int, tuple[str, int]]]:
        """What clients take for the co-ordinators that run."""
        now, roots = time.monotonic(), self.scenario.coordinators.roots
        with self._lock:
            return [
                (number, address)
                for number, address in self._addresses.items()
                if (not roots or number < roots)
                and (number in self._coordinators or now < self._hidden.get(number, 0.0))
            ]

    def _list(
        self,
        ports: list[int],
        at: float,
        states: dict[int, str],
        started: dict[int, float],
        director: Recorder,
        began: float,
    ) -> None:
        """Say of the nodes what the scenario has at a moment of the day."""
        self._nodes, self._began = (ports, at, states, started), began
        self._relist(director)

    def _relist(self, director: Recorder) -> None:
        """Say what is listed now. One thread's at a time: the day's start, and then its script."""
        zones, offset = self.scenario.nodes.zones, time.time() - time.monotonic()
        with self._lock:
            ports, at, states, started = self._nodes
            nodes = [
                Row(
                    n,
                    f"n{n}",
                    ("127.0.0.1", port),
                    zones[n % len(zones)],
                    n,
                    states.get(n, "ready"),
                    self._began + started[n] + offset if n in started else None,
                )
                for n, port in enumerate(ports)
            ]
            peers = [
                Row(n, f"c{n}", address, zones[n % len(zones)], n, self._states.get(n, "ready"), since)
                for n, (address, since) in sorted(self._listed.items())
            ]
        # It counts from when it begins to be said: a list that takes a moment to write may be read in mid-writing.
        director.put("list", day=at, states=states)
        self._listing.write(nodes, peers if self.scenario.coordinators.tree else [])

    def _mark(self, number: int, state: str, director: Recorder) -> None:
        """List a co-ordinator as `state`."""
        with self._lock:
            self._states[number] = state
        self._relist(director)

    def _script(self, began: float, ports: list[int], director: Recorder) -> None:
        """Carry out in order of time what the scenario has for the list and the co-ordinators."""
        moments: list[tuple[float, int, Callable[[], None]]] = []

        def add(at: float, work: Callable[[], None]) -> None:
            moments.append((at, len(moments), work))

        for at, states, started in self.scenario.listings():
            if at > 0:
                add(at, lambda a=at, s=states, b=started: self._list(ports, a, s, b, director, began))  # type: ignore[misc]
        for trouble in self.scenario.troubles:
            for agent in trouble.agents:
                add(trouble.at, lambda a=agent, f=trouble.fault: self._fault(a, f, director))  # type: ignore[misc]
                add(trouble.at + trouble.seconds, lambda a=agent: self._fault(a, "", director))  # type: ignore[misc]
            for number in trouble.coordinators:
                if trouble.kind == "coordinator_kill":
                    add(trouble.at, lambda n=number: self._kill(n, director))  # type: ignore[misc]
                    notice = trouble.at + self.scenario.listing.notice
                    add(notice, lambda n=number: self._mark(n, "gone", director))  # type: ignore[misc]
                    back = trouble.at + trouble.seconds
                    add(back, lambda n=number: self._launch(n, director))  # type: ignore[misc]
                elif trouble.kind == "coordinator_drain":
                    add(trouble.at, lambda n=number: self._mark(n, "draining", director))  # type: ignore[misc]
                    back = trouble.at + trouble.seconds
                    add(back, lambda n=number: self._mark(n, "ready", director))  # type: ignore[misc]
                elif trouble.kind == "coordinator_stall":
                    for at, size in trouble.stalls():
                        add(at, lambda n=number: self._signal(n, signal.SIGSTOP, director))  # type: ignore[misc]
                        add(at + size, lambda n=number: self._signal(n, signal.SIGCONT, director))  # type: ignore[misc]
        for at, _, work in sorted(moments, key=lambda m: m[:2]):
            if at >= self.scenario.seconds:
                break
            if (wait := began + at - time.monotonic()) > 0:
                time.sleep(wait)
            work()
        for number in list(self._coordinators):
            self._signal(number, signal.SIGCONT, None)

    def _fault(self, agent: int, fault: str, director: Recorder) -> None:
        assert isinstance(self._listing, ConsulListing)
        director.put("agent", agent=agent, fault=fault)
        self._listing.fault(self._agents[agent], fault)

    def _kill(self, number: int, director: Recorder) -> None:
        with self._lock:
            process = self._coordinators.pop(number, None)
            self._hidden[number] = time.monotonic() + self.scenario.coordinators.notice
        if process:
            director.put("killed", coordinator=number)
            process.end(hard=True)

    def _signal(self, number: int, what: signal.Signals, director: Recorder | None) -> None:
        with self._lock:
            process = self._coordinators.get(number)
        if process and process.child.poll() is None:
            os.kill(process.child.pid, what)
            if director:
                director.put("signal", coordinator=number, signal=what.name)
