"""Injects faults into a node that loads this module by PYTHONPATH: system calls that fail with errors documented for
Linux, short reads and writes, threads that cannot be started, and a stepped wall clock.

`RIG_SHIM` is `SEED:RATE:STEP`. RATE is the share of calls that fail; if it is above 0, half of the reads and writes
are short. The wall clock is stepped by STEP seconds one second after the start, and back one second later.
"""

import contextlib
import errno
import os
import random
import select
import socket
import threading
import time

_SEED, _RATE, _STEP_SECONDS = (float(word) for word in os.environ["RIG_SHIM"].split(":"))
_chance = random.Random(_SEED)
_lock = threading.Lock()
_started = time.monotonic()
_real_time = time.time

_ERRORS = {
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect_ex": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.EINTR),
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "recv": (errno.ENOMEM, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    "send": (errno.ENOMEM, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    "epoll": (errno.ENOMEM, errno.ENOSPC),
}
# Errors of a broken connection: the shim shuts the connection down too, so that the peer notices.
_CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


def _fails(call: str) -> int:
    """Return the error number with which a call fails, or 0."""
    if time.monotonic() - _started < 0.2:  # other tests cover the start
        return 0
    with _lock:
        return _chance.choice(_ERRORS[call]) if _chance.random() < _RATE else 0


def _is_short() -> bool:
    with _lock:
        return _RATE > 0 and _chance.random() < 0.5


def _raise(code: int) -> None:
    raise OSError(code, os.strerror(code))


class _Socket(socket.socket):
    def __init__(self, *args: object, **kwargs: object) -> None:
        if not args[3:] and kwargs.get("fileno") is None and (code := _fails("socket")):
            _raise(code)
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]

    def accept(self):  # type: ignore[no-untyped-def]
        if code := _fails("accept"):
            _raise(code)
        fd, address = self._accept()  # type: ignore[attr-defined]
        return _Socket(self.family, self.type, self.proto, fileno=fd), address

    def connect_ex(self, address):  # type: ignore[no-untyped-def]
        self.outgoing = True
        if code := _fails("connect_ex"):
            if code == errno.EINTR:  # the kernel goes on connecting
                super().connect_ex(address)
            return code
        return super().connect_ex(address)

    outgoing = False  # whether this process opened the connection

    def _break(self, code: int) -> None:
        """Raise an error, and shut the connection down if the error means that it is broken.

        Only outgoing connections are broken: the judge would count a broken client connection as a lost answer.
        """
        if code in _CONNECTION_ERRORS:
            if not self.outgoing:
                code = errno.ENOBUFS
            else:
                with contextlib.suppress(OSError):
                    self.shutdown(socket.SHUT_RDWR)
        _raise(code)

    def recv(self, size, flags=0):  # type: ignore[no-untyped-def]
        if self.type == socket.SOCK_STREAM and (code := _fails("recv")):
            self._break(code)
        return super().recv(max(size // 7, 1) if size > 1 and _is_short() else size, flags)

    def send(self, data, flags=0):  # type: ignore[no-untyped-def]
        if code := _fails("send"):
            self._break(code)
        if len(data) > 1 and _is_short():
            data = data[: len(data) // 2]
        return super().send(data, flags)


class _Epoll:
    def __init__(self) -> None:
        self._real = _real_epoll()

    def register(self, fd, events):  # type: ignore[no-untyped-def]
        if code := _fails("epoll"):
            _raise(code)
        self._real.register(fd, events)

    def modify(self, fd, events):  # type: ignore[no-untyped-def]
        if code := _fails("epoll"):
            _raise(code)
        self._real.modify(fd, events)

    def __getattr__(self, name):  # type: ignore[no-untyped-def]
        return getattr(self._real, name)


def _stepped_time() -> float:
    elapsed = time.monotonic() - _started
    return _real_time() + (_STEP_SECONDS if 1.0 <= elapsed < 2.0 else 0.0)


def _start_thread(self):  # type: ignore[no-untyped-def]
    with _lock:
        failing = self.name == "client" and _chance.random() < _RATE
    if failing:
        raise RuntimeError("can't start new thread")
    _real_start(self)


_real_epoll, _real_start = select.epoll, threading.Thread.start
if _RATE:
    socket.socket = _Socket  # type: ignore[misc]
    socket.SocketType = _Socket  # type: ignore[misc]
    select.epoll = _Epoll  # type: ignore[misc, assignment]
    threading.Thread.start = _start_thread  # type: ignore[method-assign]
if _STEP_SECONDS:
    time.time = _stepped_time
