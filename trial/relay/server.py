"""Listens on advertised addresses and forwards to private ones."""

import json

import trio

from trial import http_server
from trial.relay import connection, cuts, plan

_PROBE_INTERVAL_S = 0.05


class Target:
    """One target; its advertised port is open only while the target listens.

    A relay that always listened would turn the refused connections of a dead VM into
    connections that break later, which callers must treat differently.

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
        self._suspect = trio.Event()

    def suspect(self) -> None:
        """Check soon whether the target still listens."""
        self._suspect.set()

    async def run(self, ended: list["Target"]) -> None:
        """Forward until cancelled.

        Parameters
        ----------
        ended : list of Target
            Targets of the same host; all are checked when a connection ends.
        """
        async with trio.open_nursery() as connections:
            while True:
                while not await self._listens():
                    await trio.sleep(_PROBE_INTERVAL_S)
                async with trio.open_nursery() as listening:
                    listening.start_soon(self._accept, connections, ended)
                    await self._wait_gone()
                    listening.cancel_scope.cancel()

    async def _wait_gone(self) -> None:
        while True:
            self._suspect = trio.Event()
            if not await self._listens():
                return
            await self._suspect.wait()
            await trio.sleep(_PROBE_INTERVAL_S)

    async def _accept(self, connections: trio.Nursery, ended: list["Target"]) -> None:
        async def relay(client: trio.SocketStream) -> None:
            try:
                link = connection.Connection(
                    self._settings, self._forward, self._links, client
                )
            except OSError:
                # The client disconnected before its address could be read.
                return
            await link.run()
            for each in ended:
                each.suspect()

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
