"""HTTP server with limits on the connections of callers."""

import functools
import logging
import math
from collections.abc import Callable

import hypercorn.config
import trio
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
from hypercorn.protocol import h11
from hypercorn.trio import worker_context

from rattanlug.caller import (
    application,
    caller_stream,
    fast_path,
    library_connection,
    listener,
    local_endpoint,
    memory_reservation,
    refused_connection,
)
from rattanlug.daemon import background_tasks, clock, socket_close
from rattanlug.desired import limits
from rattanlug.metrics import counters
from rattanlug.settings import address

# Without other limits, also the time limit for the head of a request.
KEEP_ALIVE_SECONDS = 30.0
# Interval between checks of the time limits of connections.
SWEEP_SECONDS = 2.0
# Interval between the checks of a server that is stopping.
STOP_SWEEP_SECONDS = 0.02
# Time for the first request on a connection that is accepted when the server stops.
FIRST_REQUEST_SECONDS = 0.2
MAX_CONNECTIONS = 2048
# Of the limit of connections, the fraction that may wait beyond it for a request to be
# refused.
_REFUSING_FRACTION = 32
# Pieces of a body, of at most 16 KiB, that wait for the application.
_MAX_QUEUED_PIECES = 1
# Log lines for connections that failed are at least this far apart.
LOG_INTERVAL_SECONDS = 5.0
_LOG = logging.getLogger(__name__)


class Server:
    """HTTP/1.1 server for one application.

    Uses hypercorn for the HTTP protocol only. Its accept loop is replaced, since that
    has no limit on connections, ends the process when a connection raises, and waits
    without limit for callers that do not read.

    Parameters
    ----------
    app : application.Application
    all_counters : counters.Counters
    max_connections : int, optional
    local_reply : callable, optional
        Returns the encoded response to a request that needs no upstream, or None.
        Such a response takes a fraction of the processor time of one through the HTTP
        library, which matters when a caller sends many times its rate.
    earliest_ready_at : callable, optional
        Returns the earliest time at which a socket that is readable now can have
        become readable, seconds on ``clock.now``.
    current_limits : callable, optional
        Returns the limits in force, which also apply to open connections.
    """

    def __init__(
        self,
        app: application.Application,
        all_counters: counters.Counters,
        max_connections: int | None = None,
        local_reply: caller_stream.LocalReply | None = None,
        earliest_ready_at: Callable[[], float] = clock.now,
        current_limits: Callable[[], limits.Limits] | None = None,
    ) -> None:
        self._inner_app = app
        self._counters = all_counters
        self._max_connections = max_connections or MAX_CONNECTIONS
        self._local_reply = local_reply
        self._earliest_ready_at = earliest_ready_at
        self._current_limits = current_limits or _default_limits
        self._config = _config()
        self._context = worker_context.WorkerContext(None)
        self._streams: set[caller_stream.CallerStream] = set()
        # Connections beyond the limit whose first request is awaited.
        self._refusing = 0
        self._stopping = False
        self._has_stopped = False
        self._logged_at = -math.inf
        self._unlogged_failures = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._streams)

    @property
    def has_stopped(self) -> bool:
        """Whether it stopped listening and has no connection left."""
        return self._has_stopped

    async def open(
        self,
        local: address.Address,
        max_wait: float = math.inf,
    ) -> listener.Listener:
        """Open the listener for `run`; wait while its address is not available.

        Parameters
        ----------
        local : address.Address
            Where to listen; port 0 picks a free one.
        max_wait : float, optional
            Time limit, seconds.

        Raises
        ------
        OSError
        """

        def open_listener() -> listener.Listener:
            return listener.Listener(local, self._earliest_ready_at, self._counters)

        return await local_endpoint.open_when_available(open_listener, local, max_wait)

    async def run(
        self,
        local: address.Address | listener.Listener,
        stop: trio.Event,
        graceful_timeout_seconds: float,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` is set and the running requests are finished.

        Parameters
        ----------
        local : address.Address or listener.Listener
            Where to listen, or a listener that is open already.
        stop : trio.Event
        graceful_timeout_seconds : float
            Time limit for the requests that are being served when ``stop`` is set.
        task_status : optional
            Reports a list with the listener.
        """
        listening = (
            local if isinstance(local, listener.Listener) else await self.open(local)
        )
        async with trio.open_nursery() as serving:
            try:
                try:
                    async with trio.open_nursery() as accepting:
                        for name, task in {
                            "listener": functools.partial(
                                self._accept, listening, serving
                            ),
                            "idle_sweeps": self._close_idle,
                        }.items():
                            accepting.start_soon(
                                background_tasks.keep_running,
                                name,
                                task,
                                self._counters,
                            )
                        task_status.started([listening])
                        await stop.wait()
                        accepting.cancel_scope.cancel()
                    # Requests may have arrived on connections in the accept queue, and
                    # closing the listener would reset them.
                    for accepted in listening.accept_queued():
                        serving.start_soon(self._serve_connection, accepted)
                finally:
                    listening.close()
                await self._finish(serving, graceful_timeout_seconds)
            finally:
                # The library shields its sends from a cancellation.
                for stream in list(self._streams):
                    stream.abort("shutdown")
            serving.cancel_scope.cancel()
        self._has_stopped = True

    async def _finish(
        self, serving: trio.Nursery, graceful_timeout_seconds: float
    ) -> None:
        """Wait until the connections end, or for the time limit.

        Idle connections close at once, the others after their response. A request that
        waits in the socket is still read and answered.
        """
        self._stopping = True
        await self._context.terminated.set()
        self._abort_idle(0.0)
        with trio.move_on_after(graceful_timeout_seconds):
            while serving.child_tasks:
                await trio.sleep(STOP_SWEEP_SECONDS)
                self._abort_idle(FIRST_REQUEST_SECONDS)

    def _abort_idle(self, min_seconds: float) -> None:
        now = trio.current_time()
        for stream in list(self._streams):
            if (
                stream.between_requests
                and stream.idle_seconds(now) >= min_seconds
                and not stream.has_unread_bytes
            ):
                stream.abort("shutdown")

    async def _accept(
        self, listening: listener.Listener, serving: trio.Nursery
    ) -> None:
        while True:
            serving.start_soon(self._serve_connection, await listening.accept())

    async def _run_library(self, caller: caller_stream.CallerStream) -> None:
        async def serve_scope(scope: dict, receive: Callable, send: Callable) -> None:
            if scope["type"] == "http":
                scope[caller_stream.SCOPE_KEY] = caller
                scope["method"] = connection.recorder.method
                scope["raw_path"] = connection.recorder.target
                if connection.recorder.asks_for_http_2:
                    scope["http_version"] = "2"
            await self._inner_app(scope, receive, send)

        connection = library_connection.LibraryConnection(
            utils.wrap_app(serve_scope, 0, "asgi"),
            self._config,
            self._context,
            hypercorn_typing.ConnectionState({}),
            caller,
        )
        connection.idle_task = _NoIdleTask()
        caller.set_buffer(lambda: _has_buffered_bytes(connection))
        try:
            await connection.run()
        finally:
            # In a reference cycle, what was received would stay in memory until the
            # next run of the collector.
            caller.set_buffer(lambda: False)
            connection.release()

    async def _close_idle(self) -> None:
        while True:
            await trio.sleep(SWEEP_SECONDS)
            now = trio.current_time()
            in_force = self._current_limits()
            for stream in list(self._streams):
                if stream.idle_seconds(now) > in_force.idle_seconds:
                    cause = "idle"
                elif stream.incomplete_head_seconds(now) > in_force.head_seconds:
                    cause = "head_timeout"
                else:
                    continue
                # After a stall of the process, a request may wait to be read.
                if not stream.has_unread_bytes:
                    stream.abort(cause)

    async def _serve_connection(self, accepted: listener.AcceptedConnection) -> None:
        if len(self._streams) >= self._max_connections:
            self._counters.add("connections_refused")
            await self._refuse(accepted)
            return
        with self._inner_app.reserve_memory() as head_memory:
            await self._serve_accepted(accepted, head_memory)

    async def _refuse(self, accepted: listener.AcceptedConnection) -> None:
        may_wait = self._refusing < max(1, self._max_connections // _REFUSING_FRACTION)
        wait_seconds = refused_connection.WAIT_SECONDS if may_wait else 0.0
        self._refusing += 1
        try:
            if await refused_connection.refuse(accepted, wait_seconds):
                self._counters.add("requests_rejected", reason="connections")
        except Exception as exc:
            # An error in one connection must not end the others.
            self._record_failure(_name_of_error(exc), "refusing", clock.now())
        finally:
            self._refusing -= 1

    async def _serve_accepted(
        self,
        accepted: listener.AcceptedConnection,
        head_memory: memory_reservation.MemoryReservation,
    ) -> None:
        try:
            caller = caller_stream.CallerStream(
                accepted,
                self._counters,
                self._local_reply,
                self._earliest_ready_at,
                head_memory,
            )
        except OSError:
            # The caller reset the connection before it was served.
            self._counters.add("connections_broken")
            await socket_close.aclose(accepted.stream)
            return
        self._streams.add(caller)
        failure = ""
        try:
            # Hypercorn's objects are only created for connections that need them:
            # rejected callers come back on a new connection each time.
            caller_fast_path = fast_path.FastPath(caller, self._inner_app)
            if await caller_fast_path.serve(lambda: self._stopping):
                await self._run_library(caller)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.add("connections_broken")
        except BaseExceptionGroup as exc:
            # A part of the connection may fail while the others are cancelled.
            errors, cancellations = exc.split(Exception)
            if errors is not None:
                failure = _name_of_error(errors)
                self._record_failure(failure, caller.phase, clock.now())
            if cancellations is not None:
                raise cancellations from None
        except Exception as exc:
            # An error in one connection must not end the others.
            failure = _name_of_error(exc)
            self._record_failure(failure, caller.phase, clock.now())
        finally:
            self._streams.discard(caller)
            if caller.is_unanswered:
                cause = caller.close_cause or ("failed" if failure else "closed")
                self._counters.add(
                    "connections_unanswered", cause=cause, phase=caller.phase
                )
            await socket_close.aclose(accepted.stream)

    def _record_failure(self, name: str, phase: str, now: float) -> None:
        self._counters.add("connection_failures", error=name, phase=phase)
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            self._unlogged_failures += 1
            return
        _LOG.warning(
            "connection of a caller failed",
            exc_info=True,
            extra={"phase": phase, "skipped": self._unlogged_failures},
        )
        self._logged_at, self._unlogged_failures = now, 0


class _NoIdleTask:
    """Replaces hypercorn's task that closes an idle connection.

    Hypercorn starts and cancels that task for each request; one task of the server
    does the same for all connections.
    """

    async def restart(self, task_group: object, action: object) -> None:
        """Ignore; the server closes idle connections itself."""

    async def stop(self) -> None:
        """Ignore; the server closes idle connections itself."""


def _has_buffered_bytes(connection: library_connection.LibraryConnection) -> bool:
    """Tell whether the library holds bytes of a caller beyond the current request."""
    protocol = connection.protocol.protocol
    if not isinstance(protocol, h11.H11Protocol):
        return False
    return bool(protocol.connection.trailing_data[0])


def _name_of_error(exc: BaseException) -> str:
    """Return the class of an error, of the first one in a group."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return type(exc).__name__


def _default_limits() -> limits.Limits:
    return limits.Limits(
        head_seconds=KEEP_ALIVE_SECONDS, idle_seconds=KEEP_ALIVE_SECONDS
    )


def _config() -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.max_app_queue_size = _MAX_QUEUED_PIECES
    config.h11_max_incomplete_size = application.MAX_HEAD_BYTES
    return config
