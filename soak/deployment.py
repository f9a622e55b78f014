"""Gateway daemons in separate processes, with a stand-in store and upstreams."""

import contextlib
import functools
import os
import pathlib
import random
import signal
import sysconfig
import time
import tomllib
from collections.abc import Callable

import trio

from soak import history, proxy, site_upstream, upstream_worker
from trial import http_client, http_server, processes
from trial.shared_platform import boot_file, fleet, store, upstream

FIRST_PORT = 9100
STEPPED_CLOCK = "soak.stepped_clock"
ERRING_DAEMON = "soak.erring_daemon"
_ROOT = pathlib.Path(__file__).parent.parent
# Where the build of the deploy file puts the package.
_BUILD_DIRECTORY = "target/deps"
# Time until every VM rejects a withdrawn key.
REVOKE_SECONDS = 5.0
# Time before an event in which a disturbance of a VM still excuses it.
CONTACT_SECONDS = 4.0
# In any window, executions may exceed an organisation's rate and burst by this share
# and by this number of requests.
RATE_WINDOW_SECONDS = 5.0
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0
READY_SECONDS = 20.0
# Many VMs that start are asked together; more often, the run would starve its store.
_READINESS_POLL_SECONDS = 0.5
_ORGANISATIONS = 4
_LOG_TAIL_CHARACTERS = 300
# Number of distinct /24 networks, 127.64.0.0 to 127.127.255.0, one for each run.
_NETWORKS = 64 * 256


def daemon_arguments(root: pathlib.Path) -> list[str]:
    """Return what Python starts a daemon with, by the deploy file of a checkout.

    Raises
    ------
    OSError
    """
    deploy_file = tomllib.loads((root / "deploy" / "system.toml").read_text())
    words = deploy_file["roles"]["entry"]["run"].split()[1:]
    return [each.replace(_BUILD_DIRECTORY, str(root / "src")) for each in words]


class Vm:
    """One VM: its address, its process and the proxy between it and the store.

    Parameters
    ----------
    index : int
    data_centre, region : str
    """

    def __init__(self, index: int, data_centre: str, region: str) -> None:
        self.name = f"vm-{index}"
        # Concurrent runs use different loopback networks.
        network = os.getpid() % _NETWORKS
        self.host = f"127.{64 + network // 256}.{network % 256}.{index + 1}"
        self.data_centre, self.region = data_centre, region
        self.store_proxy: proxy.Proxy | None = None
        self.is_up = False
        self.is_paused = False
        # Whether it is kept in reserve and may be added.
        self.is_spare = False
        self.incarnation = 0

    @property
    def process(self) -> str:
        """Name of the VM's current process."""
        return f"{self.name}-{self.incarnation}"


class ProxiedUpstream:
    """An upstream stand-in and the proxy through which VMs reach it.

    Parameters
    ----------
    stand_in : upstream.Upstream, SiteUpstream or RemoteUpstream
    tcp_proxy : proxy.Proxy or upstream_worker.RemoteGate
    service, data_centre : str
    """

    def __init__(
        self,
        stand_in: upstream.Upstream
        | site_upstream.SiteUpstream
        | upstream_worker.RemoteUpstream,
        tcp_proxy: proxy.Proxy | upstream_worker.RemoteGate,
        service: str,
        data_centre: str,
    ) -> None:
        self.stand_in = stand_in
        self.tcp_proxy = tcp_proxy
        self.service = service
        self.data_centre = data_centre
        self.sequence = 1
        self.born = 1
        # Whether it has been told to drain; no fault starts it again then.
        self.is_leaving = False


class Deployment:
    """Starts, changes and stops the store, the upstreams and the VMs.

    Parameters
    ----------
    nursery : trio.Nursery
    directory : pathlib.Path
        Directory for settings files and logs.
    observations : history.History
    vms : int
        Number of VMs if the site does not decide it.
    rng : random.Random
        For the upstreams of a site.
    daemon : str
        Checkout whose daemon is started; this one if empty.
    start_module : str
        Module, with one argument, that starts the daemon in the place of the command of
        the deploy file; empty for that.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        directory: pathlib.Path,
        observations: history.History,
        vms: int,
        rng: random.Random,
        daemon: str = "",
        start_module: str = "",
    ) -> None:
        self._start_module = start_module
        self._daemon_root = pathlib.Path(daemon or _ROOT).absolute()
        self._rng = rng
        self._nursery = nursery
        self._directory = directory
        self._processes = processes.Processes(directory)
        self._store_port = 0
        self._version = 2
        self._started_upstreams = 0
        # Number of callers so far; their indices are part of the ids of requests.
        self.callers = 0
        # The same for the callers of bursts.
        self.burst_callers = 0
        # Starts callers in other processes: their rate and time.
        self.start_callers: Callable[[float, float], None] | None = None
        # Starts a burst there: VM, key, first number and seed.
        self.start_burst: Callable[[str, str, int, float], None] | None = None
        self.observations = observations
        self._stopped: set[str] = set()
        self.site = observations.site
        self.store = store.Store()
        self._upstream_workers: upstream_worker.UpstreamWorkers | None = None
        centres = self.site.data_centres
        places = [centres[index % len(centres)] for index in range(vms)]
        if self.site.vms:
            counts = zip(centres, self.site.vms, strict=True)
            places = [place for place, count in counts for _ in range(count)]
        self.vms = [Vm(index, *place) for index, place in enumerate(places)]
        # VMs that receive bursts of callers.
        self.burst_targets = self.vms
        self.upstreams: dict[str, ProxiedUpstream] = {}
        self.retired: list[ProxiedUpstream] = []
        self.organisations = {
            f"organisation-{index}": {
                "name": f"organisation-{index}",
                "api_keys": [f"key-{index}-a", f"key-{index}-b"],
                "rate_per_s": 0,
                "burst": 0,
            }
            for index in range(_ORGANISATIONS)
        }
        self.added_routes: list[str] = []
        # Whether the store is about to come back from a copy.
        self.store_returns = False
        # Of the desired state; the factor applies to the timeouts of all routes.
        self.idle_timeout_seconds = 15
        self.timeout_factor = 1.0

    @property
    def upstream_pids(self) -> dict[str, int]:
        """Ids of the processes that play upstreams, by name."""
        return self._upstream_workers.pids if self._upstream_workers else {}

    async def start(self, upstreams: int) -> None:
        """Start the store, upstreams and VMs; wait until all VMs are ready."""
        self.write_state()
        listeners = await self._nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, self.store.handle)
        )
        self._store_port = listeners[0].socket.getsockname()[1]
        if self.site.workers:
            # A host of their own: no outgoing connection takes a port meanwhile.
            host = f"{self.vms[0].host.rpartition('.')[0]}.254"
            self._upstream_workers = upstream_worker.UpstreamWorkers(self.site, host)
        centres = [each for each, _ in self.site.data_centres]
        if not self.site.services:
            for index in range(upstreams):
                await self.add_upstream(centres[index % len(centres)])
        for service in self.site.services:
            for centre, count in zip(centres, service.upstreams, strict=True):
                for _ in range(count):
                    await self.add_upstream(centre, service.name)
        for vm in self.vms:
            await self._start_store_proxy(vm)
            self.start_vm(vm)
        with trio.fail_after(READY_SECONDS):
            for vm in self.vms:
                await self.wait_ready(vm)

    async def _start_store_proxy(self, vm: Vm) -> None:
        vm.store_proxy = proxy.Proxy(self._store_port)
        await self._nursery.start(vm.store_proxy.run)

    async def add_vm(self, data_centre: str, region: str) -> Vm:
        """Add a VM, which isn't started yet."""
        vm = Vm(len(self.vms), data_centre, region)
        await self._start_store_proxy(vm)
        self.vms.append(vm)
        return vm

    def write_state(self) -> None:
        """Write a new version of the desired state to the store."""
        state = self._next_state()
        self.observations.states.append(
            history.State(self._version, trio.current_time(), self.timeout_factor)
        )
        self.store.put("op", "config", state)

    def write_invalid_state(self, damage: Callable[[dict], None]) -> None:
        """Write a version that no VM may accept to the store.

        Parameters
        ----------
        damage : callable
            Makes a state invalid.
        """
        state = self._next_state()
        damage(state)
        self.store.put("op", "config", state)

    def _next_state(self) -> dict:
        self._version += 1
        organisations = list(self.organisations.values())
        state = self.site.desired_state(
            self._version, organisations, self.added_routes, self.timeout_factor
        )
        state["limits"]["idle_timeout_s"] = self.idle_timeout_seconds
        return state

    async def add_upstream(
        self, data_centre: str, service: str = fleet.SERVICE, cold: bool = False
    ) -> str:
        """Start an upstream and register it; return its id."""
        self._started_upstreams += 1
        name = f"u{self._started_upstreams - 1}"
        await self._start_upstream(name, data_centre, service, cold)
        return name

    async def restart_upstream(self, name: str) -> None:
        """Start a crashed upstream again, cold, under the id that it had."""
        crashed = self.upstreams[name]
        self.retired.append(crashed)
        await self._start_upstream(name, crashed.data_centre, crashed.service, True)

    async def _start_upstream(
        self,
        name: str,
        data_centre: str,
        service: str,
        cold: bool,
        port: int = 0,
    ) -> None:
        if self._upstream_workers:
            stand_in, tcp_proxy = await self._upstream_workers.start(
                name, service, self._rng.random(), port
            )
        else:
            stand_in, tcp_proxy = await self._start_here(name, service)
        if cold:
            stand_in.turn_cold(reported=True)
        started = ProxiedUpstream(stand_in, tcp_proxy, service, data_centre)
        if self.site.services:
            started.born = time.time_ns() // 1_000_000
        self.upstreams[name] = started
        self.register(name, data_centre)

    async def _start_here(
        self, name: str, service: str
    ) -> tuple[upstream.Upstream | site_upstream.SiteUpstream, proxy.Proxy]:
        if self.site.services:
            found = next(each for each in self.site.services if each.name == service)
            routes = self.site.routes
            rng = random.Random(self._rng.random())
            stand_in = site_upstream.SiteUpstream(name, found, routes, rng)
            port = await self._nursery.start(stand_in.run)
        else:
            stand_in = upstream.Upstream(name, slots=8)
            listeners = await self._nursery.start(
                functools.partial(http_server.serve, "127.0.0.1", 0, stand_in.handle)
            )
            port = listeners[0].socket.getsockname()[1]
        tcp_proxy = proxy.Proxy(port)
        await self._nursery.start(tcp_proxy.run)
        return stand_in, tcp_proxy

    async def reuse_address(self, former: ProxiedUpstream, service: str) -> str:
        """Start an upstream at the address of one that is gone; return its id.

        Only for upstreams that other processes play, without a proxy.
        """
        self._started_upstreams += 1
        its_name = f"u{self._started_upstreams - 1}"
        port = former.tcp_proxy.port
        await self._start_upstream(its_name, former.data_centre, service, True, port)
        return its_name

    async def collect(self) -> None:
        """Fetch what upstreams recorded in other processes."""
        if self._upstream_workers:
            await self._upstream_workers.collect(self.observations)

    def register(self, name: str, data_centre: str, **row: object) -> None:
        """Write the registration of an upstream."""
        registered = self.upstreams[name]
        registered.is_leaving |= row.get("state") == "draining"
        values = {
            "service": registered.service,
            "data_centre": data_centre,
            "born": registered.born,
            "sequence": registered.sequence,
            **row,
        }
        if self.site.services:
            values["cold_seconds"] = round(registered.stand_in.cold_left(), 3)
            registered.stand_in.cold_reported = True
        address = f"{registered.tcp_proxy.host}:{registered.tcp_proxy.port}"
        row_value = upstream.registration(registered.stand_in, address, **values)
        self.store.put("servers", name, row_value)

    def retire(self, name: str) -> None:
        """Remove the registration of an upstream, but keep its executions."""
        self.store.remove("servers", name)
        self.retired.append(self.upstreams.pop(name))

    def start_vm(self, vm: Vm) -> None:
        """Write the settings of a VM and start its process."""
        self.write_settings(vm, self.vms[:3])
        self.start_process(vm)

    def settings_path(self, vm: Vm) -> pathlib.Path:
        """Return the path of a VM's settings file."""
        return self._directory / f"{vm.name}.toml"

    def write_settings(self, vm: Vm, seeds: list[Vm]) -> None:
        """Write the settings file of a VM."""
        text = boot_file.render(
            vm.name,
            vm.host,
            FIRST_PORT,
            vm.store_proxy.port,
            vm.data_centre,
            vm.region,
            seeds=[each.host for each in seeds],
            bounds=self.site.bounds,
            limits=self.site.limits,
            data_centres=self.site.data_centres,
        )
        self.settings_path(vm).write_text(text)

    def start_process(self, vm: Vm) -> None:
        """Start a process of a VM, whose settings file may come later."""
        vm.incarnation += 1
        arguments = daemon_arguments(self._daemon_root)
        if self._start_module == STEPPED_CLOCK:
            arguments = ["-S", "-m", STEPPED_CLOCK, str(self._clock_path(vm))]
        elif self._start_module:
            arguments = ["-S", "-m", self._start_module, str(self._directory)]
        # The libraries are found by their path, since ``site`` may not be loaded.
        libraries = sysconfig.get_path("purelib")
        python_path = (self._daemon_root / "src", _ROOT, libraries)
        self._processes.start(
            vm.process,
            arguments,
            environment={
                "RATTANLUG_BOOT": str(self.settings_path(vm)),
                "PYTHONPATH": os.pathsep.join(map(str, python_path)),
            },
        )
        vm.is_up = True

    def _clock_path(self, vm: Vm) -> pathlib.Path:
        return self._directory / f"{vm.name}.clock"

    def step_clock(self, vm: Vm, seconds: float) -> None:
        """Set by how much a VM's time of day is off."""
        written = self._clock_path(vm).with_suffix(".new")
        written.write_text(str(seconds))
        written.replace(self._clock_path(vm))

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

    async def wait_served(self, vm: Vm) -> None:
        """Wait until a VM accepts connections of callers and says that it is ready."""
        await self.wait_ready(vm)
        while True:
            with contextlib.suppress(*http_client.FAILURES):
                answer = await http_client.request(
                    vm.host, FIRST_PORT + 1, "GET", "/readyz", timeout=1.0
                )
                if answer.status == 200:
                    return
            await trio.sleep(_READINESS_POLL_SECONDS)

    def reload(self, name: str) -> None:
        """Send SIGHUP to a process, unless it is not yet prepared for the signal."""
        if self._processes.exit_code(name) is not None:
            return
        if self.handles(name, signal.SIGHUP):
            self._processes.signal(name, signal.SIGHUP)
        else:
            now = trio.current_time()
            self.observations.record_event(now, "reload before preparation", name)

    def handles(self, name: str, number: signal.Signals) -> bool:
        """Return whether a process runs and catches or ignores a signal."""
        if self._processes.exit_code(name) is not None:
            return False
        status = pathlib.Path(f"/proc/{self._processes.pid(name)}/status").read_text()
        masks = dict(line.partition(":")[::2] for line in status.splitlines())
        handled = int(masks["SigCgt"], 16) | int(masks["SigIgn"], 16)
        return bool(handled & 1 << number - 1)

    def signal_process(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, also one that a later one has replaced."""
        if self._processes.exit_code(name) is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._stopped.add(name)
            vm, now = name.rpartition("-")[0], trio.current_time()
            if number is signal.SIGKILL:
                self.observations.kills[vm].append(now)
            elif number is signal.SIGTERM:
                self.observations.terminations[vm].append(now)
            self._processes.signal(name, number)

    def signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the process of a VM."""
        self.signal_process(vm.process, number)

    async def wait_end(self, vm: Vm, seconds: float) -> int | None:
        """Return the exit code of a VM's process, or None if it is still running."""
        return await self.wait_process(vm.process, seconds)

    async def wait_process(self, name: str, seconds: float) -> int | None:
        """Return the exit code of a process, or None if it is still running."""
        return await self._processes.wait(name, seconds)

    def running(self) -> dict[str, int]:
        """Return the ids of all running processes, by name."""
        return {
            each: self._processes.pid(each)
            for each in self._processes.names
            if self._processes.exit_code(each) is None
        }

    def unexpected_ends(self) -> list[str]:
        """Return the processes that exited without having been stopped or killed.

        Each with its exit code and the end of its log.
        """
        return [
            f"{each} ended with {self._processes.exit_code(each)}: "
            f"{self._processes.read_log(each)[-_LOG_TAIL_CHARACTERS:]!r}"
            for each in self._processes.names
            if each not in self._stopped and self._processes.exit_code(each) is not None
        ]

    def all_upstreams(self) -> list[ProxiedUpstream]:
        """Return all upstreams that were ever started."""
        return list(dict.fromkeys([*self.retired, *self.upstreams.values()]))

    def executions(self) -> list[upstream.Execution]:
        """Return the requests that any upstream executed."""
        return [
            run for each in self.all_upstreams() for run in each.stand_in.executions
        ]

    def end(self) -> None:
        """Stop all processes."""
        self._processes.end_all()
        if self._upstream_workers:
            self._upstream_workers.end()
