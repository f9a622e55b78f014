"""The context in which steps are performed."""

from collections.abc import Callable

import trio

from trial import clock, deployment, http_client, launcher, processes
from trial.checks import evidence

_CHANGE_TIMEOUT_S = 15.0
_IN_FORCE_TIMEOUT_S = 15.0
_POLL_S = 0.05


class StepError(Exception):
    """A step could not be performed."""


class Context:
    """The running deployment.

    Parameters
    ----------
    plan : deployment.Deployment
    places : deployment.Places
    launch : launcher.Launcher
    started : processes.Processes
    facts : evidence.Facts
    seconds : float
        Duration of the load.
    rate : float
        Requests/s of the load.
    """

    def __init__(
        self,
        plan: deployment.Deployment,
        places: deployment.Places,
        launch: launcher.Launcher,
        started: processes.Processes,
        facts: evidence.Facts,
        seconds: float,
        rate: float,
    ):
        self.plan = plan
        self.places = places
        self.launch = launch
        self.processes = started
        self.facts = facts
        self.seconds = seconds
        self.rate = rate
        self._versions: dict[str, int] = {}
        self._changing = trio.Lock()

    @property
    def live(self) -> list[deployment.VmPlace]:
        """VMs that were neither killed nor stopped."""
        gone = self.facts.killed.keys() | self.facts.stopped.keys()
        return [each for each in self.places.vms if each.vm not in gone]

    async def change_rules(self, edit: Callable[[list[str]], list[str]]) -> float:
        """Apply a change of rules through any live VM.

        Parameters
        ----------
        edit : callable
            Takes the lines of the rules in force and returns the new ones, or equal
            lines if the change is in force already.

        Returns
        -------
        float
            Time of the acceptance, on `clock.now`.
        """
        async with self._changing:
            failure: Exception = StepError("no VM is live")
            with trio.move_on_after(_CHANGE_TIMEOUT_S):
                while True:
                    for place in self.live:
                        try:
                            return await self._change_at(place, edit)
                        except (launcher.LaunchError, *http_client.FAILURES) as exc:
                            failure = exc
                        await trio.sleep(_POLL_S)
            raise StepError(f"rules were not accepted: {failure!r}")

    async def _change_at(
        self, place: deployment.VmPlace, edit: Callable[[list[str]], list[str]]
    ) -> float:
        response = await self.launch.read_rules(place)
        lines = response["rules"].splitlines()
        new_lines = edit(lines)
        if new_lines == lines:
            # An earlier attempt took effect, but its response was lost.
            return clock.now()
        applied = await self.launch.post_rules(place, response["version"], new_lines)
        accepted = clock.now()
        await self._wait_in_force(applied["version"], accepted)
        return accepted

    async def _wait_in_force(self, version: int, accepted: float) -> None:
        waiting = {each.vm for each in self.live}
        with trio.move_on_after(_IN_FORCE_TIMEOUT_S):
            while waiting:
                for place in self.live:
                    if place.vm in waiting and await self._has_reached(place, version):
                        waiting.discard(place.vm)
                waiting &= {each.vm for each in self.live}
                await trio.sleep(_POLL_S)
        self.facts.in_force_s.append((version, clock.now() - accepted))
        if waiting:
            raise StepError(f"version {version} is not in force on {sorted(waiting)}")

    async def _has_reached(self, place: deployment.VmPlace, version: int) -> bool:
        try:
            reported = (await self.launch.read_rules(place))["version"]
        except (launcher.LaunchError, *http_client.FAILURES):
            return False
        before = self._versions.get(place.vm, 0)
        if reported < before:
            self.facts.reverted.append(f"{place.vm}: {reported} after {before}")
        self._versions[place.vm] = reported
        return reported >= version

    async def read_violations(self, place: deployment.VmPlace) -> None:
        """Read the violation counts of a VM, which a restart of the VM resets."""
        counts = await self.launch.read_violations(place)
        for name, count in counts.items():
            self.facts.violations.setdefault(name, {})[place.vm] = count
        self.facts.metrics_read.add(place.vm)
