"""Listens on advertised addresses and forwards to private ones."""

import json

import trio

from trial import http_server
from trial.relay import connection, cuts, plan

_PROBE_INTERVAL_S = 0.05


class Target:
    """A forwarded address; it is open only while the target listens.

    If the relay always listened, connections to a stopped VM would be accepted and then
    broken instead of refused, which callers handle differently.

    Parameters
    ----------
    settings : plan.RelayPlan
    forward : plan.Forward
    links : cuts.Cuts
    """

    def __init__(
        self, settings: plan.RelayPlan, forward: plan.Forward, links: cuts.Cuts
    ):
        self._settings = settings
        self._forward = forward
        self._links = links
        self._recheck_requested = trio.Event()

    def request_recheck(self) -> None:
        """Have `run` check soon whether the target still listens."""
        self._recheck_requested.set()

    async def run(self, same_host: list["Target"]) -> None:
        """Forward until cancelled.

        Parameters
        ----------
        same_host : list of Target
            Targets of the same host; all are checked when a connection ends.
        """
        async with trio.open_nursery() as connections:
            while True:
                while not await self._listens():
                    await trio.sleep(_PROBE_INTERVAL_S)
                async with trio.open_nursery() as listening:
                    listening.start_soon(self._accept, connections, same_host)
                    await self._wait_closed()
                    listening.cancel_scope.cancel()

    async def _wait_closed(self) -> None:
        while True:
            self._recheck_requested = trio.Event()
            if not await self._listens():
                return
            await self._recheck_requested.wait()
            await trio.sleep(_PROBE_INTERVAL_S)

    async def _accept(
        self, connections: trio.Nursery, same_host: list["Target"]
    ) -> None:
        async def relay(client: trio.SocketStream) -> None:
            try:
                relayed = connection.Connection(
                    self._settings, self._forward, self._links, client
                )
            except OSError:
                # The client disconnected before its address could be read.
                return
            await relayed.run()
            for each in same_host:
                each.request_recheck()

        await trio.serve_tcp(
            relay,
            self._forward.port,
            host=self._forward.host,
            handler_nursery=connections,
        )

    async def _listens(self) -> bool:
        try:
            stream = await trio.open_tcp_stream(
                self._forward.target_host, self._forward.port
            )
        except OSError:
            return False
        await stream.aclose()
        return True


async def run_server(settings: plan.RelayPlan) -> None:
    """Serve until cancelled."""
    links = cuts.Cuts()

    async def control(request: http_server.Request) -> http_server.Response:
        links.replace(json.loads(request.body or b"{}").get("cut", []))
        return http_server.json_response({})

    by_host: dict[str, list[Target]] = {}
    async with trio.open_nursery() as nursery:
        for forward in settings.forwards:
            target = Target(settings, forward, links)
            by_host.setdefault(forward.host, []).append(target)
            nursery.start_soon(target.run, by_host[forward.host])
        await http_server.serve(settings.control_host, settings.control_port, control)
