"""Accepts connections and tells how long each may have been in the accept queue."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanlug.daemon import socket_close
from rattanlug.logs import state_log
from rattanlug.metrics import counters
from rattanlug.settings import address

# Length of the kernel's accept queue.
BACKLOG = 1024
# Delay before the next accept after an error that may last, such as exhausted
# descriptors or memory.
PAUSE_SECONDS = 0.1
# The caller disconnected, or its network failed, before the connection was accepted.
_PEER_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.ETIMEDOUT,
    }
)


class AcceptedConnection(NamedTuple):
    """An accepted connection.

    Attributes
    ----------
    stream : trio.SocketStream
    raw : socket.socket
        The stream's socket, for non-blocking calls.
    earliest_opened_at : float
        Earliest time at which the connection can have been opened, seconds on
        ``clock.now``.
    """

    stream: trio.SocketStream
    raw: socket.socket
    earliest_opened_at: float


class Listener:
    """Listening socket for callers.

    Parameters
    ----------
    local : address.Address
        Where to listen; port 0 picks a free one.
    earliest_ready_at : callable
        Returns the earliest time at which a socket that is readable now can have
        become readable, seconds on ``clock.now``.
    all_counters : counters.Counters
    """

    def __init__(
        self,
        local: address.Address,
        earliest_ready_at: Callable[[], float],
        all_counters: counters.Counters,
    ) -> None:
        self._socket = _listen(local)
        self._target = f"{local.host}:{local.port}"
        self._earliest_ready_at = earliest_ready_at
        self._counters = all_counters
        # The accept queue was empty before this time.
        self._earliest_opened_at = earliest_ready_at()
        self._accepted_count = 0
        # Name of the error of the last accept, None if it succeeded.
        self._error: str | None = None

    @property
    def socket(self) -> socket.socket:
        """Listening socket."""
        return self._socket

    async def accept(self) -> AcceptedConnection:
        """Return the next connection; wait only if the accept queue is empty.

        Connections must not stay in the queue while the process is busy: the
        time limits of their requests run there, and they cannot be rejected.
        """
        self._accepted_count += 1
        if self._accepted_count % BACKLOG == 0:
            await trio.lowlevel.checkpoint()
        while True:
            try:
                raw = await self._accept_or_wait()
            except OSError as exc:
                await self._handle_error(exc)
                continue
            if raw is None:
                continue
            self._record_outcome(None)
            return self._to_connection(raw)

    def accept_queued(self) -> list[AcceptedConnection]:
        """Return the connections in the accept queue, which a close would reset."""
        queued: list[AcceptedConnection] = []
        # Not until the queue is empty, since an error may last. The kernel queues one
        # connection more than the length.
        for _ in range(BACKLOG + 1):
            try:
                raw, _ = self._socket.accept()
            except BlockingIOError:
                break
            except OSError as exc:
                if exc.errno in _PEER_ERRORS:
                    self._counters.add("connections_broken")
                    continue
                self._count_error(exc)
                break
            queued.append(self._to_connection(raw))
        return queued

    def close(self) -> None:
        """Stop listening."""
        trio.lowlevel.notify_closing(self._socket)
        socket_close.close(self._socket)

    def _to_connection(self, raw: socket.socket) -> AcceptedConnection:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        return AcceptedConnection(stream, raw, self._earliest_opened_at)

    async def _accept_or_wait(self) -> socket.socket | None:
        """Return the next connection, or None after waiting for one.

        Raises
        ------
        OSError
        """
        try:
            raw, _ = self._socket.accept()
        except BlockingIOError:
            await trio.lowlevel.wait_readable(self._socket)
            self._earliest_opened_at = self._earliest_ready_at()
            return None
        return raw

    async def _handle_error(self, exc: OSError) -> None:
        if exc.errno in _PEER_ERRORS:
            self._counters.add("connections_broken")
            # Without this checkpoint, an error that lasts blocks the event loop.
            await trio.lowlevel.checkpoint()
            return
        # The process must not end because of one listener, whatever the error: the
        # next connection may be accepted again.
        self._count_error(exc)
        await trio.sleep(PAUSE_SECONDS)

    def _count_error(self, exc: OSError) -> None:
        name = errno.errorcode.get(exc.errno, str(exc.errno))
        self._counters.add("connections_refused")
        self._counters.add("accept_errors", error=name)
        self._record_outcome(name)

    def _record_outcome(self, error: str | None) -> None:
        """Record the outcome of an accept, and log a change."""
        if error != self._error:
            state_log.log_change("accept", self._error, error, address=self._target)
            self._error = error


def _listen(local: address.Address) -> socket.socket:
    """Return a listening socket.

    Raises
    ------
    OSError
    """
    is_ipv6 = ":" in local.host
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_ipv6:
            listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listening.bind((local.host, local.port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except BaseException:
        # An error of the close must not hide that the address is taken.
        socket_close.close(listening)
        raise
    return listening
