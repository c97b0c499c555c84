"""A co-ordinator's own entry in Consul: registered with a TTL check, kept passing, drained and taken out at the end.

`Registration` decides what to say next and when, free of I/O; `Registrar` is the thread that says it. An agent that
has forgotten the entry (its restart, another agent after failover) answers 404 to a check's update: the entry is
registered anew. Nothing here holds up service: a co-ordinator that cannot register serves its clients all the same.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

from gingervane.membership.consul import Backoff
from gingervane.wire import http1
from gingervane.wire.http1 import Closed, HttpError, Limits
from gingervane.wire.pool import Pool, exchange

_LIMITS = Limits(16384, 1 << 20)
_ANSWER_TIMEOUT = 5.0  # seconds that an agent has for one answer
_READINESS_POLL_INTERVAL = 0.1  # seconds between two looks at whether there is anything to register yet
_MAX_DEREGISTRATION_CALLS = (
    4  # calls that a stop may spend on drain and removal, agents that do not answer included
)


class ServiceEntry(NamedTuple):
    """What is registered. `ttl`: seconds after which the check is critical without an update."""

    name: str
    service: str
    address: tuple[str, int]
    zone: str
    ring_position: int  # on the ring of co-ordinators
    ttl: float = 10.0
    started: float = 0.0  # Unix time

    def registration_body(self) -> dict[str, Any]:
        """As /v1/agent/service/register takes it. Critical for long takes the entry out."""
        return {
            "ID": self.name,
            "Name": self.service,
            "Address": self.address[0],
            "Port": self.address[1],
            "Meta": {"zone": self.zone, "cell": str(self.ring_position), "started": f"{self.started:.3f}"},
            "Check": {
                "CheckID": f"service:{self.name}",
                "TTL": f"{self.ttl:g}s",
                "Status": "passing",
                "DeregisterCriticalServiceAfter": f"{max(self.ttl * 6, 60):g}s",
            },
        }


class RegistrationCall(Enum):
    """One call to the agent."""

    REGISTER = "register"
    PASS_CHECK = "pass"
    DRAIN = "drain"
    DEREGISTER = "remove"


class Registration:
    """What to say next. Agents take turns when one fails."""

    def __init__(self, ttl: float, agents: int, pause: Backoff, rng: random.Random) -> None:
        self._ttl, self._agent_count, self._backoff, self._rng = ttl, agents, pause, rng
        self.agent = 0
        self._next: RegistrationCall | None = RegistrationCall.REGISTER
        self._failures = 0
        self.registered = False

    @property
    def next(self) -> RegistrationCall | None:
        """The next call; None once the entry has been taken out."""
        return self._next

    def record_status(self, status: int | None) -> float:
        """The call had this status, None if there was no answer; seconds until the next."""
        if status == 200:
            return self._record_success()
        if (
            status == 404 and self._next is RegistrationCall.PASS_CHECK
        ):  # forgotten: at once, as peers see it critical or not at all
            self.registered, self._next = False, RegistrationCall.REGISTER
            return self._jittered(self._backoff.min_interval)
        if status == 404 and self._next in (RegistrationCall.DRAIN, RegistrationCall.DEREGISTER):
            self._next = None
            return 0.0
        self._failures += 1
        self.agent = (self.agent + 1) % self._agent_count
        # Another agent knows nothing of what this one was told.
        if self._next is RegistrationCall.PASS_CHECK and self._agent_count > 1:
            self.registered, self._next = False, RegistrationCall.REGISTER
        span = min(self._backoff.initial_delay * 2 ** min(self._failures - 1, 16), self._backoff.max_delay)
        # Never so long that the check runs out between two tries at an agent that is back.
        return self._jittered(min(span, self._ttl / 3))

    def drain(self) -> None:
        """The co-ordinator is about to stop: first marked as draining, then taken out."""
        self._next = RegistrationCall.DRAIN if self.registered else None
        self._failures = 0

    def deregister(self) -> None:
        """What it held has ended; take the entry out."""
        self._next = RegistrationCall.DEREGISTER if self._next is not None or self.registered else None

    def _record_success(self) -> float:
        self._failures = 0
        match self._next:
            case RegistrationCall.REGISTER | RegistrationCall.PASS_CHECK:
                self.registered, self._next = True, RegistrationCall.PASS_CHECK
                return self._jittered(self._ttl / 3) / 1.5  # a third at most: two may be lost
            case RegistrationCall.DRAIN:
                self._next = RegistrationCall.DEREGISTER
            case _:
                self.registered, self._next = False, None
        return 0.0

    def _jittered(self, span: float) -> float:
        return span * self._rng.uniform(0.5, 1.5)


class Registrar:
    """Keeps an entry. Owner of the registration: its thread until `leave`, then the caller of `leave`."""

    def __init__(
        self,
        entry: ServiceEntry,
        agents: tuple[tuple[str, int], ...],
        token_file: Path | None,
        pause: Backoff,
        complain: Callable[[str], None],
        rng: random.Random,
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """`ready`: whether this co-ordinator can be sent work; the entry is not made before."""
        self._is_ready = ready
        self._entry, self._agents, self._token_file, self._log_warning = entry, agents, token_file, complain
        self._registration = Registration(entry.ttl, len(agents), pause, rng)
        self._pool = Pool(_LIMITS, 1, entry.ttl)
        self._stop = threading.Event()
        self._last_fault = ""
        self._thread = threading.Thread(target=self._run, name="registrar", daemon=True)

    @property
    def registered(self) -> bool:
        return self._registration.registered

    def start(self) -> None:
        self._thread.start()

    def drain(self) -> None:
        """Mark the entry as draining, so that nobody sends new work here. Blocks for one answer at most."""
        self._stop.set()
        self._thread.join(_ANSWER_TIMEOUT + 1.0)
        self._registration.drain()
        if self._registration.next is RegistrationCall.DRAIN:
            self._send_next()

    def deregister(self) -> None:
        """Take the entry out; a few tries, then the TTL does it."""
        self._registration.deregister()
        for _ in range(_MAX_DEREGISTRATION_CALLS):
            if self._registration.next is None:
                break
            self._send_next()
        self._pool.close()

    def _run(self) -> None:
        while not self._is_ready():
            if self._stop.wait(_READINESS_POLL_INTERVAL):
                return
        while self._registration.next is not None:
            if self._stop.wait(self._send_next()):
                return

    def _send_next(self) -> float:
        """Say what is next; seconds until the call after it."""
        say, agent = self._registration.next, self._agents[self._registration.agent]
        if say is None:
            return 0.0
        fault = ""
        status: int | None = None
        try:
            status, _, body = exchange(
                self._pool, agent, self._request(say, agent), time.monotonic() + _ANSWER_TIMEOUT
            )
            if status != 200:
                fault = f"{agent[0]}:{agent[1]}: {say.value}: status {status}: {body[:100]!r}"
        except (OSError, Closed, HttpError) as error:
            fault = f"{agent[0]}:{agent[1]}: {say.value}: {error or type(error).__name__}"
        if fault and fault != self._last_fault:
            self._log_warning(fault)
        self._last_fault = fault
        return self._registration.record_status(status)

    def _request(self, say: RegistrationCall, agent: tuple[str, int]) -> bytes:
        name = quote(self._entry.name, safe="")
        target, content = {
            RegistrationCall.REGISTER: ("service/register", self._entry.registration_body()),
            RegistrationCall.PASS_CHECK: (f"check/update/service:{name}", {"Status": "passing"}),
            RegistrationCall.DRAIN: (f"service/maintenance/{name}?enable=true&reason=stopping", None),
            RegistrationCall.DEREGISTER: (f"service/deregister/{name}", None),
        }[say]
        body = b"" if content is None else json.dumps(content).encode()
        fields = [("Host", f"{agent[0]}:{agent[1]}"), ("Content-Length", str(len(body)))]
        if self._token_file:
            fields.append(("X-Consul-Token", self._token_file.read_text().strip()))
        return http1.head(f"PUT /v1/agent/{target} HTTP/1.1", fields) + body
