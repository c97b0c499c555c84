"""A co-ordinator's own entry in Consul: registered with a TTL check, kept passing, then drained and deregistered.

`Registration` decides on the next call and its time, free of I/O; `Registrar` is the thread that sends it. An agent
that does not know the entry (after its restart, or another agent after a failover) answers a check update with 404,
and the entry is registered again. A co-ordinator that cannot register still serves its clients.
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

_LIMITS = Limits(16384, 1 << 20)  # bytes of a response's head and body
_ANSWER_TIMEOUT = 5.0  # seconds within which an agent must answer
_READINESS_POLL_INTERVAL = 0.1  # seconds between two checks of whether the co-ordinator is ready to register
_MAX_DEREGISTRATION_CALLS = 4  # calls that `Registrar.deregister` makes at most, failed ones included


class ServiceEntry(NamedTuple):
    """The entry to register. `ttl`: seconds without an update after which its check is critical."""

    name: str
    service: str
    address: tuple[str, int]
    zone: str
    ring_position: int  # on the ring of co-ordinators
    ttl: float = 10.0
    started: float = 0.0  # Unix time

    def registration_body(self) -> dict[str, Any]:
        """Return the body for /v1/agent/service/register. Consul removes the entry if it is critical for long."""
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
    """Kinds of call to the agent."""

    REGISTER = "register"
    PASS_CHECK = "pass"
    DRAIN = "drain"
    DEREGISTER = "remove"


class Registration:
    """Decides on the next call and its agent. After a failed call the next agent is used."""

    def __init__(self, ttl: float, agents: int, backoff: Backoff, rng: random.Random) -> None:
        """`ttl`: seconds, of the check. `agents`: number of agents."""
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
        """The next call; None once the entry is deregistered."""
        return self._next

    def record_status(self, status: int | None) -> float:
        """Record the HTTP status of the call, None without an answer; return the seconds until the next call."""
        if status == 200:
            return self._record_success()
        if status == 404 and self._next is RegistrationCall.PASS_CHECK:
            # The agent does not know the entry. Register again at once: peers see it as critical or not at all.
            self._register_again()
            return jittered(self._backoff.min_interval, self._rng)
        if status == 404 and self._next in (RegistrationCall.DRAIN, RegistrationCall.DEREGISTER):
            self._next = None
            return 0.0
        return self._record_failure()

    def drain(self) -> None:
        """Make draining the entry the next call, and deregistering it the one after; the co-ordinator stops."""
        self._next = RegistrationCall.DRAIN if self.registered else None
        self._failures = 0

    def deregister(self) -> None:
        """Make deregistering the entry the next call; the co-ordinator has no queries in flight any more."""
        self._next = RegistrationCall.DEREGISTER if self._next is not None or self.registered else None

    def _record_success(self) -> float:
        self._failures = 0
        match self._next:
            case RegistrationCall.REGISTER | RegistrationCall.PASS_CHECK:
                self.registered = True
                self._next = RegistrationCall.PASS_CHECK
                return jittered(self._ttl / 3, self._rng) / 1.5  # at most ttl/3: two updates may be lost
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
            self._register_again()  # the next agent does not know the entry
        # At most ttl/2 with the jitter, so that the check does not expire between two attempts at a recovered agent.
        return jittered(min(self._backoff.delay_after(self._failures), self._ttl / 3), self._rng)

    def _register_again(self) -> None:
        self.registered = False
        self._next = RegistrationCall.REGISTER


class Registrar:
    """Keeps an entry registered. Its thread owns the registration until `drain`, then the caller of `drain` does."""

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
        """`is_ready`: whether this co-ordinator can take queries; it is not registered before."""
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
        """Whether the entry is registered, by the last answer."""
        return self._registration.registered

    def start(self) -> None:
        """Start the thread, which registers the entry once the co-ordinator is ready."""
        self._thread.start()

    def drain(self) -> None:
        """Stop the thread and mark the entry as draining, so that peers send no new queries here.

        Blocks for at most two answers: the one that the thread waits for and the one to the drain.
        """
        self._stop.set()
        self._thread.join(_ANSWER_TIMEOUT + 1.0)
        self._registration.drain()
        if self._registration.next is RegistrationCall.DRAIN:
            self._send_next()

    def deregister(self) -> None:
        """Deregister the entry; after `_MAX_DEREGISTRATION_CALLS` calls it is left to expire by its TTL."""
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
        """Send the next call; return the seconds until the following one."""
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
