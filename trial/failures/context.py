"""What injected failures work with."""

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

_END_TIMEOUT_S = 3.0
_STOP_TIMEOUT_S = 25.0
# A VM that restarts learns the configuration and waits for its seat to lapse (11 s).
_SERVING_TIMEOUT_S = 30.0
# A lease lasts 5 s; an outage of the platform 12 s.
_STEERING_TIMEOUT_S = 20.0
_POLL_S = 0.1


class FailureContext(context.Context):
    """The running deployment, with VMs that come and go.

    Parameters
    ----------
    *args
        As for `context.Context`.
    directory : pathlib.Path
        For the records of upstreams that were killed.
    """

    def __init__(self, *args: Any, directory: pathlib.Path):
        super().__init__(*args)
        self.failures = facts.FailureFacts()
        self.upstream_records: dict[str, list[dict[str, Any]]] = {}
        self._directory = directory
        self._down_upstreams: set[str] = set()
        self._away: collections.Counter[str] = collections.Counter()
        self._cut: collections.Counter[tuple[str, str]] = collections.Counter()

    @property
    def live(self) -> list[deployment.VmPlace]:
        """VMs that run and can reach the others."""
        return [each for each in super().live if not self._away[each.vm]]

    def note(self, text: str) -> float:
        """Note an event; return its time."""
        event = facts.Event(clock.now(), text)
        self.failures.events.append(event)
        return event.at

    def place_of(self, vm: str) -> deployment.VmPlace:
        """Return the place of a VM."""
        return next(each for each in self.places.vms if each.vm == vm)

    def vms_in(self, data_centres: tuple[str, ...]) -> list[deployment.VmPlace]:
        """Return the VMs of some data centres."""
        return [each for each in self.places.vms if each.data_centre in data_centres]

    @contextlib.contextmanager
    def away(self, vms: list[str]):
        """Leave VMs out of `live`."""
        self._away.update(vms)
        try:
            yield
        finally:
            self._away.subtract(vms)

    @contextlib.contextmanager
    def isolated(self, vms: list[str]):
        """Note the period during which VMs could reach nobody."""
        began = clock.now()
        periods = self.facts.isolated
        # An end that is not known yet must not shorten a bound.
        open_period = (began, float("inf"))
        for vm in vms:
            periods.setdefault(vm, []).append(open_period)
        try:
            yield
        finally:
            for vm in vms:
                periods[vm].remove(open_period)
                periods[vm].append((began, clock.now()))

    async def keep_violations(self, place: deployment.VmPlace) -> None:
        """Keep the counts of a VM that is about to end beside those of its restart."""
        counts = await self.launch.read_violations(place)
        for name, count in counts.items():
            kept = self.facts.violations.setdefault(name, {})
            kept[f"{place.vm} before restart {len(kept)}"] = count

    @contextlib.asynccontextmanager
    async def killed(self, place: deployment.VmPlace) -> AsyncIterator[None]:
        """Kill a VM; restart it at the same address at the end."""
        await self.keep_violations(place)
        with self.away([place.vm]):
            began = self.note(f"kill {place.vm}")
            # Open until the VM listens again.
            outages = self.facts.outages.setdefault(place.vm, [])
            outages.append((began, float("inf")))
            self.processes.signal(place.vm, signal.SIGKILL)
            code = await self.processes.wait(place.vm, _END_TIMEOUT_S)
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
        """Stop a VM's process; continue it at the end."""
        with self.away([place.vm]), self.isolated([place.vm]):
            self.note(f"pause {place.vm}")
            self.processes.signal(place.vm, signal.SIGSTOP)
            try:
                yield
            finally:
                self.processes.signal(place.vm, signal.SIGCONT)
                self.note(f"continue {place.vm}")

    async def stop_gracefully(self, place: deployment.VmPlace) -> float:
        """Stop a VM as planned and restart it; return the seconds that it took."""
        await self.launch.list_vm(place, "leaving")
        await self.keep_violations(place)
        with self.away([place.vm]):
            began = self.note(f"stop {place.vm}")
            self.processes.signal(place.vm, signal.SIGTERM)
            code = await self.processes.wait(place.vm, _STOP_TIMEOUT_S)
            took = clock.now() - began
            await self._restart(place)
            if code != 0:
                raise context.StepError(f"{place.vm} ended with {code}")
            await self.wait_serving(place)
        return took

    async def _restart(self, place: deployment.VmPlace) -> None:
        self.launch.start_daemon(place)
        await self.launch.list_vm(place, "live")
        self._versions.pop(place.vm, None)
        while (await self.launch.read_state(place)).startswith("unreachable"):
            if self.processes.exit_code(place.vm) is not None:
                log = self.processes.read_log(place.vm)
                raise context.StepError(f"{place.vm} did not restart\n{log}")
            await trio.sleep(_POLL_S)
        self.note(f"{place.vm} listens")

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
        """Cut data centres off; heal the links at the end."""
        pairs = self._pairs(data_centres, scope)
        vms = [each.vm for each in self.vms_in(data_centres)]
        alone = vms if scope == facts.EVERYTHING else []
        self._cut.update(pairs)
        with self.away(alone), self.isolated(alone):
            await self._send_cuts()
            began = self.note(f"cut {'+'.join(data_centres)} from {scope}")
            try:
                yield
            finally:
                self._cut.subtract(pairs)
                healing = clock.now()
                with trio.CancelScope(shield=True):
                    await self._send_cuts()
                self.note(f"healed {'+'.join(data_centres)}")
        self.failures.cuts.append(facts.Cut(scope, data_centres, began, healing))

    def _pairs(self, inside: tuple[str, ...], scope: str) -> list[tuple[str, str]]:
        outside = [name for name, _ in self.plan.data_centres if name not in inside]
        pairs = []
        if scope != facts.PLATFORM:
            pairs += [(first, second) for first in inside for second in outside]
        if scope != facts.PEERS:
            pairs += [(first, plan.PLATFORM) for first in inside]
        return pairs

    async def _send_cuts(self) -> None:
        await self.launch.cut(
            [list(each) for each, count in self._cut.items() if count]
        )

    async def control_platform(self, **condition: Any) -> None:
        """Change the condition of the platform."""
        await self._post(self.places.platform_host, deployment.PLATFORM_PORT, condition)

    @contextlib.asynccontextmanager
    async def platform_mode(self, mode: str, **more: Any) -> AsyncIterator[None]:
        """Put the platform in a mode; it is up again at the end."""
        await self.control_platform(mode=mode, **more)
        delay = f", delay {more['delay']:.2f} s" if more.get("delay") else ""
        began = self.note(f"platform {mode}{delay}")
        try:
            yield
        finally:
            with trio.CancelScope(shield=True):
                await self.control_platform(mode="up")
            ended = self.note("platform up")
            self.failures.outages.append(facts.Outage(mode, began, ended))

    async def control_upstream(
        self, place: deployment.UpstreamPlace, **behaviour: Any
    ) -> None:
        """Change the behaviour of an upstream, unless it was killed."""
        if place.name in self._down_upstreams:
            return
        await self._post(place.host, deployment.UPSTREAM_PORT, behaviour)

    def is_down(self, place: deployment.UpstreamPlace) -> bool:
        """Return whether an upstream was killed and not restarted yet."""
        return place.name in self._down_upstreams

    async def crash_upstream(self, place: deployment.UpstreamPlace) -> None:
        """Kill an upstream; its record survives."""
        self._down_upstreams.add(place.name)
        self.note(f"kill {place.name}")
        kept = self.upstream_records.setdefault(place.name, [])
        path = self._directory / f"{place.name}-record-{len(kept)}.json"
        with contextlib.suppress(*http_client.FAILURES):
            await http_client.request(
                place.host,
                deployment.UPSTREAM_PORT,
                "POST",
                "/.crash",
                {"record": str(path)},
            )
        if await self.processes.wait(place.name, _END_TIMEOUT_S) is None:
            raise context.StepError(f"{place.name} did not end")
        kept.append(json.loads(path.read_text()))

    async def restart_upstream(self, place: deployment.UpstreamPlace) -> None:
        """Start an upstream that was killed and wait until it answers."""
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
        self.note(f"{place.name} listens")

    async def _post(self, host: str, port: int, data: dict[str, Any]) -> None:
        reply = await http_client.request(host, port, "POST", "/.control", data)
        if reply.status != 200:
            raise launcher.LaunchError(f"{host}: {reply.status} {reply.body[:200]!r}")

    async def find_steering_vm(self) -> deployment.VmPlace:
        """Return the live VM that holds the lease of the moves.

        Raises
        ------
        context.StepError
            None does, or the platform does not answer, for too long.
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
