"""One run of the soak."""

import pathlib
import random
import tempfile
from typing import NamedTuple

import trio

from soak import callers, deployment, faults, history, promises, small_vm

CALM_SECONDS = 8.0
# Within the calm time, service has to be back after this.
RECOVERY_SECONDS = 4.0
# Time from one fault to the next; most last longer, so that they overlap.
GAP_SECONDS = 0.9
# Time from one burst of callers that leave to the next.
BURST_SECONDS = 3.0
_CALLERS = 24
_REQUESTS_PER_SECOND = 5.0


class Options(NamedTuple):
    """What a run is made of.

    Attributes
    ----------
    seed : int
    seconds : float
        Time with faults.
    vms, upstreams : int
    small : float
        Part of a processor that the first VM gets; bursts of callers come to it. 0
        gives every VM a whole one.
    """

    seed: int
    seconds: float
    vms: int = 6
    upstreams: int = 9
    small: float = 0.0


class Outcome(NamedTuple):
    """What a run showed.

    Attributes
    ----------
    requests, served : int
    injected : tuple of str
        Faults, in order, each with its time.
    broken : dict of str to list of str
        What was seen against each promise that was broken.
    logs : str
        Directory with the output of the daemons.
    """

    requests: int
    served: int
    injected: tuple[str, ...]
    broken: dict[str, list[str]]
    logs: str


async def play(options: Options) -> Outcome:
    """Play one run and judge it."""
    rng = random.Random(options.seed)
    seen = history.History()
    directory = tempfile.mkdtemp(prefix=f"rattanlug-soak-{options.seed}-")
    injected: list[str] = []
    async with trio.open_nursery() as nursery:
        deployed = deployment.Deployment(
            nursery, pathlib.Path(directory), seen, options.vms
        )
        try:
            await deployed.start(options.upstreams)
            if options.small:
                first = deployed.vms[0]
                deployed.pressed = [first]
                nursery.start_soon(
                    small_vm.limit_processor, deployed, first, options.small
                )
            for index in range(_CALLERS):
                caller = callers.Caller(
                    index, deployed, random.Random(rng.random()), _REQUESTS_PER_SECOND
                )
                nursery.start_soon(caller.run)
            await trio.sleep(2.0)
            async with trio.open_nursery() as pressing:
                # Draws of its own, so that the faults of a seed stay what they were.
                own = random.Random(f"{options.seed} bursts")
                pressing.start_soon(_press, deployed, own)
                await _inject(deployed, rng, options.seconds, injected)
                pressing.cancel_scope.cancel()
            await trio.sleep(RECOVERY_SECONDS)
            seen.note(trio.current_time(), "calm")
            await trio.sleep(CALM_SECONDS - RECOVERY_SECONDS)
            unexpected = deployed.unexpected_ends()
        finally:
            deployed.end()
        nursery.cancel_scope.cancel()
    runs: dict[str, list] = {}
    for each in deployed.executions():
        runs.setdefault(each.request_id, []).append(each)
    broken = promises.broken(seen, runs)
    if unexpected:
        broken["processes_do_not_end_by_themselves"] = unexpected
    served = sum(each.status == 200 for each in seen.exchanges)
    return Outcome(len(seen.exchanges), served, tuple(injected), broken, directory)


async def _press(deployed: deployment.Deployment, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.expovariate(1.0 / BURST_SECONDS))
        await faults.callers_come_and_leave(deployed, rng)


async def _inject(
    deployed: deployment.Deployment,
    rng: random.Random,
    seconds: float,
    injected: list[str],
) -> None:
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        while trio.current_time() - began < seconds:
            name = rng.choice(sorted(faults.FAULTS))
            injected.append(f"{trio.current_time() - began:.2f} {name}")
            nursery.start_soon(
                faults.FAULTS[name], deployed, random.Random(rng.random())
            )
            await trio.sleep(rng.expovariate(1.0 / GAP_SECONDS))
