"""Starts and stops the entry daemon."""

import functools
import gc
import signal

import trio

from rattanlug.caller import application
from rattanlug.caller import server as caller_server
from rattanlug.daemon import clock
from rattanlug.errors import error
from rattanlug.gateway import (
    endpoints,
    peers,
    request_path,
    rollouts,
    store_reader,
    table_server,
)
from rattanlug.gateway import (
    node as node_module,
)
from rattanlug.logs import state_log
from rattanlug.platform import boot_settings
from rattanlug.settings import address, gateway_settings

METRICS_PORT = 9464
# Longest part of a stop for the requests that still run after the last was taken.
FINISH_SHARE = 0.5
# Time for a request to be read and for its answer to be sent, beside the time that its
# route allows, seconds.
FINISH_EXTRA_SECONDS = 0.3
# The process ends by this much before it would be killed, seconds.
END_SECONDS = 0.25
# Collections of the oldest generation are rare, since most objects of a daemon live
# as long as it does.
_GC_THRESHOLDS = (20_000, 20, 50)
# Largest body that is kept in memory for one request.
MAX_BODY_BYTES = 16 << 20


def run(settings: gateway_settings.GatewaySettings, settings_path: str) -> int:
    """Run the daemon until SIGTERM; return the exit code.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    settings_path : str
        Where the settings are read again on SIGHUP.
    """
    gc.set_threshold(*_GC_THRESHOLDS)
    trio.run(_run, settings, settings_path)
    return 0


def reload(node: node_module.Node, settings_path: str) -> None:
    """Read the settings again; faulty ones are logged and change nothing.

    Listeners stay as they are until the next start.
    """
    try:
        changed = node.reload(boot_settings.read(settings_path))
    except error.InvalidInputError as exc:
        state_log.log_change("settings", "loaded", "rejected", reason=exc.detail)
        return
    state_log.log_change("settings", "loaded", "reloaded", changed=changed)


async def _run(settings: gateway_settings.GatewaySettings, settings_path: str) -> None:
    state_log.log_change(
        "process", None, "started", vm=settings.vm, data_centre=settings.data_centre
    )
    received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*received) as signals:
        async with trio.open_nursery() as nursery:
            daemon = GatewayDaemon(settings)
            await nursery.start(daemon.serve)
            gc.freeze()
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                reload(daemon.node, settings_path)
            await daemon.stop()
            nursery.cancel_scope.cancel()
        await daemon.node.pools.aclose()
        await daemon.node.store.aclose()
    state_log.log_change("process", "finished", "stopped")


class GatewayDaemon:
    """Listeners and background tasks of one daemon.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    """

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        node = node_module.Node(settings)
        self._node = node
        self._path = request_path.RequestPath(node)
        self._app = application.Application(
            self._path.serve,
            node.counters,
            closing=lambda: node.leaving,
            ignores_disconnect=self._path.is_once_only,
            max_body_bytes=self._max_body_bytes,
        )
        self._peers = peers.Peers(node)
        self._stop_callers = trio.Event()
        self._callers = caller_server.Server(
            self._app,
            node.counters,
            local_reply=self._path.refuse_early,
            earliest_ready_at=lambda: node.busy.earliest_ready_at,
        )

    @property
    def node(self) -> node_module.Node:
        """State that the parts share."""
        return self._node

    @property
    def requests_in_flight(self) -> int:
        """Requests of callers that are being served."""
        return self._app.in_flight

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run everything until cancelled."""
        node = self._node
        trio.lowlevel.add_instrument(node.busy)
        settings = node.settings
        own = endpoints.Endpoints(node)
        async with trio.open_nursery() as nursery:
            reader = store_reader.StoreReader(node)
            nursery.start_soon(reader.run)
            nursery.start_soon(rollouts.run, node, reader)
            await nursery.start(table_server.run, node)
            nursery.start_soon(node.lag.run)
            nursery.start_soon(node.pools.run_sweeps)
            await nursery.start(self._peers.run)
            metrics = address.Address(settings.host, METRICS_PORT)
            for handler, local, early in (
                (own.serve_readiness, settings.readiness, None),
                (own.serve_lookup, settings.lookups, own.answer_lookup),
                (own.serve_metrics, metrics, None),
            ):
                app = application.Application(handler, node.counters)
                web = caller_server.Server(app, node.counters, local_reply=early)
                start = functools.partial(web.run, local, trio.Event(), 0.0)
                await nursery.start(start)
            await nursery.start(
                self._callers.run,
                settings.callers,
                self._stop_callers,
                settings.bounds.stop,
            )
            task_status.started()

    async def stop(self) -> None:
        """Leave the look-ups, serve who still comes, and finish what runs."""
        node = self._node
        began = clock.now()
        node.leave()
        state_log.log_change("process", "running", "stopping")
        await self._peers.leave()
        grace = node.settings.bounds.stop - END_SECONDS
        finish = min(
            node.longest_timeout() + FINISH_EXTRA_SECONDS, FINISH_SHARE * grace
        )
        await trio.sleep(max(0.0, began + grace - finish - clock.now()))
        # From now on no connection is accepted, and each closes with its next answer.
        self._stop_callers.set()
        while self._callers.connections and clock.now() - began < grace:
            await trio.sleep(0.02)
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

    def _max_body_bytes(self) -> int:
        state = self._node.desired.state
        limit = state.limits.body_bytes if state else MAX_BODY_BYTES
        return min(limit, MAX_BODY_BYTES)
