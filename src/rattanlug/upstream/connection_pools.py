"""Connection pools for all upstreams, for ``rattanlug gateway``.

``rattanlug daemon`` uses ``client``.
"""

import socket
from collections.abc import Callable
from typing import NamedTuple

import httpcore
import trio

from rattanlug.errors import error, executed, failure, kind
from rattanlug.metrics import counters
from rattanlug.upstream import (
    acknowledgement_timeout,
    memory_budget,
    pooled_connection,
    response,
    response_stream,
    upstream_socket,
)

# For upstreams that announce no idle timeout; shorter than the idle timeouts of common
# HTTP servers.
DEFAULT_IDLE_SECONDS = 4.0
# Share of an announced idle timeout that is used, and the upper limit.
IDLE_SHARE = 0.7
MAX_IDLE_SECONDS = 20.0
# Interval between checks of the idle connections.
SWEEP_SECONDS = 2.0


class Exchange(NamedTuple):
    """A complete response and how its connection was obtained.

    Attributes
    ----------
    answer : response.Response
    connect_seconds : float or None
        Time to open the connection; None if it was reused.
    """

    answer: response.Response
    connect_seconds: float | None


class ConnectionPools:
    """One pool for each address of an upstream.

    Parameters
    ----------
    local_host : str
        Source address of connections.
    identifier_header : bytes
        Header that each response copies from its request, in lower case.
    clock : callable
        Returns the current time, seconds on a monotonic clock. Deadlines are times on
        this clock.
    all_counters : counters.Counters
    memory : memory_budget.MemoryBudget
        Limits the bodies of all responses together.
    take_turn : callable, optional
        Waits until a part of a large response may be handled.
    """

    def __init__(
        self,
        local_host: str,
        identifier_header: bytes,
        clock: Callable[[], float],
        all_counters: counters.Counters,
        memory: memory_budget.MemoryBudget,
        take_turn: response_stream.TakeTurn = response_stream.take_turn_at_once,
    ) -> None:
        self._local_host = local_host
        self._identifier_header = identifier_header
        self._clock = clock
        self._counters = all_counters
        self._memory = memory
        self._take_turn = take_turn
        self._idle: dict[tuple[str, int], list[pooled_connection.PooledConnection]] = {}
        self._idle_seconds: dict[tuple[str, int], float] = {}

    def set_idle_seconds(self, host: str, port: int, announced: float) -> None:
        """Set the idle timeout that an upstream announces for connections, seconds."""
        self._idle_seconds[host, port] = min(MAX_IDLE_SECONDS, IDLE_SHARE * announced)

    async def close_address(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        self._idle_seconds.pop((host, port), None)
        for connection in self._idle.pop((host, port), []):
            await connection.aclose()

    async def send(
        self,
        host: str,
        port: int,
        build_request: Callable[[], httpcore.Request],
        identifier: bytes,
        connect_timeout_seconds: float,
        deadline: float,
        check_send: Callable[[], None],
        later_deadline: upstream_socket.LaterDeadline | None = None,
    ) -> Exchange:
        """Send one request and return its complete response.

        Cancelling the call closes the connection, which tells the upstream that the
        request is cancelled.

        Parameters
        ----------
        host : str
        port : int
        build_request : callable
            Called when a connection is available; it may raise to send nothing.
        identifier : bytes
            Value of the identifier header. A connection carries each value once, and no
            second request if it is empty.
        connect_timeout_seconds : float
        deadline : float
            Latest time for the complete response, seconds on the clock of the pools.
        check_send : callable
            Called right before the first byte is sent; it may raise to send nothing.
        later_deadline : callable, optional
            Returns the deadline as of now, which may be later than the first one.

        Raises
        ------
        error.UpstreamError
            With ``executed`` NO when no byte can have been sent, else UNKNOWN.
        error.RefusedError
            Raised by `build_request` or `check_send`.
        """
        connection = await self._take_idle(host, port, identifier)
        connect_time = None
        if connection is None:
            began = self._clock()
            remaining = deadline - began
            connection = await self._open(
                host, port, min(remaining, connect_timeout_seconds)
            )
            connect_time = self._clock() - began
        try:
            request = build_request()
        except error.RefusedError:
            self._release(host, port, connection)
            raise
        try:
            answer, end_reason = await connection.exchange(
                request,
                identifier,
                self._identifier_header,
                deadline,
                check_send,
                later_deadline,
            )
        except httpcore.TimeoutException as exc:
            failure.drop_tracebacks(exc)
            await self._abandon(connection)
            raise error.UpstreamError(
                kind.ErrorKind.DEADLINE_EXCEEDED, "the upstream did not answer in time"
            ) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            failure.drop_tracebacks(exc)
            await self._abandon(connection)
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN,
                "the connection broke before the complete response arrived",
                executed.Executed.UNKNOWN,
            ) from exc
        except BaseException:
            await self._abandon(connection)
            raise
        if not end_reason:
            self._release(host, port, connection)
        else:
            self._counters.add("upstream_connections_ended", reason=end_reason)
            await self._close(connection)
        return Exchange(answer, connect_time)

    async def close_unusable(self) -> None:
        """Close idle connections that cannot be reused.

        Bytes that belong to no request would otherwise fill the receive buffer.
        """
        for (host, port), idle in list(self._idle.items()):
            limit = self._idle_seconds.get((host, port), DEFAULT_IDLE_SECONDS)
            for connection in list(idle):
                if connection in idle and not connection.is_reusable(
                    self._clock(), limit
                ):
                    idle.remove(connection)
                    self._counters.add("upstream_connections_ended", reason="idle")
                    await self._close(connection)

    async def run_sweeps(self) -> None:
        """Close unusable connections periodically until cancelled."""
        while True:
            await trio.sleep(SWEEP_SECONDS)
            await self.close_unusable()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for host, port in list(self._idle):
            await self.close_address(host, port)

    def _release(
        self, host: str, port: int, connection: pooled_connection.PooledConnection
    ) -> None:
        connection.mark_idle(self._clock())
        self._idle.setdefault((host, port), []).append(connection)

    async def _take_idle(
        self, host: str, port: int, identifier: bytes
    ) -> pooled_connection.PooledConnection | None:
        if not identifier:
            # Nothing tells the response from those to earlier requests.
            return None
        idle = self._idle.get((host, port))
        limit = self._idle_seconds.get((host, port), DEFAULT_IDLE_SECONDS)
        while idle:
            connection = idle.pop()
            if not connection.is_reusable(self._clock(), limit):
                reason = "idle"
            elif connection.has_carried(identifier):
                reason = "repeated identifier"
            else:
                return connection
            self._counters.add("upstream_connections_ended", reason=reason)
            await self._close(connection)
        return None

    async def _open(
        self, host: str, port: int, limit: float
    ) -> pooled_connection.PooledConnection:
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            acknowledgement_timeout.option(),
        ]
        try:
            raw = await upstream_socket.connect(
                host, port, self._local_host, options, max(0.0, limit)
            )
        except (OSError, OverflowError, ValueError) as exc:
            # The last two are raised for an address that no connection can have.
            raise error.UpstreamError(
                kind.ErrorKind.UPSTREAM_FAILED,
                "the connection could not be opened",
                executed.Executed.NO,
            ) from exc
        origin = httpcore.Origin(b"http", host.encode(), port)
        connected_socket = upstream_socket.UpstreamSocket(raw, self._clock)
        stream = response_stream.ResponseStream(
            connected_socket,
            self._identifier_header,
            self._take_turn,
            min(response_stream.MAX_BODY_BYTES, self._memory.largest_body),
        )
        return pooled_connection.PooledConnection(
            stream, origin, self._clock(), self._memory
        )

    async def _abandon(self, connection: pooled_connection.PooledConnection) -> None:
        """Close a connection whose response was not received in full."""
        self._counters.add("abandoned_response_bytes", connection.received)
        await self._close(connection)

    async def _close(self, connection: pooled_connection.PooledConnection) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await connection.aclose()
