"""Upstreams of a site in processes of their own."""

import random
from typing import Any

import trio

from soak import history, proxy, site_upstream, sites, stalls, worker


class Upstreams:
    """Plays upstreams, each with a number of the run's.

    Parameters
    ----------
    nursery : trio.Nursery
    site : sites.Site
    host : str
        Address of all of them.
    """

    def __init__(self, nursery: trio.Nursery, site: sites.Site, host: str) -> None:
        self._nursery = nursery
        self._host = host
        self._site = site
        self._stand_ins: dict[int, site_upstream.SiteUpstream] = {}
        self._gates: dict[int, proxy.Gate] = {}
        self.observations = history.History(site)
        nursery.start_soon(stalls.watch, self.observations)

    async def start(
        self, number: int, name: str, service: str, seed: float, port: int
    ) -> int:
        """Start an upstream at a port, any one if it is 0; return the port."""
        found = next(each for each in self._site.services if each.name == service)
        rng = random.Random(seed)
        gate = self._gates[number] = proxy.Gate()
        stand_in = site_upstream.SiteUpstream(name, found, self._site.routes, rng, gate)
        stand_in.parted = self._site.parted
        stand_in.response_bytes = self._site.response_bytes
        self._stand_ins[number] = stand_in
        return await self._nursery.start(stand_in.run, self._host, port)

    def change(self, number: int, name: str, value: Any) -> None:
        """Set an attribute of an upstream."""
        setattr(self._stand_ins[number], name, value)

    def turn_cold(self, number: int, reported: bool) -> None:
        """Make an upstream cold."""
        self._stand_ins[number].turn_cold(reported)

    def crash(self, number: int) -> None:
        """Crash an upstream."""
        self._stand_ins[number].crash()

    def set_mode(self, number: int, mode: proxy.Mode, delay: float) -> None:
        """Set the mode of an upstream's connections."""
        self._gates[number].set_mode(mode, delay)

    def end_gate(self, number: int) -> None:
        """Reset the connections of an upstream from now on."""
        self._gates[number].end()

    def reset_connections(self, number: int) -> None:
        """Reset the connections of an upstream."""
        self._gates[number].reset_connections()

    async def collect(
        self,
    ) -> tuple[dict[int, dict[str, Any]], dict[int, list], list]:
        """Return what each upstream and each gate recorded, and the stalls."""
        await stalls.settle()
        names = (
            "executions",
            "arrivals",
            "broken_off",
            "sent_endlessly",
            "refused",
            "cold_periods",
            "endless_bytes",
        )
        records = {
            number: {name: getattr(each, name) for name in names}
            for number, each in self._stand_ins.items()
        }
        intervals = {key: each.disturbances for key, each in self._gates.items()}
        return records, intervals, self.observations.stalls[history.RUN]


class _Forwarded:
    """An attribute that is set in the worker as well."""

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    def __get__(self, instance: "RemoteUpstream", owner: type) -> Any:
        return instance.__dict__[self._name]

    def __set__(self, instance: "RemoteUpstream", value: Any) -> None:
        instance.__dict__[self._name] = value
        instance.worker.send("change", instance.number, self._name, value)


class RemoteUpstream:
    """An upstream in a worker, used like `site_upstream.SiteUpstream`.

    What it recorded is known after `UpstreamWorkers.collect`.

    Parameters
    ----------
    own_worker : worker.Worker
    number : int
    name : str
    service : sites.Service
    """

    endless = _Forwarded()
    fault = _Forwarded()
    share = _Forwarded()
    slowness = _Forwarded()
    cold_reported = _Forwarded()

    def __init__(
        self, own_worker: worker.Worker, number: int, name: str, service: sites.Service
    ) -> None:
        self.worker = own_worker
        self.number = number
        self.name = name
        self.service = service
        self.slots = service.slots
        self.cold_limit = service.warmup_rate
        self.has_crashed = False
        self.executions: list = []
        self.arrivals: list[site_upstream.Arrival] = []
        self.broken_off: set[str] = set()
        self.sent_endlessly: set[str] = set()
        self.refused = self.cold_periods = self.endless_bytes = 0
        self._cold_until = float("-inf")

    def turn_cold(self, reported: bool) -> None:
        """Become cold, see `site_upstream.SiteUpstream.turn_cold`."""
        self._cold_until = trio.current_time() + self.service.warmup_seconds
        self.worker.send("turn_cold", self.number, reported)

    def cold_left(self) -> float:
        """Return the time until it is warm, in seconds."""
        return max(0.0, self._cold_until - trio.current_time())

    def crash(self) -> None:
        """End all connections and the work on them, and stop listening."""
        self.has_crashed = True
        self.worker.send("crash", self.number)


class RemoteGate:
    """The gate of an upstream in a worker, used like `proxy.Proxy`.

    Parameters
    ----------
    stand_in : RemoteUpstream
    host : str
    """

    def __init__(self, stand_in: RemoteUpstream, host: str) -> None:
        self._stand_in = stand_in
        self.host = host
        self.port = 0
        self.disturbances: list[list[float]] = []

    def set_mode(self, mode: proxy.Mode, delay: float = 0.0) -> None:
        """Set the mode, see `proxy.Gate.set_mode`."""
        self._stand_in.worker.send("set_mode", self._stand_in.number, mode, delay)

    def end(self) -> None:
        """Reset all connections from now on, see `proxy.Gate.end`."""
        self._stand_in.worker.send("end_gate", self._stand_in.number)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        self._stand_in.worker.send("reset_connections", self._stand_in.number)


class UpstreamWorkers:
    """The upstreams of a run, spread over processes.

    Parameters
    ----------
    site : sites.Site
    host : str
    """

    def __init__(self, site: sites.Site, host: str) -> None:
        self._site = site
        self._host = host
        self._workers = [
            worker.Worker(Upstreams, site, host) for _ in range(site.workers)
        ]
        self._started: list[tuple[RemoteUpstream, RemoteGate]] = []

    @property
    def pids(self) -> dict[str, int]:
        """Ids of the processes, by name."""
        return {
            f"upstreams {index}": each.pid for index, each in enumerate(self._workers)
        }

    async def start(
        self, name: str, service: str, seed: float, port: int
    ) -> tuple[RemoteUpstream, RemoteGate]:
        """Start an upstream at a port, any one if it is 0."""
        number = len(self._started)
        chosen = self._workers[number % self._site.workers]
        found = next(each for each in self._site.services if each.name == service)
        stand_in = RemoteUpstream(chosen, number, name, found)
        gate = RemoteGate(stand_in, self._host)
        self._started.append((stand_in, gate))
        gate.port = await chosen.call("start", number, name, service, seed, port)
        return stand_in, gate

    async def collect(self, observations: history.History) -> None:
        """Fetch what the upstreams recorded."""
        for index, each in enumerate(self._workers):
            records, intervals, stalled = await each.call("collect")
            process = f"upstreams {index}"
            observations.stalls[process] = stalled
            for number, values in records.items():
                stand_in, gate = self._started[number]
                vars(stand_in).update(values)
                stand_in.executions = [
                    run._replace(process=process) for run in stand_in.executions
                ]
                gate.disturbances = intervals[number]

    def end(self) -> None:
        """End the processes."""
        for each in self._workers:
            each.end()
