"""Accepts connections of callers and bounds what each of them may hold."""

import functools
import logging
from collections.abc import Awaitable, Callable

import hypercorn.config
import trio
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
from hypercorn.trio import tcp_server, worker_context

from rattanlug.metrics import counters
from rattanlug.settings import address

# Also bounds how long a caller may take to send the head of a request.
KEEP_ALIVE_SECONDS = 30.0
# A caller that does not read its answer holds the memory of it.
SEND_SECONDS = 20.0
MAX_CONNECTIONS = 2048
_MAX_HEADER_BYTES = 32 * 1024
_BACKLOG = 1024
_HTTP_2_PREFACE = b"PRI * HTTP/2"
_HEAD = b"HTTP/1.1 "
_INFORMATIONAL = b"HTTP/1.1 1"
_REFUSALS = (b"HTTP/1.1 4", b"HTTP/1.1 5")
# Each refusal of the application holds one of these headers, the library's hold none.
_OWN_HEADERS = (b"\r\nrattanlug-ran:", b"\r\ncontent-type:")
_LOG = logging.getLogger(__name__)


class Server:
    """HTTP/1.1 server for one ASGI application.

    The protocol is hypercorn's. Its own accept loop has no limit of connections, ends
    the whole process when one connection raises, and waits without limit for callers
    that do not read.

    Parameters
    ----------
    app : callable
        ASGI application.
    all_counters : counters.Counters
    max_connections : int, optional
    """

    def __init__(
        self,
        app: Callable[..., Awaitable[None]],
        all_counters: counters.Counters,
        max_connections: int | None = None,
    ) -> None:
        self._app = utils.wrap_app(app, 0, "asgi")
        self._counters = all_counters
        self._max_connections = max_connections or MAX_CONNECTIONS
        self._config = _config()
        self._context = worker_context.WorkerContext(None)
        self._streams: set[_CallerStream] = set()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._streams)

    async def run(
        self,
        local: address.Address,
        stop: trio.Event,
        finish_seconds: float,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` is set, then until every request has its answer.

        Parameters
        ----------
        local : address.Address
            Where to listen; port 0 picks a free one.
        stop : trio.Event
        finish_seconds : float
            Time for the requests that are being served when ``stop`` is set.
        task_status : optional
            Reports the list of listeners.
        """
        listeners = await trio.open_tcp_listeners(
            local.port, host=local.host, backlog=_BACKLOG
        )
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    functools.partial(
                        trio.serve_listeners,
                        self._serve_connection,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                task_status.started(listeners)
                await stop.wait()
                accepting.cancel_scope.cancel()
            # Idle connections close at once, the others after their answer.
            await self._context.terminated.set()
            with trio.move_on_after(finish_seconds):
                while self._streams:
                    await trio.sleep(0.02)
            for stream in list(self._streams):
                stream.abort()
            connections.cancel_scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if len(self._streams) >= self._max_connections:
            self._counters.add("connections_refused")
            await trio.aclose_forcefully(stream)
            return
        caller = _CallerStream(stream, self._counters)
        self._streams.add(caller)
        try:
            await tcp_server.TCPServer(
                self._app,
                self._config,
                self._context,
                hypercorn_typing.ConnectionState({}),
                caller,
            ).run()
        except Exception:
            # A fault in one connection must not end the others.
            self._counters.add("connection_failures")
            _LOG.debug("a caller's connection failed", exc_info=True)
        finally:
            self._streams.discard(caller)
            await trio.aclose_forcefully(stream)


class _CallerStream:
    """Stream of one caller with a time limit for sending."""

    def __init__(
        self, stream: trio.SocketStream, all_counters: counters.Counters
    ) -> None:
        self._stream = stream
        self._counters = all_counters
        self._head = b""

    @property
    def socket(self) -> trio.socket.SocketType:
        """Socket of the connection."""
        return self._stream.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive; an HTTP/2 preface counts as the end of the stream."""
        data = await self._stream.receive_some(max_bytes)
        if data.startswith(_HTTP_2_PREFACE):
            self._counters.add("requests_rejected", reason="http_2")
            return b""
        return data

    async def send_all(self, data: bytes) -> None:
        """Send, or break the connection when the caller does not read."""
        refused = not self._head and data.startswith(_REFUSALS)
        if refused and not any(header in data for header in _OWN_HEADERS):
            self._counters.add("requests_rejected", reason="malformed")
        is_head = not self._head and data.startswith(_HEAD)
        if is_head and not data.startswith(_INFORMATIONAL):
            # The library sends the head, the body and an empty end one by one; one
            # write for head and body spares a system call and a packet.
            self._head = data
            return
        data, self._head = self._head + data, b""
        if not data:
            return
        with trio.move_on_after(SEND_SECONDS):
            await self._stream.send_all(data)
            return
        self._counters.add("answers_not_read")
        self.abort()
        raise trio.BrokenResourceError("the caller does not read its answer")

    async def send_eof(self) -> None:
        """Half-close the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def abort(self) -> None:
        """Close the connection at once; waiting calls fail."""
        self._stream.socket.close()


def _config() -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    return config
