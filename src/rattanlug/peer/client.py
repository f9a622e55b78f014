"""Client for calls to other daemons."""

import collections
from typing import Any

import trio

from rattanlug.peer import connection, error
from rattanlug.settings import address

_MAX_CALLS_PER_PEER = 64
_MAX_CALLS = 512
#: A daemon of a large fleet calls thousands of peers; beyond this number, the least
#: recently used idle connection is closed.
_MAX_CONNECTIONS = 256
#: After a failed connect, calls fail at once for this long instead of each trying to
#: connect.
_RECONNECT_DELAY_S = 0.2


class PeerClient:
    """Keeps one connection per peer and shares it between calls.

    ``run`` must run in a nursery before ``call`` is used:
    ``await nursery.start(client.run)``.

    Parameters
    ----------
    sender : str
        Name of this VM.
    local_host : str, optional
        Source address of connections.
    counters : collections.Counter, optional
        Counts ``peer_frames_bad``, ``peer_responses_late`` and ``peer_connects``.
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
        """Run the connections until cancelled."""
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
            raise error.PeerBusyError(f"too many calls in flight: {self._calls}")
        self._calls += 1
        try:
            deadline = trio.current_time() + timeout
            with trio.move_on_at(deadline) as scope:
                conn = await self._connect(peer)
            if scope.cancelled_caught:
                raise error.PeerTimeoutError(f"no connection within {timeout:g} s")
            if conn.calls >= _MAX_CALLS_PER_PEER:
                raise error.PeerBusyError(
                    f"too many calls in flight to this peer: {conn.calls}"
                )
            remaining = max(0.0, deadline - trio.current_time())
            return await conn.call(message, remaining)
        finally:
            self._calls -= 1

    def vm_at(self, peer: address.Address) -> str:
        """Return the name of the VM that answered at an address, or empty."""
        conn = self._connections.get(address.Address(*peer))
        return "" if conn is None else conn.peer

    async def _connect(self, peer: address.Address) -> connection.Connection:
        conn = self._connections.get(peer)
        if conn is not None and not conn.closed:
            return conn
        lock = self._locks.setdefault(peer, trio.Lock())
        try:
            async with lock:
                conn = self._connections.get(peer)
                if conn is None or conn.closed:
                    conn = await self._open(peer)
                return conn
        finally:
            # Locks of the addresses of replaced VMs must not accumulate.
            if not lock.locked():
                self._locks.pop(peer, None)

    async def _open(self, peer):
        now = trio.current_time()
        if now < self._retry_at.get(peer, now):
            raise error.PeerUnreachableError(
                "a connect to this address failed just now"
            )
        self._retry_at = {peer: at for peer, at in self._retry_at.items() if at > now}
        self._counters["peer_connects"] += 1
        try:
            stream = await trio.open_tcp_stream(
                peer.host, peer.port, local_address=self._local_host
            )
        except OSError as exc:
            self._retry_at[peer] = trio.current_time() + _RECONNECT_DELAY_S
            raise error.PeerUnreachableError(str(exc)) from exc
        self._close_unused()
        conn = connection.Connection(stream, self._sender, self._counters)
        self._connections[peer] = conn
        self._nursery.start_soon(self._run_connection, peer, conn)
        return conn

    async def _run_connection(self, peer, conn):
        try:
            await conn.run()
        finally:
            if self._connections.get(peer) is conn:
                del self._connections[peer]

    def _close_unused(self):
        if len(self._connections) < _MAX_CONNECTIONS:
            return
        idle = [conn for conn in self._connections.values() if not conn.calls]
        if idle:
            min(idle, key=lambda conn: conn.last_used).close()
