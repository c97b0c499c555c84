"""Runs a scenario on sockets: fake servers and co-ordinators in separate processes, faults at stated times.

The director (this process) starts them, publishes the server list as the scenario states it, kills and stops
co-ordinators, runs the clients and collects the records of all socket ends. The audit uses only these
records.
"""

from __future__ import annotations

import json
import shutil
import signal
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from gingervane.audit import effects, rules
from gingervane.experiments.child_process import ChildProcess, ScenarioRunError
from gingervane.experiments.clients import ClientLoad
from gingervane.experiments.coordinator_processes import CoordinatorProcesses
from gingervane.experiments.listing import ConsulListing, FileListing, Listing
from gingervane.experiments.published_list import PublishedList
from gingervane.experiments.vector_day import VectorLoad, VectorNodes, wait_for_repairs
from gingervane.fake_servers.recorder import Recorder
from gingervane.scenarios.coordinator_settings import tree_table
from gingervane.scenarios.demands import demands
from gingervane.scenarios.scenario import Scenario, ScheduledFault

__all__ = ["ScenarioRun", "ScenarioRunError"]

_SERVICE = "grid"  # name of the nodes' service in Consul
# Time before the run in which all processes must start and warm up; allows for a slow machine.
_START_SECONDS = 6.0
_START_SECONDS_PER_COORDINATOR = 0.6  # added for each co-ordinator
_START_SECONDS_PER_NODE = 0.02  # added for each node
_VECTORS_TIMEOUT = 120.0  # seconds to wait for the vector clients once the others have ended
_SCRIPT_TIMEOUT = 30.0  # seconds to wait for the script once the clients have ended

ScheduledAction = tuple[float, Callable[[], None]]


class ScenarioRun:
    """One run of a scenario. `command` starts a co-ordinator; tests pass one that breaks an audit rule."""

    def __init__(self, scenario: Scenario, out: Path, command: list[str] | None = None) -> None:
        self.scenario = scenario
        self.out = out
        self._command = command or [sys.executable, "-m", "gingervane.cli.main", "serve"]
        self._fake_servers: list[ChildProcess] = []
        self._agents: list[tuple[str, int]] = []  # agents of the fake Consul that co-ordinators use
        self._listing: Listing = FileListing(out / "servers.toml")
        self._vectors = VectorNodes(scenario, out) if scenario.vectors else None

    def run(self) -> dict[str, Any]:
        """Run the scenario and audit it; return the report, which is also written to `report.json`."""
        scenario, out = self.scenario, self.out
        if out.exists():
            shutil.rmtree(out)
        out.mkdir(parents=True)
        (out / "facts.json").write_text(json.dumps(scenario.facts()))
        director = Recorder(out / "director.jsonl")
        coordinator_settings = scenario.coordinators
        coordinators = CoordinatorProcesses(
            out, self._command, coordinator_settings.roots, coordinator_settings.notice, director
        )
        try:
            self._run_processes(coordinators, director)
        finally:
            director.put("ended", statuses=coordinators.end_all())
            for server in self._fake_servers:
                server.close_stdin()
            for server in self._fake_servers:
                server.wait_or_terminate()
            director.close()
        report = rules.judge(out)
        if self._vectors:
            report["vectors"] = effects.judge(out)
            report["kept"] = report["kept"] and report["vectors"]["kept"]
        (out / "report.json").write_text(json.dumps(report, indent=2) + "\n")
        return report

    def _run_processes(self, coordinators: CoordinatorProcesses, director: Recorder) -> None:
        """Start all processes, then run the clients and the script at the same time."""
        scenario = self.scenario
        count = scenario.coordinators.count
        began = (
            time.monotonic()
            + _START_SECONDS
            + _START_SECONDS_PER_COORDINATOR * count
            + _START_SECONDS_PER_NODE * scenario.nodes.count
        )
        ports = self._start_fake_servers(began, director)
        published = PublishedList(scenario, self._listing, director)
        published.set_up(ports, began)
        for number in range(count):
            self._launch(number, coordinators, published)
        if time.monotonic() > began:
            raise ScenarioRunError("the machine took too long to start all; the day would be late")
        actions = self._scheduled_actions(coordinators, published, director)
        script = threading.Thread(target=self._run_script, args=(began, actions, coordinators), daemon=True)
        script.start()
        self._run_clients(began, coordinators, director)
        script.join(_SCRIPT_TIMEOUT)
        if self._vectors:
            done = wait_for_repairs(coordinators.targets, self._vectors.settings.settle)
            director.put("vector_marks", settled=done, marks=self._vectors.marks())
        director.put("usage", usage=coordinators.usage())

    def _run_clients(self, began: float, coordinators: CoordinatorProcesses, director: Recorder) -> None:
        scenario = self.scenario
        clients = Recorder(self.out / "clients.jsonl")
        client_load = ClientLoad(scenario, clients, self.out / "bodies.bin", coordinators.targets)
        tiles = [f"t{i:03d}" for i in range(scenario.nodes.tiles)]
        director.put("began", at=began)
        vector_clients: threading.Thread | None = None
        if self._vectors:
            vector_load = VectorLoad(scenario, clients, coordinators.targets)
            vector_clients = threading.Thread(target=vector_load.run, args=(began,), daemon=True)
            vector_clients.start()
        client_load.run(demands(scenario, tiles), began)
        if vector_clients:
            vector_clients.join(_VECTORS_TIMEOUT)
        clients.close()

    # ---- fake servers

    def _start_fake_servers(self, began: float, director: Recorder) -> list[int]:
        """Start the nodes, and Consul and vector nodes if the scenario has them; return the nodes' ports."""
        nodes = self.scenario.nodes
        fleets = self._start_nodes(began)
        if self.scenario.consul:
            self._start_consul(self.scenario.consul.agents, director)
        if self._vectors:
            self._start_vectors(self._vectors, began, director)
        ports = [0] * nodes.count
        for index, fleet in enumerate(fleets):
            ports[index :: nodes.processes] = json.loads(fleet.wait_for_line("ready"))
        director.put("ports", ports=ports)
        return ports

    def _start_process(self, module: str, orders: Path, log: str) -> ChildProcess:
        command = [sys.executable, "-m", f"gingervane.fake_servers.{module}", str(orders)]
        process = ChildProcess(command, self.out / log, keep_stdin=True)
        self._fake_servers.append(process)
        return process

    def _start_nodes(self, began: float) -> list[ChildProcess]:
        nodes = self.scenario.nodes
        orders = {
            "nodes": nodes.count,
            "tiles": nodes.tiles,
            "zones": nodes.zones,
            "width": nodes.width,
            "model": list(nodes.model()),
            "faults": {n: [vars(f) for f in found] for n, found in self.scenario.faults(began).items()},
        }
        fleets = []
        for index in range(nodes.processes):
            path = self.out / f"orders-{index}.json"
            own = {
                "records": str(self.out / f"nodes-{index}.jsonl"),
                "only": list(range(index, nodes.count, nodes.processes)),
            }
            path.write_text(json.dumps(orders | own))
            fleets.append(self._start_process("fleet", path, f"nodes-{index}.log"))
        return fleets

    def _start_consul(self, agents: int, director: Recorder) -> None:
        """Start the fake Consul, with an additional agent without faults that only the director uses."""
        path = self.out / "orders-consul.json"
        path.write_text(json.dumps({"agents": agents + 1, "records": str(self.out / "consul.jsonl")}))
        process = self._start_process("consul", path, "consul.log")
        ports = json.loads(process.wait_for_line("ready"))
        director.put("agents", ports=ports)
        self._agents = [("127.0.0.1", port) for port in ports[:-1]]
        self._listing = ConsulListing(("127.0.0.1", ports[-1]), _SERVICE)

    def _start_vectors(self, nodes: VectorNodes, began: float, director: Recorder) -> None:
        process = self._start_process("vectors", nodes.write_orders(began), "vectors.log")
        nodes.ports = json.loads(process.wait_for_line("ready"))
        director.put("vector_ports", ports=nodes.ports)
        nodes.write_list()
        nodes.load()

    # ---- co-ordinators

    def _launch(self, number: int, coordinators: CoordinatorProcesses, published: PublishedList) -> None:
        address = coordinators.launch(number, self._settings(number))
        published.add_coordinator(number, address)

    def _settings(self, number: int) -> dict[str, Any]:
        """Build the settings of a co-ordinator."""
        own = self.scenario.coordinators
        log = {"format": "json", "level": "info"}
        table = self.scenario.coordinator_table(number, self._membership(number), log)
        if self._vectors:
            table["class"] = [*table["class"], *self._vectors.classes()]
            table["vectors"] = self._vectors.table(number)
        if own.tree:
            table["tree"] = tree_table(own.tree, own.count, number)
        return table

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

    # ---- the script

    def _scheduled_actions(
        self, coordinators: CoordinatorProcesses, published: PublishedList, director: Recorder
    ) -> list[ScheduledAction]:
        """Return the changes of the list, the agents and the co-ordinators, in order of time."""
        actions: list[ScheduledAction] = [
            (at, partial(published.set_nodes, at, states, started))
            for at, states, started in self.scenario.listings()
            if at > 0
        ]
        for trouble in self.scenario.troubles:
            end = trouble.at + trouble.seconds
            for agent in trouble.agents:
                actions.append((trouble.at, partial(self._set_agent_fault, agent, trouble.fault, director)))
                actions.append((end, partial(self._set_agent_fault, agent, "", director)))
            for number in trouble.coordinators:
                actions += self._coordinator_actions(trouble, number, coordinators, published)
        return sorted(actions, key=lambda scheduled: scheduled[0])

    def _coordinator_actions(
        self, fault: ScheduledFault, number: int, coordinators: CoordinatorProcesses, published: PublishedList
    ) -> list[ScheduledAction]:
        """Return the actions of a fault on one co-ordinator."""
        end = fault.at + fault.seconds
        if fault.kind == "coordinator_kill":
            notice = fault.at + self.scenario.listing.notice
            return [
                (fault.at, partial(coordinators.kill, number)),
                (notice, partial(published.set_coordinator, number, "gone")),
                (end, partial(self._launch, number, coordinators, published)),
            ]
        if fault.kind == "coordinator_drain":
            return [
                (fault.at, partial(published.set_coordinator, number, "draining")),
                (end, partial(published.set_coordinator, number, "ready")),
            ]
        actions: list[ScheduledAction] = []
        if fault.kind == "coordinator_stall":
            for at, seconds in fault.stalls():
                actions.append((at, partial(coordinators.send_signal, number, signal.SIGSTOP)))
                actions.append((at + seconds, partial(coordinators.send_signal, number, signal.SIGCONT)))
        return actions

    def _run_script(
        self, began: float, actions: list[ScheduledAction], coordinators: CoordinatorProcesses
    ) -> None:
        for at, action in actions:
            if at >= self.scenario.seconds:
                break
            if (wait := began + at - time.monotonic()) > 0:
                time.sleep(wait)
            action()
        coordinators.resume_all()

    def _set_agent_fault(self, agent: int, fault: str, director: Recorder) -> None:
        assert isinstance(self._listing, ConsulListing)
        director.put("agent", agent=agent, fault=fault)
        self._listing.fault(self._agents[agent], fault)
