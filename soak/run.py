"""One run of the soak test."""

import pathlib
import random
import tempfile
from typing import NamedTuple

import trio

from soak import callers, deployment, faults, guarantees, history, small_vm

FAULT_FREE_SECONDS = 8.0
# Time from the end of the faults until nearly all requests succeed again; part of the
# fault-free time.
RECOVERY_SECONDS = 4.0
# Mean time between faults; most faults last longer, so that they overlap.
MEAN_FAULT_INTERVAL_SECONDS = 0.9

MEAN_BURST_INTERVAL_SECONDS = 3.0
_CALLERS = 24
_REQUESTS_PER_SECOND = 5.0


class Options(NamedTuple):
    """Parameters of a run.

    Attributes
    ----------
    seed : int
    seconds : float
        Duration of fault injection.
    vms, upstreams : int
    first_vm_cpu_share : float
        CPU share of the first VM, which then receives all bursts of callers; 0 means
        no limit.
    """

    seed: int
    seconds: float
    vms: int = 6
    upstreams: int = 9
    first_vm_cpu_share: float = 0.0


class Outcome(NamedTuple):
    """Result of a run.

    Attributes
    ----------
    requests, served : int
    injected : tuple of str
        Time and name of each fault, in order.
    broken : dict of str to list of str
        Violations by guarantee.
    logs : str
        Directory with the logs of the daemons.
    """

    requests: int
    served: int
    injected: tuple[str, ...]
    broken: dict[str, list[str]]
    logs: str


async def execute(options: Options) -> Outcome:
    """Execute one run and check its guarantees."""
    rng = random.Random(options.seed)
    observations = history.History()
    directory = tempfile.mkdtemp(prefix=f"rattanlug-soak-{options.seed}-")
    injected: list[str] = []
    async with trio.open_nursery() as nursery:
        deployed = deployment.Deployment(
            nursery, pathlib.Path(directory), observations, options.vms
        )
        try:
            await deployed.start(options.upstreams)
            if options.first_vm_cpu_share:
                first = deployed.vms[0]
                deployed.burst_targets = [first]
                nursery.start_soon(
                    small_vm.limit_cpu, deployed, first, options.first_vm_cpu_share
                )
            for index in range(_CALLERS):
                caller = callers.Caller(
                    index, deployed, random.Random(rng.random()), _REQUESTS_PER_SECOND
                )
                nursery.start_soon(caller.run)
            await trio.sleep(2.0)
            async with trio.open_nursery() as bursts:
                # A separate generator: bursts must not change the faults of a seed.
                burst_rng = random.Random(f"{options.seed} bursts")
                bursts.start_soon(_send_bursts, deployed, burst_rng)
                await _inject(deployed, rng, options.seconds, injected)
                bursts.cancel_scope.cancel()
            await trio.sleep(RECOVERY_SECONDS)
            observations.record_event(trio.current_time(), "calm")
            await trio.sleep(FAULT_FREE_SECONDS - RECOVERY_SECONDS)
            unexpected = deployed.unexpected_ends()
        finally:
            deployed.end()
        nursery.cancel_scope.cancel()
    executions: dict[str, list] = {}
    for each in deployed.executions():
        executions.setdefault(each.request_id, []).append(each)
    broken = guarantees.broken(observations, executions)
    if unexpected:
        broken["processes_do_not_end_by_themselves"] = unexpected
    served = sum(each.status == 200 for each in observations.exchanges)
    return Outcome(
        len(observations.exchanges), served, tuple(injected), broken, directory
    )


async def _send_bursts(deployed: deployment.Deployment, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.expovariate(1.0 / MEAN_BURST_INTERVAL_SECONDS))
        await faults.send_disconnecting_burst(deployed, rng)


async def _inject(
    deployed: deployment.Deployment,
    rng: random.Random,
    seconds: float,
    injected: list[str],
) -> None:
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        while trio.current_time() - started_at < seconds:
            name = rng.choice(sorted(faults.FAULTS))
            injected.append(f"{trio.current_time() - started_at:.2f} {name}")
            nursery.start_soon(
                faults.FAULTS[name], deployed, random.Random(rng.random())
            )
            await trio.sleep(rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS))
