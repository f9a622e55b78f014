"""Runs a daemon until it is told to stop."""

import logging
import signal

import hypercorn.config
import hypercorn.trio
import trio

from rattanlug.caller import application, reply, request
from rattanlug.daemon import node, service_state
from rattanlug.daemon.endpoints import lookup, registry
from rattanlug.daemon.handlers import registry as handler_registry
from rattanlug.daemon.loops import registry as loop_registry
from rattanlug.errors import error, kind
from rattanlug.peer import server
from rattanlug.settings import settings as settings_module

# Callers keep a look-up answer for 5 s; gossip takes a second to tell every VM that
# this one leaves.
LEAVE_SECONDS = lookup.LIFETIME_SECONDS + 1.5
# Longer than the longest deadline of a request, 10 s.
_FINISH_LIMIT_SECONDS = 12.0
_RELEASE_LIMIT_SECONDS = 3.0
_POLL_SECONDS = 0.05
_KEEP_ALIVE_SECONDS = 75
_MAX_HEADER_BYTES = 32 * 1024
_BACKLOG = 1024


def run(settings: settings_module.Settings) -> int:
    """Run a daemon and return its exit code.

    Parameters
    ----------
    settings : settings.Settings

    Returns
    -------
    int
        0 after a planned stop.
    """
    trio.run(_main, settings)
    return 0


async def _main(settings: settings_module.Settings) -> None:
    entry = node.Node(settings)
    app = application.Application(_Dispatcher(entry).serve, entry.counters)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(entry.peers.run)
            await nursery.start(entry.operations.run)
            nursery.start_soon(entry.commits.run)
            bound = handler_registry.bind(entry)
            await nursery.start(
                server.serve, settings.peer, bound, settings.vm, entry.peer_counters
            )
            nursery.start_soon(entry.slots.run_returns, entry.slot_loans.give_back)
            for loop in loop_registry.LOOPS:
                nursery.start_soon(loop_registry.run_loop, entry, loop)
            stop_http = trio.Event()
            await nursery.start(_serve_http, app, settings, stop_http)
            await anext(signals)
            await _leave(entry, app, stop_http)
            nursery.cancel_scope.cancel()
    await entry.upstreams.aclose()
    await entry.platform.aclose()


class _Dispatcher:
    """Sends requests to the daemon's own endpoints or to the proxy."""

    def __init__(self, entry: node.Node) -> None:
        self._node = entry

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request."""
        answer = await self._serve(incoming)
        if self._node.state is service_state.ServiceState.LEAVING:
            # Callers with a kept-alive connection open the next one elsewhere.
            answer = answer._replace(
                headers=[*answer.headers, (b"connection", b"close")]
            )
        return answer

    async def _serve(self, incoming: request.Request) -> reply.Reply:
        if incoming.path.startswith(registry.PREFIX):
            return await registry.serve(self._node, incoming)
        if self._node.state is service_state.ServiceState.STARTING:
            raise error.RefusedError(
                kind.ErrorKind.STARTING, "this VM does not serve requests yet"
            )
        return await self._node.proxy.serve(incoming)


async def _serve_http(
    app: application.Application,
    settings: settings_module.Settings,
    stop: trio.Event,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    config = hypercorn.config.Config()
    host = settings.caller.host
    shown = f"[{host}]" if ":" in host else host
    config.bind = [f"{shown}:{settings.caller.port}"]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.backlog = _BACKLOG
    config.graceful_timeout = _FINISH_LIMIT_SECONDS
    logging.getLogger("hypercorn.error").setLevel(logging.ERROR)
    await hypercorn.trio.serve(
        app, config, shutdown_trigger=stop.wait, task_status=task_status
    )


async def _leave(
    entry: node.Node, app: application.Application, stop_http: trio.Event
) -> None:
    """Leave the look-up answers, finish requests, settle loans, release seats."""
    entry.leave()
    await trio.sleep(LEAVE_SECONDS)
    with trio.move_on_after(_FINISH_LIMIT_SECONDS):
        while app.in_flight or entry.operations.active:
            await trio.sleep(_POLL_SECONDS)
    stop_http.set()
    entry.quotas.return_all()
    entry.seats.leave()
    with trio.move_on_after(_RELEASE_LIMIT_SECONDS):
        while entry.seats.seats:
            await trio.sleep(_POLL_SECONDS)
