"""Takes entry VMs away."""

import signal

from trial import clock
from trial.steps import context, registry

_KILL_TIMEOUT_S = 2.0
# A VM leaves the look-up answers for 5 s, finishes requests of up to 10 s and settles.
_STOP_TIMEOUT_S = 20.0


@registry.step("kill an entry VM", at=0.5, vms=1)
async def kill_vm(running: context.Context) -> str:
    """Kill the last live VM."""
    place = running.live[-1]
    await running.read_violations(place)
    running.facts.killed[place.vm] = clock.now()
    running.processes.signal(place.vm, signal.SIGKILL)
    code = await running.processes.wait(place.vm, _KILL_TIMEOUT_S)
    if code is None:
        raise context.StepError(f"{place.vm} did not end")
    await running.launch.list_vm(place, None)
    return f"{place.vm}, exit code {code}"


@registry.step("stop an entry VM gracefully", at=0.55, vms=1)
async def stop_vm(running: context.Context) -> str:
    """Stop the second live VM and wait for its exit code."""
    place = running.live[1]
    await running.launch.list_vm(place, "leaving")
    await running.read_violations(place)
    began = clock.now()
    running.facts.stopped[place.vm] = began
    running.processes.signal(place.vm, signal.SIGTERM)
    code = await running.processes.wait(place.vm, _STOP_TIMEOUT_S)
    await running.launch.list_vm(place, None)
    if code != 0:
        raise context.StepError(f"{place.vm} ended with {code}")
    return f"{place.vm} ended with 0 after {clock.now() - began:.1f} s"
