"""Calls other daemons."""

import collections
from typing import Any

import trio

from rattanlug.peer import connection, error
from rattanlug.settings import address

_MAX_CALLS_PER_PEER = 64
_MAX_CALLS = 512
#: A daemon of a large fleet meets thousands of peers; beyond this number, the
#: connection that was unused for longest is closed.
_MAX_CONNECTIONS = 256
#: After a failed connect, calls fail at once for this long instead of sending a
#: connect each.
_CONNECT_DELAY_S = 0.2


class PeerClient:
    """Keeps one connection for each peer and shares it between calls.

    ``run`` must run in a nursery before ``call`` is used:
    ``await nursery.start(client.run)``.

    Parameters
    ----------
    sender : str
        Name of this VM.
    local_host : str, optional
        Source address of connections.
    counters : collections.Counter, optional
        Raised under ``peer_frames_bad``, ``peer_responses_late`` and
        ``peer_connects``.
    """

    def __init__(
        self,
        sender: str,
        local_host: str | None = None,
        counters: collections.Counter | None = None,
    ):
        self._sender = sender
        self._local_host = local_host
        self._counters = collections.Counter() if counters is None else counters
        self._connections: dict[address.Address, connection.Connection] = {}
        self._locks: dict[address.Address, trio.Lock] = {}
        self._retry_at: dict[address.Address, float] = {}
        self._calls = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Own the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def call(self, peer: address.Address, message: Any, timeout: float) -> Any:
        """Send a request and wait for its response.

        Parameters
        ----------
        peer : address.Address
        message : object
            A struct of ``rattanlug.thrift``.
        timeout : float
            Seconds, for connect, request and response together.

        Returns
        -------
        object
            Struct of the response.

        Raises
        ------
        error.PeerBusyError
            If too many calls are in flight; nothing was sent.
        error.PeerUnreachableError, error.PeerTimeoutError
            If the peer may or may not have received the request.
        error.PeerRefusedError
            If the peer answered with a failure.
        """
        peer = address.Address(*peer)
        if self._calls >= _MAX_CALLS:
            raise error.PeerBusyError(f"{self._calls} calls in flight")
        self._calls += 1
        try:
            deadline = trio.current_time() + timeout
            with trio.move_on_at(deadline) as scope:
                link = await self._connect(peer)
            if scope.cancelled_caught:
                raise error.PeerTimeoutError(f"no connection within {timeout:g} s")
            if link.calls >= _MAX_CALLS_PER_PEER:
                raise error.PeerBusyError(f"{link.calls} calls to one peer")
            remaining = max(0.0, deadline - trio.current_time())
            return await link.call(message, remaining)
        finally:
            self._calls -= 1

    def vm_at(self, peer: address.Address) -> str:
        """Return the name of the VM that answered at an address, or empty."""
        link = self._connections.get(address.Address(*peer))
        return "" if link is None else link.peer

    async def _connect(self, peer: address.Address) -> connection.Connection:
        link = self._connections.get(peer)
        if link is not None and not link.closed:
            return link
        lock = self._locks.setdefault(peer, trio.Lock())
        try:
            async with lock:
                link = self._connections.get(peer)
                if link is None or link.closed:
                    link = await self._open(peer)
                return link
        finally:
            # Addresses of replaced VMs must not pile up.
            if not lock.locked():
                self._locks.pop(peer, None)

    async def _open(self, peer):
        now = trio.current_time()
        if now < self._retry_at.get(peer, now):
            raise error.PeerUnreachableError("the last connect failed just now")
        self._retry_at = {peer: at for peer, at in self._retry_at.items() if at > now}
        self._counters["peer_connects"] += 1
        try:
            stream = await trio.open_tcp_stream(
                peer.host, peer.port, local_address=self._local_host
            )
        except OSError as exc:
            self._retry_at[peer] = trio.current_time() + _CONNECT_DELAY_S
            raise error.PeerUnreachableError(str(exc)) from exc
        self._close_unused()
        link = connection.Connection(stream, self._sender, self._counters)
        self._connections[peer] = link
        self._nursery.start_soon(self._run_connection, peer, link)
        return link

    async def _run_connection(self, peer, link):
        try:
            await link.run()
        finally:
            if self._connections.get(peer) is link:
                del self._connections[peer]

    def _close_unused(self):
        if len(self._connections) < _MAX_CONNECTIONS:
            return
        idle = [link for link in self._connections.values() if not link.calls]
        if idle:
            min(idle, key=lambda link: link.last_used).close()
