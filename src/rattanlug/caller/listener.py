"""Accepts connections of callers and tells since when each may have waited."""

import errno
import socket
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanlug.metrics import counters
from rattanlug.settings import address

# Connections that the kernel keeps until they are accepted.
BACKLOG = 1024
# Pause when the process has no descriptor or memory for another connection, seconds.
PAUSE_SECONDS = 0.1
_NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
# The caller left, or its network failed, before its connection was accepted.
_CALLER_GONE = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
    }
)


class Accepted(NamedTuple):
    """A connection that was accepted.

    Attributes
    ----------
    stream : trio.SocketStream
    raw : socket.socket
        The stream's socket, for calls that must not wait.
    earliest_opened_at : float
        Earliest time at which the connection can have been opened, seconds.
    """

    stream: trio.SocketStream
    raw: socket.socket
    earliest_opened_at: float


class Listener:
    """Listening socket of callers.

    Parameters
    ----------
    local : address.Address
        Where to listen; port 0 picks a free one.
    earliest_ready_at : callable
        Earliest time at which what is ready now can have become ready, seconds.
    all_counters : counters.Counters
    """

    def __init__(
        self,
        local: address.Address,
        earliest_ready_at: Callable[[], float],
        all_counters: counters.Counters,
    ) -> None:
        family = socket.AF_INET6 if ":" in local.host else socket.AF_INET
        self._socket = socket.create_server(
            (local.host, local.port), family=family, backlog=BACKLOG
        )
        self._socket.setblocking(False)
        self._earliest_ready_at = earliest_ready_at
        self._counters = all_counters
        # Since when a connection may wait; the queue was empty before.
        self._earliest_opened_at = earliest_ready_at()
        self._taken = 0

    @property
    def socket(self) -> socket.socket:
        """Listening socket."""
        return self._socket

    async def accept(self) -> Accepted:
        """Return the next connection; wait only when none is there.

        A busy process must not leave connections in the queue: their requests grow
        old there, and nobody can refuse them.
        """
        self._taken += 1
        if self._taken % BACKLOG == 0:
            await trio.lowlevel.checkpoint()
        while True:
            try:
                raw, _ = self._socket.accept()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._socket)
                self._earliest_opened_at = self._earliest_ready_at()
                continue
            except OSError as exc:
                await self._pause(exc)
                continue
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
            return Accepted(stream, raw, self._earliest_opened_at)

    def close(self) -> None:
        """Stop listening."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    async def _pause(self, exc: OSError) -> None:
        if exc.errno in _CALLER_GONE:
            self._counters.add("connections_broken")
        elif exc.errno in _NO_ROOM:
            self._counters.add("connections_refused")
            await trio.sleep(PAUSE_SECONDS)
        else:
            raise exc
