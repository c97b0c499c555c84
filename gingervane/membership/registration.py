"""A co-ordinator's own entry in Consul: registered with a TTL check, kept passing, drained and taken out at the end.

`Registration` decides on the next call and its time, free of I/O; `Registrar` is the thread that sends it. An agent
that has forgotten the entry (its restart, another agent after failover) answers 404 to a check's update: the entry is
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

from gingervane.membership.consul_http import Address, request_head
from gingervane.membership.consul_polling import Backoff, jittered
from gingervane.wire.http1 import ConnectionClosedError, HttpError, Limits
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
        """Return it as /v1/agent/service/register takes it. Critical for long takes the entry out."""
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
    """Decides on the next call. Agents take turns when one fails."""

    def __init__(self, ttl: float, agents: int, backoff: Backoff, rng: random.Random) -> None:
        """`ttl`: of the check, in seconds; `agents`: their number."""
        self._ttl = ttl
        self._agent_count = agents
        self._backoff = backoff
        self._rng = rng
        self.agent = 0
        self._next: RegistrationCall | None = RegistrationCall.REGISTER
        self._failures = 0
        self.registered = False

    @property
    def next(self) -> RegistrationCall | None:
        """The next call; None once the entry has been taken out."""
        return self._next

    def record_status(self, status: int | None) -> float:
        """Note the status of the call, None if there was no answer; return the seconds until the next."""
        if status == 200:
            return self._record_success()
        if status == 404 and self._next is RegistrationCall.PASS_CHECK:
            # The agent has forgotten the entry: at once, as peers see it critical or not at all.
            self._start_anew()
            return jittered(self._backoff.min_interval, self._rng)
        if status == 404 and self._next in (RegistrationCall.DRAIN, RegistrationCall.DEREGISTER):
            self._next = None
            return 0.0
        return self._record_failure()

    def drain(self) -> None:
        """Mark the entry as draining next, as the co-ordinator is about to stop; then it is taken out."""
        self._next = RegistrationCall.DRAIN if self.registered else None
        self._failures = 0

    def deregister(self) -> None:
        """Take the entry out next, as all that the co-ordinator had in flight has ended."""
        self._next = RegistrationCall.DEREGISTER if self._next is not None or self.registered else None

    def _record_success(self) -> float:
        self._failures = 0
        match self._next:
            case RegistrationCall.REGISTER | RegistrationCall.PASS_CHECK:
                self.registered = True
                self._next = RegistrationCall.PASS_CHECK
                return jittered(self._ttl / 3, self._rng) / 1.5  # a third at most: two may be lost
            case RegistrationCall.DRAIN:
                self._next = RegistrationCall.DEREGISTER
            case _:
                self.registered = False
                self._next = None
        return 0.0

    def _record_failure(self) -> float:
        self._failures += 1
        self.agent = (self.agent + 1) % self._agent_count
        if self._next is RegistrationCall.PASS_CHECK and self._agent_count > 1:
            self._start_anew()  # another agent knows nothing of the entry
        # Never so long that the check runs out between two attempts at an agent that is back.
        return jittered(min(self._backoff.delay_after(self._failures), self._ttl / 3), self._rng)

    def _start_anew(self) -> None:
        self.registered = False
        self._next = RegistrationCall.REGISTER


class Registrar:
    """Keeps an entry. Owner of the registration: its thread until `leave`, then the caller of `leave`."""

    def __init__(
        self,
        entry: ServiceEntry,
        agents: tuple[Address, ...],
        token_file: Path | None,
        backoff: Backoff,
        log_warning: Callable[[str], None],
        rng: random.Random,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """`is_ready`: whether this co-ordinator can be sent work; the entry is not made before."""
        self._is_ready = is_ready
        self._entry = entry
        self._agents = agents
        self._token_file = token_file
        self._log_warning = log_warning
        self._registration = Registration(entry.ttl, len(agents), backoff, rng)
        self._pool = Pool(_LIMITS, 1, entry.ttl)
        self._stop = threading.Event()
        self._last_fault = ""
        self._thread = threading.Thread(target=self._run, name="registrar", daemon=True)

    @property
    def registered(self) -> bool:
        """Whether the entry stands, as far as is known."""
        return self._registration.registered

    def start(self) -> None:
        """Start to register, once this co-ordinator is ready."""
        self._thread.start()

    def drain(self) -> None:
        """Mark the entry as draining, so that nobody sends new work here. Blocks for one answer at most."""
        self._stop.set()
        self._thread.join(_ANSWER_TIMEOUT + 1.0)
        self._registration.drain()
        if self._registration.next is RegistrationCall.DRAIN:
            self._send_next()

    def deregister(self) -> None:
        """Take the entry out; after a few failed attempts the TTL does it."""
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
        """Send the next call; return the seconds until the one after it."""
        call = self._registration.next
        agent = self._agents[self._registration.agent]
        if call is None:
            return 0.0
        fault = ""
        status: int | None = None
        try:
            deadline = time.monotonic() + _ANSWER_TIMEOUT
            status, _, body = exchange(self._pool, agent, self._request(call, agent), deadline)
            if status != 200:
                fault = f"{agent[0]}:{agent[1]}: {call.value}: status {status}: {body[:100]!r}"
        except (OSError, ConnectionClosedError, HttpError) as error:
            fault = f"{agent[0]}:{agent[1]}: {call.value}: {error or type(error).__name__}"
        if fault and fault != self._last_fault:
            self._log_warning(fault)
        self._last_fault = fault
        return self._registration.record_status(status)

    def _request(self, call: RegistrationCall, agent: Address) -> bytes:
        name = quote(self._entry.name, safe="")
        content: dict[str, Any] | None = None
        match call:
            case RegistrationCall.REGISTER:
                target = "service/register"
                content = self._entry.registration_body()
            case RegistrationCall.PASS_CHECK:
                target = f"check/update/service:{name}"
                content = {"Status": "passing"}
            case RegistrationCall.DRAIN:
                target = f"service/maintenance/{name}?enable=true&reason=stopping"
            case RegistrationCall.DEREGISTER:
                target = f"service/deregister/{name}"
        body = b"" if content is None else json.dumps(content).encode()
        length = ("Content-Length", str(len(body)))
        return request_head(f"PUT /v1/agent/{target} HTTP/1.1", agent, length, self._token_file) + body
