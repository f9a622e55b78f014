"""Runs a daemon until it is told to stop."""

import signal

import trio

from rattanlug.caller import application, reply, request
from rattanlug.caller import server as caller_server
from rattanlug.daemon import clock, node, service_state
from rattanlug.daemon.endpoints import lookup, registry
from rattanlug.daemon.handlers import registry as handler_registry
from rattanlug.daemon.loops import registry as loop_registry
from rattanlug.errors import error, kind
from rattanlug.invariants import invariant
from rattanlug.logs import state_log
from rattanlug.peer import server
from rattanlug.settings import daemon_settings

# Callers cache a look-up response for 5 s; gossip takes about a second to tell every VM
# that this one is leaving.
LEAVE_SECONDS = lookup.LIFETIME_SECONDS + 1.5
# Longer than the longest deadline of a request, 10 s.
_FINISH_LIMIT_SECONDS = 12.0
_RELEASE_LIMIT_SECONDS = 3.0
_CLOSE_LIMIT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.05


def run(settings: daemon_settings.DaemonSettings) -> int:
    """Run a daemon and return its exit code.

    Parameters
    ----------
    settings : daemon_settings.DaemonSettings

    Returns
    -------
    int
        0 after a planned stop.
    """
    trio.run(_main, settings)
    return 0


async def _main(settings: daemon_settings.DaemonSettings) -> None:
    entry = node.Node(settings)
    handled = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*handled) as signals:
        # A process inherits the signals that its parent blocks.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            nursery.start_soon(_set_on_signal, signals, stop)
            await serve(entry, stop)
            nursery.cancel_scope.cancel()


async def _set_on_signal(signals, stop: trio.Event) -> None:
    await anext(signals)
    stop.set()


async def serve(
    entry: node.Node,
    stop: trio.Event,
    leave_seconds: float = LEAVE_SECONDS,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a daemon until ``stop`` is set and the planned stop is complete.

    Parameters
    ----------
    entry : node.Node
    stop : trio.Event
    leave_seconds : float
        Seconds for which requests are still accepted after the planned stop began and
        this VM's own look-up responses no longer name it.
    task_status : optional
        Receives the listeners for callers.
    """
    settings = entry.settings
    dispatcher = _Dispatcher(entry)
    app = application.Application(
        dispatcher.serve,
        entry.counters,
        lambda: _is_leaving(entry),
        lambda incoming: incoming.path.startswith(registry.PREFIX),
    )
    web = caller_server.Server(app, entry.counters)
    stop_http = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(entry.peers.run)
        await nursery.start(entry.operations.run)
        nursery.start_soon(entry.commits.run)
        handlers = handler_registry.bind(entry)
        await nursery.start(
            server.serve, settings.peer, handlers, settings.vm, entry.peer_counters
        )
        nursery.start_soon(entry.slots.run_returns, entry.slot_loans.return_to_lender)
        for loop in loop_registry.LOOPS:
            nursery.start_soon(loop_registry.run_loop, entry, loop)
        listeners = await nursery.start(
            web.run, settings.caller, stop_http, _FINISH_LIMIT_SECONDS
        )
        task_status.started(listeners)
        await stop.wait()
        await _leave(entry, dispatcher, app, leave_seconds)
        stop_http.set()
        with trio.move_on_after(_CLOSE_LIMIT_SECONDS):
            while not web.has_stopped:
                await trio.sleep(_POLL_INTERVAL_SECONDS)
        _check_finished(entry, app)
        nursery.cancel_scope.cancel()
    await entry.upstreams.aclose()
    await entry.platform.aclose()


def _is_leaving(entry: node.Node) -> bool:
    return entry.state is service_state.ServiceState.LEAVING


class _Dispatcher:
    """Routes requests to the daemon's own endpoints or to the proxy."""

    def __init__(self, entry: node.Node) -> None:
        self._node = entry
        self._refusing = False

    def refuse(self) -> None:
        """Reject requests for the proxy from now on."""
        self._refusing = True

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request."""
        if incoming.path.startswith(registry.PREFIX):
            return await registry.serve(self._node, incoming)
        if self._refusing:
            raise error.RefusedError(
                kind.ErrorKind.LEAVING, "this VM is about to stop; use another one"
            )
        if self._node.state is service_state.ServiceState.STARTING:
            raise error.RefusedError(
                kind.ErrorKind.STARTING, "this VM does not serve requests yet"
            )
        return await self._node.proxy.serve(incoming)


async def _leave(
    entry: node.Node,
    dispatcher: _Dispatcher,
    app: application.Application,
    leave_seconds: float,
) -> None:
    """Leave the look-up responses, finish requests, settle loans, release seats."""
    entry.leave()
    entry.advance(clock.now())
    await trio.sleep(leave_seconds)
    # Callers that keep sending are rejected, since their requests would be cut off at
    # the limit.
    dispatcher.refuse()
    with trio.move_on_after(_FINISH_LIMIT_SECONDS):
        while app.in_flight or entry.operations.active:
            await trio.sleep(_POLL_INTERVAL_SECONDS)
    entry.quotas.return_all()
    entry.seats.leave()
    with trio.move_on_after(_RELEASE_LIMIT_SECONDS):
        while entry.seats.seats:
            await trio.sleep(_POLL_INTERVAL_SECONDS)


def _check_finished(entry: node.Node, app: application.Application) -> None:
    """Count and log the requests that the end of the process cuts off."""
    entry.violations.check(invariant.Invariant.GRACEFUL_SHUTDOWN, not app.in_flight)
    state_log.log_change(
        "process",
        "running",
        "stopped",
        requests_cut=app.in_flight,
        operations_open=entry.operations.active,
        seats_held=len(entry.seats.seats),
        violations=entry.violations.total,
    )
