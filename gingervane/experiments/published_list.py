"""The server list of a scenario run: the nodes in the scenario's states, and the co-ordinators."""

from __future__ import annotations

import threading
import time

from gingervane.experiments.listing import Listing, Row
from gingervane.fake_servers.recorder import Recorder
from gingervane.scenarios.scenario import Scenario

Address = tuple[str, int]


class PublishedList:
    """Publishes the whole list at each change. One thread at a time changes it: start, then script."""

    def __init__(self, scenario: Scenario, listing: Listing, director: Recorder) -> None:
        self._scenario = scenario
        self._listing = listing
        self._director = director
        self._lock = threading.Lock()
        self._ports: list[int] = []  # of the nodes
        self._run_started_at = 0.0  # start of the run on the monotonic clock
        self._states_set_at = (
            0.0  # when the nodes' states were last set, in seconds from the start of the run
        )
        self._node_states: dict[int, str] = {}  # states other than ready
        self._node_starts: dict[int, float] = {}  # restarts, in seconds from the start of the run
        self._coordinators: dict[int, tuple[Address, float]] = {}  # address, and Unix time of start
        self._coordinator_states: dict[int, str] = {}  # states other than ready

    def set_up(self, ports: list[int], began: float) -> None:
        """List the nodes on these ports, all ready; the run starts at `began` on the monotonic clock."""
        self._ports = ports
        self._run_started_at = began
        self.set_nodes(0, {}, {})

    def set_nodes(self, at: float, states: dict[int, str], starts: dict[int, float]) -> None:
        """Set the nodes' states and restarts as of `at` seconds from the start of the run."""
        with self._lock:
            self._states_set_at = at
            self._node_states = states
            self._node_starts = starts
        self._write()

    def add_coordinator(self, number: int, address: Address) -> None:
        """List a co-ordinator that has just started as ready."""
        with self._lock:
            self._coordinator_states.pop(number, None)
            self._coordinators[number] = address, time.time()
        self._write()

    def set_coordinator(self, number: int, state: str) -> None:
        """Set the listed state of a co-ordinator."""
        with self._lock:
            self._coordinator_states[number] = state
        self._write()

    def _write(self) -> None:
        with self._lock:
            nodes, coordinators = self._node_rows(), self._coordinator_rows()
            at, states = self._states_set_at, self._node_states
        # Recorded before the list is written, as a co-ordinator may read it while it is being written.
        self._director.put("list", day=at, states=states)
        self._listing.write(nodes, coordinators if self._scenario.coordinators.tree else [])

    def _node_rows(self) -> list[Row]:
        zones = self._scenario.nodes.zones
        offset = time.time() - time.monotonic()
        return [
            Row(
                n,
                f"n{n}",
                ("127.0.0.1", port),
                zones[n % len(zones)],
                n,
                self._node_states.get(n, "ready"),
                self._run_started_at + self._node_starts[n] + offset if n in self._node_starts else None,
            )
            for n, port in enumerate(self._ports)
        ]

    def _coordinator_rows(self) -> list[Row]:
        zones = self._scenario.nodes.zones
        return [
            Row(
                n, f"c{n}", address, zones[n % len(zones)], n, self._coordinator_states.get(n, "ready"), since
            )
            for n, (address, since) in sorted(self._coordinators.items())
        ]
