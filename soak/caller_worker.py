"""Callers of a site in processes of their own."""

import random
from typing import Any, NamedTuple

import trio

from soak import deployment as deployment_module
from soak import faults, history, site_callers, sites, stalls, worker

# Changes of VMs and keys reach the callers after this time.
_UPDATE_SECONDS = 0.1


class Address(NamedTuple):
    """What callers know of a VM."""

    name: str
    host: str
    data_centre: str
    region: str


class Callers:
    """Plays callers; has the attributes of a deployment that callers use.

    Parameters
    ----------
    nursery : trio.Nursery
    site : sites.Site
    """

    def __init__(self, nursery: trio.Nursery, site: sites.Site) -> None:
        self._nursery = nursery
        self.site = site
        self.observations = history.History(site)
        self.vms: list[Address] = []
        self.organisations: dict[str, dict] = {}
        self.added_routes: list[str] = []
        nursery.start_soon(stalls.watch, self.observations)

    def update(
        self, vms: list[Address], organisations: dict[str, dict], routes: list[str]
    ) -> None:
        """Replace what callers know."""
        self.vms, self.organisations, self.added_routes = vms, organisations, routes

    def start(self, indices: range, seed: str, rate: float, seconds: float) -> None:
        """Start callers that send for some seconds."""
        self._nursery.start_soon(self._send, indices, seed, rate, seconds)

    async def _send(
        self, indices: range, seed: str, rate: float, seconds: float
    ) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for index in indices:
                    rng = random.Random(f"{seed} {index}")
                    caller = site_callers.SiteCaller(index, self, rng, rate)
                    nursery.start_soon(caller.run)

    def burst(self, vm: str, key: str, first: int, seed: float) -> None:
        """Start a burst at a VM, see `faults.play_burst`."""
        found = next(each for each in self.vms if each.name == vm)
        rng = random.Random(seed)
        self._nursery.start_soon(
            faults.play_burst, self.observations, found, key, first, rng
        )

    async def collect(self) -> tuple[list, dict, list]:
        """Return exchanges, disconnects and stalls."""
        seen = self.observations
        await stalls.settle()
        stalls.attribute(seen)
        return seen.exchanges, seen.disconnects, seen.stalls[history.RUN]


class CallerWorkers:
    """The callers of a run, spread over processes.

    Parameters
    ----------
    deployed : deployment.Deployment
    seed : int
    """

    def __init__(self, deployed: deployment_module.Deployment, seed: int) -> None:
        self._deployed = deployed
        self._seed = seed
        site = deployed.site
        self._workers = [worker.Worker(Callers, site) for _ in range(site.workers)]
        self._sent: Any = None

    @property
    def pids(self) -> dict[str, int]:
        """Ids of the processes, by name."""
        return {
            f"callers {index}": each.pid for index, each in enumerate(self._workers)
        }

    async def run(self) -> None:
        """Keep the workers informed until cancelled."""
        while True:
            self._update()
            await trio.sleep(_UPDATE_SECONDS)

    def _update(self) -> None:
        vms = [
            Address(each.name, each.host, each.data_centre, each.region)
            for each in self._deployed.vms
        ]
        known = (vms, self._deployed.organisations, list(self._deployed.added_routes))
        if repr(known) != self._sent:
            self._sent = repr(known)
            for each in self._workers:
                each.send("update", *known)

    def start(self, rate: float, seconds: float = float("inf")) -> None:
        """Start as many callers as the site has, with a rate of each per second."""
        self._update()
        first = self._deployed.callers
        self._deployed.callers += self._deployed.site.callers
        last = self._deployed.callers
        for number, each in enumerate(self._workers):
            indices = range(first + number, last, len(self._workers))
            each.send("start", indices, f"{self._seed} callers", rate, seconds)

    def start_burst(self, vm: str, key: str, first: int, seed: float) -> None:
        """Start a burst at a VM, in one of the processes."""
        self._update()
        chosen = self._workers[int(seed * len(self._workers))]
        chosen.send("burst", vm, key, first, seed)

    async def collect(self) -> None:
        """Add what the callers observed to the observations of the run."""
        seen = self._deployed.observations
        for index, each in enumerate(self._workers):
            exchanges, disconnects, stalled = await each.call("collect")
            seen.exchanges.extend(exchanges)
            seen.disconnects.update(disconnects)
            seen.stalls[f"callers {index}"] = stalled

    def end(self) -> None:
        """End the processes."""
        for each in self._workers:
            each.end()
