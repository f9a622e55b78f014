"""Starts and stops the gateway daemon."""

from __future__ import annotations

import functools
import gc
import logging
import math
import signal
from collections.abc import Awaitable, Callable

import trio

from rattanlug.caller import application
from rattanlug.caller import server as caller_server
from rattanlug.daemon import background_tasks, clock, process_age
from rattanlug.desired import limits
from rattanlug.errors import error
from rattanlug.gateway import (
    connection_limits,
    digest_exchange,
    endpoints,
    request_handler,
    rollouts,
    store_reader,
    table_server,
)
from rattanlug.gateway import (
    node as node_module,
)
from rattanlug.logs import state_log
from rattanlug.metrics import garbage
from rattanlug.platform import boot_settings
from rattanlug.settings import address, gateway_settings

METRICS_PORT = 9464
# Largest fraction of the shutdown's time that is reserved for requests in flight when
# the listener closes.
MAX_FINISH_FRACTION = 0.5
# Time for reading a request and sending its response, beyond its route's timeout.
FINISH_MARGIN_SECONDS = 0.3
# Interval between checks of a daemon that is stopping.
STOP_CHECK_SECONDS = 0.02
# The process exits this long before it would be killed.
EXIT_MARGIN_SECONDS = 0.25
# The oldest generation is rarely collected, since most objects live as long as the
# daemon.
_GC_THRESHOLDS = (20_000, 20, 50)
_LOG = logging.getLogger(__name__)


def run(
    settings: gateway_settings.GatewaySettings,
    settings_path: str,
    prepared_at: float | None = None,
) -> int:
    """Run the daemon until SIGTERM; return the exit code.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    settings_path : str
        File from which the settings are reloaded on SIGHUP.
    prepared_at : float, optional
        When the process was prepared for signals, seconds on ``clock.now``.
    """
    gc.set_threshold(*_GC_THRESHOLDS)
    prepared_at = clock.now() if prepared_at is None else prepared_at
    state_log.log_change(
        "process",
        None,
        "started",
        vm=settings.vm,
        data_centre=settings.data_centre,
        unprepared_seconds=process_age.process_age(prepared_at),
    )
    try:
        trio.run(_run, settings, settings_path)
    except Exception:
        # The interpreter prints the traceback too, but not as a log line.
        _LOG.critical("an unexpected error ends the daemon", exc_info=True)
        raise
    # The interpreter restores the default action of handled signals when it exits, but
    # leaves ignored ones.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.SIG_IGN)
    return 0


def reload(node: node_module.Node, settings_path: str) -> None:
    """Reload the settings; invalid settings are logged and ignored.

    Listeners keep their addresses until the next start.
    """
    try:
        changed = node.reload(boot_settings.read(settings_path))
    except error.InvalidInputError as exc:
        state_log.log_change("settings", "loaded", "rejected", reason=exc.detail)
        return
    state_log.log_change("settings", "loaded", "reloaded", changed=changed)


def _read_again(
    settings: gateway_settings.GatewaySettings, settings_path: str
) -> gateway_settings.GatewaySettings:
    """Return the settings in the file, or those given if the file is invalid now."""
    try:
        found = boot_settings.read(settings_path)
    except error.InvalidInputError as exc:
        state_log.log_change("settings", "loaded", "rejected", reason=exc.detail)
        return settings
    changed = [
        name
        for name, old, new in zip(settings._fields, settings, found, strict=True)
        if old != new
    ]
    if changed:
        state_log.log_change("settings", "loaded", "reloaded", changed=changed)
    return found


async def _run(settings: gateway_settings.GatewaySettings, settings_path: str) -> None:
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled) as signals:
        async with trio.open_nursery() as nursery:
            # Until now, SIGHUP was ignored.
            daemon = GatewayDaemon(_read_again(settings, settings_path))
            garbage.GarbageCounter(daemon.node.counters).start()
            stop_times = _record_stop_signals(daemon.node)
            # A process inherits the signals that its parent blocks.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)
            # Signals are handled while the daemon waits for its ports.
            nursery.start_soon(_serve, daemon)
            async for signal_number in signals:
                # Before a stop too, since the file may change without any signal, and
                # the platform counts with the grace period in it.
                try:
                    reload(daemon.node, settings_path)
                except Exception:
                    background_tasks.record_failure("reload", daemon.node.counters)
                if signal_number != signal.SIGHUP:
                    break
            if daemon.is_serving:
                await daemon.stop(stop_times[0])
            nursery.cancel_scope.cancel()
        await daemon.node.pools.aclose()
        await daemon.node.store.aclose()
    state_log.log_change("process", "finished", "stopped")


def _record_stop_signals(node: node_module.Node) -> list[float]:
    """Record the earliest times at which signals to stop can have been sent.

    The platform counts the grace period from the sending. A process that is not
    scheduled, or whose loop is busy, receives the signal later.

    Returns
    -------
    list of float
        Seconds on ``clock.now``; one more for each signal that is handled.
    """
    times: list[float] = []

    for number in (signal.SIGTERM, signal.SIGINT):
        receive = signal.getsignal(number)

        def record(signal_number, frame, receive=receive) -> None:
            times.append(node.utilisation.polled_at)
            receive(signal_number, frame)

        signal.signal(number, record)
    return times


async def _serve(daemon: GatewayDaemon) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(daemon.serve)
        gc.freeze()


class GatewayDaemon:
    """Listeners and background tasks of the gateway daemon.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    """

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        node = node_module.Node(settings)
        self._node = node
        self._request_handler = request_handler.RequestHandler(node)
        self._app = application.Application(
            self._request_handler.serve,
            node.counters,
            closing=lambda: node.leaving,
            ignores_disconnect=self._request_handler.ignores_disconnect,
            memory=node.memory,
            streams_bodies=True,
            max_body_bytes=lambda: self._caller_limits().body_bytes,
            max_head_bytes=lambda: self._caller_limits().head_bytes,
        )
        self._digest_exchange = digest_exchange.DigestExchange(node)
        self._is_serving = False
        self._stop_caller_server = trio.Event()
        self._connection_limits = connection_limits.connection_limits(
            connection_limits.descriptor_limit(settings.max_descriptors)
        )
        self._caller_server = caller_server.Server(
            self._app,
            node.counters,
            max_connections=self._connection_limits.callers,
            local_reply=self._request_handler.reject_early,
            earliest_ready_at=lambda: node.utilisation.earliest_ready_at,
            current_limits=self._caller_limits,
        )

    @property
    def node(self) -> node_module.Node:
        """State shared by the components."""
        return self._node

    @property
    def is_serving(self) -> bool:
        """Whether all listeners are open, and callers are being served."""
        return self._is_serving

    @property
    def requests_in_flight(self) -> int:
        """Number of callers' requests being served."""
        return self._app.in_flight

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run everything until cancelled."""
        node = self._node
        trio.lowlevel.add_instrument(node.utilisation)
        settings = node.settings
        handlers = endpoints.Endpoints(node)
        async with trio.open_nursery() as nursery:
            reader = store_reader.StoreReader(node)
            nursery.start_soon(reader.run)
            self._start_task(
                nursery, "rollouts", functools.partial(rollouts.run, node, reader)
            )
            max_followers = self._connection_limits.followers
            await nursery.start(table_server.run, node, max_followers)
            digest_socket = await self._digest_exchange.open()
            internal_listeners = [
                (server, await server.open(local))
                for server, local in self._internal_servers(handlers)
            ]
            # Opened after all other ports, since callers would wait meanwhile; and
            # before the first digest, after which the look-ups of other VMs name this
            # one.
            callers_listener = await self._caller_server.open(settings.callers)
            node.begin_serving(clock.now())
            self._start_task(nursery, "loop_lag", node.lag.run)
            self._start_task(nursery, "upstream_sweeps", node.pools.run_sweeps)
            await nursery.start(self._digest_exchange.run, digest_socket)
            for server, opened in internal_listeners:
                await nursery.start(server.run, opened, trio.Event(), 0.0)
            serve_metrics = functools.partial(self._serve_metrics, handlers)
            self._start_task(nursery, "metrics", serve_metrics)
            # From here on, callers' requests are read, and a stop has to finish them.
            self._is_serving = True
            await nursery.start(
                self._caller_server.run,
                callers_listener,
                self._stop_caller_server,
                # The stop ends by the grace period that is in force when it begins.
                math.inf,
            )
            task_status.started()

    def _internal_servers(
        self, handlers: endpoints.Endpoints
    ) -> list[tuple[caller_server.Server, address.Address]]:
        """Return the servers for readiness and look-ups, with their addresses."""
        node, connections = self._node, self._connection_limits
        readiness = caller_server.Server(
            application.Application(
                handlers.serve_readiness, node.counters, memory=node.memory
            ),
            node.counters,
            max_connections=connections.readiness,
        )
        lookups = caller_server.Server(
            application.Application(
                handlers.serve_lookup, node.counters, memory=node.memory
            ),
            node.counters,
            max_connections=connections.lookups,
            local_reply=handlers.local_lookup_reply,
        )
        return [
            (readiness, node.settings.readiness),
            (lookups, node.settings.lookups),
        ]

    def _start_task(
        self, nursery: trio.Nursery, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        nursery.start_soon(
            background_tasks.keep_running, name, run, self._node.counters
        )

    async def _serve_metrics(self, handlers: endpoints.Endpoints) -> None:
        """Serve the metrics, as soon as their port is free."""
        node = self._node
        local = address.Address(node.settings.host, METRICS_PORT)
        app = application.Application(
            handlers.serve_metrics, node.counters, memory=node.memory
        )
        server = caller_server.Server(
            app, node.counters, max_connections=self._connection_limits.metrics
        )
        listening = await server.open(local)
        await server.run(listening, trio.Event(), 0.0)

    async def stop(self, signalled_at: float | None = None) -> None:
        """Leave the look-ups, serve late arrivals and finish the requests in flight.

        Parameters
        ----------
        signalled_at : float, optional
            Earliest time at which the signal can have been sent, from which the grace
            period counts; seconds on ``clock.now``, now by default.
        """
        node = self._node
        started_at = clock.now()
        grace = node.settings.bounds.stop - EXIT_MARGIN_SECONDS
        earliest_end = grace + (started_at if signalled_at is None else signalled_at)
        node.leave(earliest_end)
        state_log.log_change("process", "running", "stopping")
        async with trio.open_nursery() as nursery:
            # A slow store must not delay the end of the listener.
            has_left = trio.Event()
            nursery.start_soon(self._leave_look_ups, has_left)
            # The desired state may raise the timeouts meanwhile.
            while (left := earliest_end - self._finish_seconds() - clock.now()) > 0.0:
                await trio.sleep(min(left, STOP_CHECK_SECONDS))
            # From here on, no connection is accepted, and each one is closed after its
            # next response.
            self._stop_caller_server.set()
            # The signal may have been sent later; nothing is gained by cutting requests
            # before the platform does.
            while clock.now() - started_at < grace and not (
                has_left.is_set() and self._caller_server.has_stopped
            ):
                await trio.sleep(STOP_CHECK_SECONDS)
            nursery.cancel_scope.cancel()
        state_log.log_change(
            "process",
            "stopping",
            "finished",
            requests_cut=self._app.in_flight,
            counters=[
                [name, dict(labels), value]
                for name, labels, value in node.counters.items()
            ],
        )

    def _finish_seconds(self) -> float:
        """Return the time for requests in flight after the listener closes, seconds."""
        grace = self._node.settings.bounds.stop - EXIT_MARGIN_SECONDS
        return min(
            self._node.longest_timeout() + FINISH_MARGIN_SECONDS,
            MAX_FINISH_FRACTION * grace,
        )

    async def _leave_look_ups(self, has_left: trio.Event) -> None:
        """Announce the shutdown; an error must not end the requests in flight."""
        try:
            await self._digest_exchange.leave()
        except error.RattanlugError as exc:
            state_log.log_change("address", "registered", "kept", reason=exc.detail)
        except Exception:
            background_tasks.record_failure("leave_look_ups", self._node.counters)
        has_left.set()

    def _caller_limits(self) -> limits.Limits:
        """Return the limits on callers.

        Callers may follow a longer limit before it is in force here, so the time limits
        include the time in which a desired state is put in force.
        """
        state = self._node.desired.state
        if state is None:
            return limits.Limits()
        margin_seconds = self._node.settings.bounds.apply
        return state.limits._replace(
            head_seconds=state.limits.head_seconds + margin_seconds,
            idle_seconds=state.limits.idle_seconds + margin_seconds,
        )
