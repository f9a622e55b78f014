"""Operations on a running deployment for injecting failures."""

import collections
import contextlib
import json
import pathlib
import signal
from collections.abc import AsyncIterator
from typing import Any

import trio

from trial import clock, deployment, http_client, launcher
from trial.failures import facts
from trial.relay import plan
from trial.steps import context

_EXIT_TIMEOUT_S = 3.0
_STOP_TIMEOUT_S = 25.0
# A restarted VM fetches the configuration and waits for its seat to expire (11 s).
_SERVING_TIMEOUT_S = 30.0
# Covers a lease of 5 s and an outage of the platform of 12 s.
_STEERING_TIMEOUT_S = 20.0
_POLL_S = 0.1


class FailureContext(context.Context):
    """The running deployment, with VMs that fail and are restarted.

    Parameters
    ----------
    *args
        As for `context.Context`.
    directory : pathlib.Path
        For the records of killed upstreams.
    """

    def __init__(self, *args: Any, directory: pathlib.Path):
        super().__init__(*args)
        self.failure_facts = facts.FailureFacts()
        self.upstream_records: dict[str, list[dict[str, Any]]] = {}
        self._directory = directory
        self._down_upstreams: set[str] = set()
        self._unavailable: collections.Counter[str] = collections.Counter()
        self._cut_links: collections.Counter[tuple[str, str]] = collections.Counter()

    @property
    def live(self) -> list[deployment.VmPlace]:
        """VMs that run and can reach the others."""
        return [each for each in super().live if not self._unavailable[each.vm]]

    def record_event(self, text: str) -> float:
        """Record an event; return its time."""
        event = facts.Event(clock.now(), text)
        self.failure_facts.events.append(event)
        return event.at

    def place_of(self, vm: str) -> deployment.VmPlace:
        """Return the data centre and addresses of a VM."""
        return next(each for each in self.places.vms if each.vm == vm)

    def vms_in(self, data_centres: tuple[str, ...]) -> list[deployment.VmPlace]:
        """Return the VMs of some data centres."""
        return [each for each in self.places.vms if each.data_centre in data_centres]

    @contextlib.contextmanager
    def unavailable(self, vms: list[str]):
        """Exclude VMs from `live`."""
        self._unavailable.update(vms)
        try:
            yield
        finally:
            self._unavailable.subtract(vms)

    @contextlib.contextmanager
    def isolation(self, vms: list[str]):
        """Record the period during which VMs can reach nothing."""
        began = clock.now()
        periods = self.facts.isolated
        # Unbounded until its end is known, so that no check applies too short a bound.
        open_period = (began, float("inf"))
        for vm in vms:
            periods.setdefault(vm, []).append(open_period)
        try:
            yield
        finally:
            for vm in vms:
                periods[vm].remove(open_period)
                periods[vm].append((began, clock.now()))

    async def save_violations(self, place: deployment.VmPlace) -> None:
        """Save the violation counts of a VM, which its restart resets."""
        counts = await self.launch.read_violations(place)
        for name, count in counts.items():
            counts_by_vm = self.facts.violations.setdefault(name, {})
            counts_by_vm[f"{place.vm} before restart {len(counts_by_vm)}"] = count

    @contextlib.asynccontextmanager
    async def killed(self, place: deployment.VmPlace) -> AsyncIterator[None]:
        """Kill a VM; restart it at the same address on exit."""
        await self.save_violations(place)
        with self.unavailable([place.vm]):
            began = self.record_event(f"kill {place.vm}")
            # Unbounded until the VM listens again.
            outages = self.facts.outages.setdefault(place.vm, [])
            outages.append((began, float("inf")))
            self.processes.signal(place.vm, signal.SIGKILL)
            code = await self.processes.wait(place.vm, _EXIT_TIMEOUT_S)
            if code is None:
                raise context.StepError(f"{place.vm} did not end")
            try:
                yield
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(20):
                    await self._restart(place)
                outages.remove((began, float("inf")))
                outages.append((began, clock.now()))
            await self.wait_serving(place)

    @contextlib.asynccontextmanager
    async def paused(self, place: deployment.VmPlace) -> AsyncIterator[None]:
        """Suspend a VM's process with SIGSTOP; resume it on exit."""
        with self.unavailable([place.vm]), self.isolation([place.vm]):
            self.record_event(f"pause {place.vm}")
            self.processes.signal(place.vm, signal.SIGSTOP)
            try:
                yield
            finally:
                self.processes.signal(place.vm, signal.SIGCONT)
                self.record_event(f"continue {place.vm}")

    async def stop_gracefully(self, place: deployment.VmPlace) -> float:
        """Stop a VM gracefully and restart it; return the stop's duration, seconds."""
        await self.launch.set_vm_state(place, "leaving")
        await self.save_violations(place)
        with self.unavailable([place.vm]):
            began = self.record_event(f"stop {place.vm}")
            self.processes.signal(place.vm, signal.SIGTERM)
            code = await self.processes.wait(place.vm, _STOP_TIMEOUT_S)
            duration_s = clock.now() - began
            await self._restart(place)
            if code != 0:
                raise context.StepError(f"{place.vm} ended with {code}")
            await self.wait_serving(place)
        return duration_s

    async def _restart(self, place: deployment.VmPlace) -> None:
        self.launch.start_daemon(place)
        await self.launch.set_vm_state(place, "live")
        self._versions.pop(place.vm, None)
        while (await self.launch.read_state(place)).startswith("unreachable"):
            if self.processes.exit_code(place.vm) is not None:
                log = self.processes.read_log(place.vm)
                raise context.StepError(f"{place.vm} did not restart\n{log}")
            await trio.sleep(_POLL_S)
        self.record_event(f"{place.vm} listens")

    async def wait_serving(
        self, place: deployment.VmPlace, timeout: float = _SERVING_TIMEOUT_S
    ) -> None:
        """Wait until a VM serves.

        Raises
        ------
        context.StepError
        """
        state = ""
        with trio.move_on_after(timeout):
            while state != "serving":
                state = await self.launch.read_state(place)
                await trio.sleep(_POLL_S)
        if state != "serving":
            raise context.StepError(f"{place.vm} is {state!r} after {timeout:g} s")

    @contextlib.asynccontextmanager
    async def cut(
        self, data_centres: tuple[str, ...], scope: str
    ) -> AsyncIterator[None]:
        """Cut data centres off the others or the platform; heal the links on exit."""
        pairs = self._cut_pairs(data_centres, scope)
        vms = [each.vm for each in self.vms_in(data_centres)]
        isolated_vms = vms if scope == facts.EVERYTHING else []
        self._cut_links.update(pairs)
        with self.unavailable(isolated_vms), self.isolation(isolated_vms):
            await self._apply_cuts()
            began = self.record_event(f"cut {'+'.join(data_centres)} from {scope}")
            try:
                yield
            finally:
                self._cut_links.subtract(pairs)
                ended = clock.now()
                with trio.CancelScope(shield=True):
                    await self._apply_cuts()
                self.record_event(f"healed {'+'.join(data_centres)}")
        self.failure_facts.cuts.append(facts.Cut(scope, data_centres, began, ended))

    def _cut_pairs(self, inside: tuple[str, ...], scope: str) -> list[tuple[str, str]]:
        outside = [name for name, _ in self.plan.data_centres if name not in inside]
        pairs = []
        if scope != facts.PLATFORM:
            pairs += [(first, second) for first in inside for second in outside]
        if scope != facts.PEERS:
            pairs += [(first, plan.PLATFORM) for first in inside]
        return pairs

    async def _apply_cuts(self) -> None:
        await self.launch.cut(
            [list(each) for each, count in self._cut_links.items() if count]
        )

    async def control_platform(self, **condition: Any) -> None:
        """Change the condition of the platform."""
        await self._post(self.places.platform_host, deployment.PLATFORM_PORT, condition)

    @contextlib.asynccontextmanager
    async def platform_mode(self, mode: str, **condition: Any) -> AsyncIterator[None]:
        """Set the platform's mode; set it to ``up`` on exit."""
        await self.control_platform(mode=mode, **condition)
        delay = f", delay {condition['delay']:.2f} s" if condition.get("delay") else ""
        began = self.record_event(f"platform {mode}{delay}")
        try:
            yield
        finally:
            with trio.CancelScope(shield=True):
                await self.control_platform(mode="up")
            ended = self.record_event("platform up")
            self.failure_facts.outages.append(facts.Outage(mode, began, ended))

    async def control_upstream(
        self, place: deployment.UpstreamPlace, **behaviour: Any
    ) -> None:
        """Change the behaviour of an upstream; a killed one is skipped."""
        if place.name in self._down_upstreams:
            return
        await self._post(place.host, deployment.UPSTREAM_PORT, behaviour)

    def is_down(self, place: deployment.UpstreamPlace) -> bool:
        """Return whether an upstream was killed and not restarted yet."""
        return place.name in self._down_upstreams

    async def crash_upstream(self, place: deployment.UpstreamPlace) -> None:
        """Have an upstream write its record and kill itself; read the record."""
        self._down_upstreams.add(place.name)
        self.record_event(f"kill {place.name}")
        records = self.upstream_records.setdefault(place.name, [])
        path = self._directory / f"{place.name}-record-{len(records)}.json"
        with contextlib.suppress(*http_client.FAILURES):
            await http_client.request(
                place.host,
                deployment.UPSTREAM_PORT,
                "POST",
                "/.crash",
                {"record": str(path)},
            )
        if await self.processes.wait(place.name, _EXIT_TIMEOUT_S) is None:
            raise context.StepError(f"{place.name} did not end")
        records.append(json.loads(path.read_text()))

    async def restart_upstream(self, place: deployment.UpstreamPlace) -> None:
        """Restart a killed upstream and wait until it responds."""
        self.launch.start_upstream(place)
        with trio.move_on_after(_SERVING_TIMEOUT_S):
            while self.is_down(place):
                with contextlib.suppress(*http_client.FAILURES):
                    await http_client.request(
                        place.host, deployment.UPSTREAM_PORT, "GET", "/.load"
                    )
                    self._down_upstreams.discard(place.name)
                await trio.sleep(_POLL_S)
        if self.is_down(place):
            raise context.StepError(f"{place.name} did not restart")
        self.record_event(f"{place.name} listens")

    async def _post(self, host: str, port: int, data: dict[str, Any]) -> None:
        response = await http_client.request(host, port, "POST", "/.control", data)
        if response.status != 200:
            raise launcher.LaunchError(
                f"{host}: {response.status} {response.body[:200]!r}"
            )

    async def find_steering_vm(self) -> deployment.VmPlace:
        """Return the live VM that holds the lease of the moves.

        Raises
        ------
        context.StepError
            None held it, or the platform did not respond, within 20 s.
        """
        with trio.move_on_after(_STEERING_TIMEOUT_S):
            while True:
                row = None
                with contextlib.suppress(*http_client.FAILURES):
                    row = await self.launch.read_row("leases", "moves")
                if row is not None and self.place_of(row["vm"]) in self.live:
                    return self.place_of(row["vm"])
                await trio.sleep(_POLL_S)
        raise context.StepError("no live VM holds the lease of the moves")
