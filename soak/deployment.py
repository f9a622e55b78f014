"""Gateway daemons in separate processes, with a stand-in store and upstreams."""

import functools
import os
import pathlib
import signal

import trio

from soak import history, proxy
from trial import http_server, processes
from trial.shared_platform import boot_file, fleet, store, upstream

FIRST_PORT = 9100
DATA_CENTRES = (("north-a", "north"), ("north-b", "north"), ("south-a", "south"))
REVOKE_SECONDS = 5.0
APPLY_SECONDS = 2.5
DRAIN_SECONDS = 2.5
GRACE_SECONDS = 4.0
CONTACT_SECONDS = 4.0
RATE_WINDOW_SECONDS = 5.0
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0
_READY_SECONDS = 20.0
# Number of distinct /24 networks, 127.64.0.0 to 127.127.255.0, one for each run.
_NETWORKS = 64 * 256
_BOUNDS = {"grace_s": int(GRACE_SECONDS)}


class Vm:
    """One VM: its address, its process and the proxy between it and the store.

    Parameters
    ----------
    index : int
    """

    def __init__(self, index: int) -> None:
        self.name = f"vm-{index}"
        # Concurrent runs use different loopback networks.
        network = os.getpid() % _NETWORKS
        self.host = f"127.{64 + network // 256}.{network % 256}.{index + 1}"
        self.data_centre, self.region = DATA_CENTRES[index % len(DATA_CENTRES)]
        self.store_proxy: proxy.Proxy | None = None
        self.is_up = False
        self.is_paused = False
        self.incarnation = 0

    @property
    def process(self) -> str:
        """Name of the VM's current process."""
        return f"{self.name}-{self.incarnation}"


class ProxiedUpstream:
    """An upstream stand-in and the proxy through which VMs reach it.

    Parameters
    ----------
    stand_in : upstream.Upstream
    tcp_proxy : proxy.Proxy
    """

    def __init__(self, stand_in: upstream.Upstream, tcp_proxy: proxy.Proxy) -> None:
        self.stand_in = stand_in
        self.tcp_proxy = tcp_proxy


class Deployment:
    """Starts, changes and stops the store, the upstreams and the VMs.

    Parameters
    ----------
    nursery : trio.Nursery
    directory : pathlib.Path
        Directory for settings files and logs.
    observations : history.History
    vms : int
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        directory: pathlib.Path,
        observations: history.History,
        vms: int,
    ) -> None:
        self._nursery = nursery
        self._directory = directory
        self._processes = processes.Processes(directory)
        self._store_port = 0
        self._version = 2
        self.observations = observations
        self.store = store.Store()
        self.vms = [Vm(index) for index in range(vms)]
        # VMs that receive bursts of callers.
        self.burst_targets = self.vms
        self.upstreams: dict[str, ProxiedUpstream] = {}
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

    async def start(self, upstreams: int) -> None:
        """Start the store, upstreams and VMs; wait until all VMs are ready."""
        self.write_state()
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, self.store.handle)
        )
        self._store_port = listeners[0].socket.getsockname()[1]
        for index in range(upstreams):
            await self.add_upstream(DATA_CENTRES[index % len(DATA_CENTRES)][0])
        for vm in self.vms:
            vm.store_proxy = proxy.Proxy(self._store_port)
            await self._nursery.start(vm.store_proxy.run)
            self.start_vm(vm)
        with trio.fail_after(_READY_SECONDS):
            for vm in self.vms:
                await self.wait_ready(vm)

    def write_state(self) -> None:
        """Write a new version of the desired state to the store."""
        self._version += 1
        state = fleet.desired_state(
            self._version, tenants=list(self.organisations.values())
        )
        paths = state["virtual_hosts"][0]["paths"]
        for name in self.added_routes:
            paths.append({**paths[0], "name": name, "prefix": f"/{name}/"})
        self.store.put("op", "config", state)

    async def add_upstream(self, data_centre: str) -> str:
        """Start an upstream and register it; return its id."""
        name = f"u{len(self.upstreams) + len(self.retired)}"
        stand_in = upstream.Upstream(name, slots=8)
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, stand_in.handle)
        )
        tcp_proxy = proxy.Proxy(listeners[0].socket.getsockname()[1])
        await self._nursery.start(tcp_proxy.run)
        self.upstreams[name] = ProxiedUpstream(stand_in, tcp_proxy)
        self.register(name, data_centre)
        return name

    def register(self, name: str, data_centre: str, **row: object) -> None:
        """Write the registration of an upstream."""
        registered = self.upstreams[name]
        values = {"service": fleet.SERVICE, "data_centre": data_centre, **row}
        address = f"127.0.0.1:{registered.tcp_proxy.port}"
        row_value = upstream.registration(registered.stand_in, address, **values)
        self.store.put("servers", name, row_value)

    def retire(self, name: str) -> None:
        """Remove the registration of an upstream, but keep its executions."""
        self.store.remove("servers", name)
        self.retired.append(self.upstreams.pop(name).stand_in)

    def start_vm(self, vm: Vm) -> None:
        """Start the process of a VM."""
        vm.incarnation += 1
        path = self._directory / f"{vm.name}.toml"
        path.write_text(
            boot_file.render(
                vm.name,
                vm.host,
                FIRST_PORT,
                vm.store_proxy.port,
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
        """Wait until a VM accepts connections of callers."""
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
        """Return the exit code of a VM's process, or None if it is still running."""
        return await self._processes.wait(vm.process, seconds)

    def unexpected_ends(self) -> list[str]:
        """Return the VMs whose process exited without having been stopped or killed."""
        return [
            f"{each.name} ended with {self._processes.exit_code(each.process)}"
            for each in self.vms
            if each.is_up and self._processes.exit_code(each.process) is not None
        ]

    def executions(self) -> list[upstream.Execution]:
        """Return the requests that any upstream executed."""
        stand_ins = [each.stand_in for each in self.upstreams.values()] + self.retired
        return [run for each in stand_ins for run in each.executions]

    def end(self) -> None:
        """Stop all processes."""
        self._processes.end_all()
