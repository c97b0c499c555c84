"""What a rehearsal's director has listed: the nodes as the scenario has them, and the co-ordinators that run."""

from __future__ import annotations

import threading
import time

from gingervane.experiments.listing import Listing, Row
from gingervane.fake_servers.recorder import Recorder
from gingervane.scenarios.scenario import Scenario

Address = tuple[str, int]


class PublishedList:
    """Writes the whole list at each change. Changed by one thread at a time: the day's start, and then its script."""

    def __init__(self, scenario: Scenario, listing: Listing, director: Recorder) -> None:
        self._scenario = scenario
        self._listing = listing
        self._director = director
        self._lock = threading.Lock()
        self._ports: list[int] = []  # of the nodes
        self._began = 0.0
        self._at = 0.0  # seconds into the day of the nodes' states
        self._node_states: dict[int, str] = {}  # of nodes that are not ready
        self._node_starts: dict[int, float] = {}  # seconds into the day
        self._coordinators: dict[int, tuple[Address, float]] = {}  # address, and Unix time of start
        self._coordinator_states: dict[int, str] = {}  # of co-ordinators that are listed and not ready

    def set_up(self, ports: list[int], began: float) -> None:
        """List the nodes on these ports, all ready, for a day that begins at `began`."""
        self._ports = ports
        self._began = began
        self.set_nodes(0, {}, {})

    def set_nodes(self, at: float, states: dict[int, str], starts: dict[int, float]) -> None:
        """List the nodes as the scenario has them at a moment of the day."""
        with self._lock:
            self._at = at
            self._node_states = states
            self._node_starts = starts
        self._write()

    def add_coordinator(self, number: int, address: Address) -> None:
        """List a co-ordinator that has just started, as ready."""
        with self._lock:
            self._coordinator_states.pop(number, None)
            self._coordinators[number] = address, time.time()
        self._write()

    def set_coordinator(self, number: int, state: str) -> None:
        """List a co-ordinator as in a state."""
        with self._lock:
            self._coordinator_states[number] = state
        self._write()

    def _write(self) -> None:
        with self._lock:
            nodes, coordinators = self._node_rows(), self._coordinator_rows()
            at, states = self._at, self._node_states
        # It counts from when its writing begins: a list that takes a moment to write may be read in mid-writing.
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
                self._began + self._node_starts[n] + offset if n in self._node_starts else None,
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
