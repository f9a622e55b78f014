"""A small deployment in one process: store, upstreams and gateway daemons."""

import contextlib
import functools
import tomllib
from collections.abc import AsyncIterator
from typing import Any

import trio

from rattanlug.gateway import run
from rattanlug.platform import boot_settings
from trial import http_server
from trial.shared_platform import boot_file, loopback, store, upstream

FIRST_VM_PORT = 9100
HOST = "host.example"
KEY = "key-1"
ORGANISATION = "organisation-1"
SERVICE = "service-1"
# Time for a daemon to read the store and to exchange digests, which are summaries of
# the VMs' state, with its peers.
_SETTLE_SECONDS = 0.6


def desired_state(version: int = 2, **changes: Any) -> dict[str, Any]:
    """Return a desired state with a safe, an unsafe and a public safe route.

    A request to a safe route may be executed more than once.
    """
    path = {
        "timeout_s": 1.0,
        "target_latency_s": 0.4,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "session_affinity": True,
        "home_regions": [],
    }
    state = {
        "version": f"r{version}",
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 100,
                "warmup_s": 3.0,
                "warmup_per_s": 7.0,
            }
        ],
        "limits": {"max_body_bytes": 1_000_000, "idle_timeout_s": 15},
        "tenants": [
            {
                "name": ORGANISATION,
                "api_keys": [KEY],
                "rate_per_s": 1000,
                "burst": 1000,
            }
        ],
        "virtual_hosts": [
            {
                "hostname": HOST,
                "paths": [
                    {**path, "name": "view", "prefix": "/view/", "kind": "safe"},
                    {**path, "name": "claim", "prefix": "/claim/", "kind": "unsafe"},
                    {
                        **path,
                        "name": "open",
                        "prefix": "/open/",
                        "kind": "safe",
                        "public": True,
                    },
                ],
            }
        ],
    }
    return {**state, **changes}


class Fleet:
    """Stand-ins and daemons that run in one process.

    Parameters
    ----------
    nursery : trio.Nursery
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._store_port = 0
        self._vms = 0
        self._ports: dict[str, int] = {}
        self.store = store.Store()
        self.upstreams: dict[str, upstream.Upstream] = {}

    @property
    def store_port(self) -> int:
        """Port of the store."""
        return self._store_port

    async def start_store(self) -> None:
        """Start the store, which holds a desired state."""
        self.store.put("op", "config", desired_state())
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, self.store.handle)
        )
        self._store_port = listeners[0].socket.getsockname()[1]

    async def add_upstream(self, name: str, **row: Any) -> upstream.Upstream:
        """Start an upstream and register it."""
        stand_in = upstream.Upstream(name)
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, stand_in.handle)
        )
        self._ports[name] = listeners[0].socket.getsockname()[1]
        self.upstreams[name] = stand_in
        self.register(name, **row)
        return stand_in

    def register(self, name: str, **row: Any) -> None:
        """Write the registration of an upstream, replacing an earlier one."""
        values = {"service": SERVICE, "data_centre": "north-a", **row}
        address = values.pop("address", f"127.0.0.1:{self._ports[name]}")
        self.store.put(
            "servers",
            name,
            upstream.registration(self.upstreams[name], address, **values),
        )

    async def add_vm(self, **settings: Any) -> run.GatewayDaemon:
        """Start a daemon; wait until it is ready, unless the store fails its calls."""
        self._vms += 1
        host = loopback.host(self._vms)
        text = boot_file.render(
            f"vm-{self._vms}", host, FIRST_VM_PORT, self._store_port, **settings
        )
        daemon = run.GatewayDaemon(boot_settings.decode(tomllib.loads(text)))
        await self._nursery.start(daemon.serve)
        with trio.fail_after(5):
            while not daemon.node.ready and self.store.status is None:
                await trio.sleep(0.01)
        return daemon

    async def settle(self) -> None:
        """Wait until daemons have read the store and exchanged digests."""
        await trio.sleep(_SETTLE_SECONDS)


@contextlib.asynccontextmanager
async def open_fleet() -> AsyncIterator[Fleet]:
    """Run a fleet with its store until the context ends."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        await fleet.start_store()
        yield fleet
        nursery.cancel_scope.cancel()
