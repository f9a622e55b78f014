"""Daemons in processes of their own, and the stand-ins that they talk to."""

import functools
import os
import pathlib
import signal

import trio

from soak import history, proxy
from trial import http_server, processes
from trial.shared_platform import boot_file, fleet, store, upstream

FIRST_PORT = 9100
CENTRES = (("north-a", "north"), ("north-b", "north"), ("south-a", "south"))
REVOKE_SECONDS = 5.0
APPLY_SECONDS = 2.5
DRAIN_SECONDS = 2.5
GRACE_SECONDS = 4.0
CONTACT_SECONDS = 4.0
RATE_WINDOW_SECONDS = 5.0
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0
_READY_SECONDS = 20.0
# Runs whose addresses differ: 64 times 256 networks of 127.0.0.0/8.
_RUNS = 64 * 256
_BOUNDS = {"grace_s": int(GRACE_SECONDS)}


class Vm:
    """One entry VM: its address, its own way to the store, and its process.

    Parameters
    ----------
    index : int
    """

    def __init__(self, index: int) -> None:
        self.name = f"vm-{index}"
        # Runs beside each other have addresses of their own on loopback.
        run = os.getpid() % _RUNS
        self.host = f"127.{64 + run // 256}.{run % 256}.{index + 1}"
        self.data_centre, self.region = CENTRES[index % len(CENTRES)]
        self.to_store: proxy.Proxy | None = None
        self.is_up = False
        self.is_paused = False
        self.incarnation = 0

    @property
    def process(self) -> str:
        """Name of the present process."""
        return f"{self.name}-{self.incarnation}"


class Backend:
    """One upstream and the proxy in front of it.

    Parameters
    ----------
    stand_in : upstream.Upstream
    way : proxy.Proxy
    """

    def __init__(self, stand_in: upstream.Upstream, way: proxy.Proxy) -> None:
        self.stand_in = stand_in
        self.way = way


class Deployment:
    """Starts, disturbs and ends everything.

    Parameters
    ----------
    nursery : trio.Nursery
    directory : pathlib.Path
        For settings and logs.
    seen : history.History
    vms : int
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        directory: pathlib.Path,
        seen: history.History,
        vms: int,
    ) -> None:
        self._nursery = nursery
        self._directory = directory
        self._processes = processes.Processes(directory)
        self._store_port = 0
        self._version = 2
        self.seen = seen
        self.store = store.Store()
        self.vms = [Vm(index) for index in range(vms)]
        # VMs to which callers come in bursts.
        self.pressed = self.vms
        self.backends: dict[str, Backend] = {}
        self.retired: list[upstream.Upstream] = []
        self.organisations = {
            f"organisation-{index}": {
                "name": f"organisation-{index}",
                "api_keys": [f"key-{index}-a", f"key-{index}-b"],
                "rate_per_s": 0,
                "burst": 0,
            }
            for index in range(4)
        }
        self.added_routes: list[str] = []

    async def start(self, backends: int) -> None:
        """Start everything and wait until all VMs are ready."""
        self.write_state()
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, self.store.handle)
        )
        self._store_port = listeners[0].socket.getsockname()[1]
        for index in range(backends):
            await self.add_backend(CENTRES[index % len(CENTRES)][0])
        for vm in self.vms:
            vm.to_store = proxy.Proxy(self._store_port)
            await self._nursery.start(vm.to_store.run)
            self.start_vm(vm)
        with trio.fail_after(_READY_SECONDS):
            for vm in self.vms:
                await self.wait_ready(vm)

    def write_state(self) -> None:
        """Write a new desired state and note that it is confirmed."""
        self._version += 1
        found = fleet.desired_state(
            self._version, tenants=list(self.organisations.values())
        )
        paths = found["virtual_hosts"][0]["paths"]
        for name in self.added_routes:
            paths.append({**paths[0], "name": name, "prefix": f"/{name}/"})
        self.store.put("op", "config", found)

    async def add_backend(self, data_centre: str) -> str:
        """Start an upstream and register it; return its id."""
        name = f"u{len(self.backends) + len(self.retired)}"
        stand_in = upstream.Upstream(name, slots=8)
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, stand_in.handle)
        )
        way = proxy.Proxy(listeners[0].socket.getsockname()[1])
        await self._nursery.start(way.run)
        self.backends[name] = Backend(stand_in, way)
        self.register(name, data_centre)
        return name

    def register(self, name: str, data_centre: str, **row: object) -> None:
        """Write the registration of an upstream."""
        found = self.backends[name]
        values = {"service": fleet.SERVICE, "data_centre": data_centre, **row}
        address = f"127.0.0.1:{found.way.port}"
        row_value = upstream.registration(found.stand_in, address, **values)
        self.store.put("servers", name, row_value)

    def retire(self, name: str) -> None:
        """Remove the registration of an upstream that is gone."""
        self.store.remove("servers", name)
        self.retired.append(self.backends.pop(name).stand_in)

    def start_vm(self, vm: Vm) -> None:
        """Start the process of a VM."""
        vm.incarnation += 1
        path = self._directory / f"{vm.name}.toml"
        path.write_text(
            boot_file.render(
                vm.name,
                vm.host,
                FIRST_PORT,
                vm.to_store.port,
                vm.data_centre,
                vm.region,
                seeds=[each.host for each in self.vms[:3]],
                bounds=_BOUNDS,
            )
        )
        self._processes.start(
            vm.process,
            ["-m", "rattanlug.gateway"],
            environment={"RATTANLUG_BOOT": str(path)},
        )
        vm.is_up = True

    async def wait_ready(self, vm: Vm) -> None:
        """Wait until a VM accepts callers."""
        while True:
            try:
                stream = await trio.open_tcp_stream(vm.host, FIRST_PORT)
            except OSError:
                await trio.sleep(0.05)
                continue
            await stream.aclose()
            return

    def signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the process of a VM."""
        self._processes.signal(vm.process, number)

    async def wait_end(self, vm: Vm, seconds: float) -> int | None:
        """Return the exit code of a VM's process, None if it still runs."""
        return await self._processes.wait(vm.process, seconds)

    def unexpected_ends(self) -> list[str]:
        """Return the VMs whose process ended without being told to."""
        return [
            f"{each.name} ended with {self._processes.exit_code(each.process)}"
            for each in self.vms
            if each.is_up and self._processes.exit_code(each.process) is not None
        ]

    def executions(self) -> list[upstream.Execution]:
        """Return what all upstreams ran."""
        stand_ins = [each.stand_in for each in self.backends.values()] + self.retired
        return [run for each in stand_ins for run in each.executions]

    def end(self) -> None:
        """End all processes."""
        self._processes.end_all()
