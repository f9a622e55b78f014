"""Connections to all upstreams."""

import socket
from collections.abc import Callable
from typing import NamedTuple

import httpcore
import trio

from rattanlug.errors import error, executed, kind
from rattanlug.metrics import counters
from rattanlug.upstream import (
    answer_stream,
    memory_budget,
    pooled_connection,
    response,
    upstream_socket,
)

# Below the idle time after which common HTTP servers close a connection; for
# upstreams that announce none.
IDLE_SECONDS = 4.0
# Part of the idle time that an upstream announces, and its longest use.
IDLE_SHARE = 0.7
LONGEST_IDLE_SECONDS = 20.0
# A connection whose bytes are not acknowledged for this time is broken.
UNACKNOWLEDGED_SECONDS = 1.5
# Interval at which idle connections are looked at.
SWEEP_SECONDS = 2.0
_MILLISECONDS = 1000


class Exchange(NamedTuple):
    """A whole answer and what the send showed of the connection.

    Attributes
    ----------
    answer : response.Response
    connect_seconds : float or None
        Time that opening a connection took; None when one was reused.
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
        Header that each answer repeats from its request, in lower case.
    clock : callable
        Present time, seconds.
    all_counters : counters.Counters
    memory : memory_budget.MemoryBudget
        Bounds the bodies of all answers together.
    """

    def __init__(
        self,
        local_host: str,
        identifier_header: bytes,
        clock: Callable[[], float],
        all_counters: counters.Counters,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._local_host = local_host
        self._identifier_header = identifier_header
        self._clock = clock
        self._counters = all_counters
        self._memory = memory
        self._idle: dict[tuple[str, int], list[pooled_connection.PooledConnection]] = {}
        self._idle_seconds: dict[tuple[str, int], float] = {}

    def set_idle_seconds(self, host: str, port: int, announced: float) -> None:
        """Take the time for which an upstream keeps idle connections."""
        self._idle_seconds[host, port] = min(
            LONGEST_IDLE_SECONDS, IDLE_SHARE * announced
        )

    async def forget(self, host: str, port: int) -> None:
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
        connect_seconds: float,
        deadline: float,
        check_send: Callable[[], None],
    ) -> Exchange:
        """Send one request and return its whole answer.

        Cancelling the call closes the connection, which tells the upstream to stop.

        Parameters
        ----------
        host : str
        port : int
        build_request : callable
            Called when a connection is there; it may raise to send nothing.
        identifier : bytes
            Value of the identifier header.
        connect_seconds : float
            Longest time for opening a connection.
        deadline : float
            Until when the answer is awaited, seconds.
        check_send : callable
            Called right before the first byte leaves; it may raise to send nothing.

        Raises
        ------
        error.UpstreamError
            With ``executed`` NO when no byte can have left, else UNKNOWN.
        error.RefusedError
            Of `build_request` or `check_send`.
        """
        connection = await self._reuse(host, port)
        opened = None
        if connection is None:
            began = self._clock()
            left = deadline - began
            connection = await self._open(host, port, min(left, connect_seconds))
            opened = self._clock() - began
        try:
            request = build_request()
        except error.RefusedError:
            self._keep(host, port, connection)
            raise
        try:
            answer, end_reason = await connection.exchange(
                request, identifier, self._identifier_header, deadline, check_send
            )
        except httpcore.TimeoutException as exc:
            await self._close(connection)
            raise error.UpstreamError(
                kind.ErrorKind.DEADLINE_EXCEEDED, "the upstream did not answer in time"
            ) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            await self._close(connection)
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN,
                "the connection broke before the whole answer arrived",
                executed.Executed.UNKNOWN,
            ) from exc
        except BaseException:
            await self._close(connection)
            raise
        if not end_reason:
            self._keep(host, port, connection)
        else:
            self._counters.add("upstream_connections_ended", reason=end_reason)
            await self._close(connection)
        return Exchange(answer, opened)

    async def close_unusable(self) -> None:
        """Close idle connections that may not be used again, such as ended ones.

        One on which bytes arrive that belong to no request would fill its buffer.
        """
        for (host, port), idle in list(self._idle.items()):
            limit = self._idle_seconds.get((host, port), IDLE_SECONDS)
            for connection in list(idle):
                if connection in idle and not connection.reusable(self._clock(), limit):
                    idle.remove(connection)
                    self._counters.add("upstream_connections_ended", reason="idle")
                    await self._close(connection)

    async def run_sweeps(self) -> None:
        """Close unusable connections again and again until cancelled."""
        while True:
            await trio.sleep(SWEEP_SECONDS)
            await self.close_unusable()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for host, port in list(self._idle):
            await self.forget(host, port)

    def _keep(
        self, host: str, port: int, connection: pooled_connection.PooledConnection
    ) -> None:
        connection.note_idle(self._clock())
        self._idle.setdefault((host, port), []).append(connection)

    async def _reuse(
        self, host: str, port: int
    ) -> pooled_connection.PooledConnection | None:
        idle = self._idle.get((host, port))
        limit = self._idle_seconds.get((host, port), IDLE_SECONDS)
        while idle:
            connection = idle.pop()
            if connection.reusable(self._clock(), limit):
                return connection
            self._counters.add("upstream_connections_ended", reason="idle")
            await self._close(connection)
        return None

    async def _open(
        self, host: str, port: int, limit: float
    ) -> pooled_connection.PooledConnection:
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(UNACKNOWLEDGED_SECONDS * _MILLISECONDS),
            ),
        ]
        try:
            raw = await upstream_socket.connect(
                host, port, self._local_host, options, max(0.0, limit)
            )
        except OSError as exc:
            raise error.UpstreamError(
                kind.ErrorKind.UPSTREAM_FAILED,
                "the connection could not be opened",
                executed.Executed.NO,
            ) from exc
        origin = httpcore.Origin(b"http", host.encode(), port)
        own = upstream_socket.UpstreamSocket(raw, self._clock)
        shown = answer_stream.AnswerStream(own, self._identifier_header)
        return pooled_connection.PooledConnection(
            shown, origin, self._clock(), self._memory
        )

    async def _close(self, connection: pooled_connection.PooledConnection) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await connection.aclose()
