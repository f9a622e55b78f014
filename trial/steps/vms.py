"""Steps that kill or stop VMs."""

import collections
import signal

from trial import clock, deployment, http_client
from trial.steps import context, registry

_KILL_TIMEOUT_S = 2.0
# Covers 5 s until look-up answers no longer name the VM, requests of up to 10 s and the
# final settlements.
_STOP_TIMEOUT_S = 20.0


@registry.step("kill an entry VM", at=0.5, vms=1)
async def kill_vm(running: context.Context) -> str:
    """Kill the VM that is the first choice of most callers."""
    place = await _find_busiest(running)
    await running.read_violations(place)
    running.facts.killed[place.vm] = clock.now()
    running.processes.signal(place.vm, signal.SIGKILL)
    code = await running.processes.wait(place.vm, _KILL_TIMEOUT_S)
    if code is None:
        raise context.StepError(f"{place.vm} did not end")
    await running.launch.set_vm_state(place, None)
    return f"{place.vm}, exit code {code}"


@registry.step("stop an entry VM gracefully", at=0.55, vms=1)
async def stop_vm(running: context.Context) -> str:
    """Stop the VM that is the first choice of most callers; wait for its exit."""
    place = await _find_busiest(running)
    await running.launch.set_vm_state(place, "leaving")
    await running.read_violations(place)
    started_at = clock.now()
    running.facts.stopped[place.vm] = started_at
    running.processes.signal(place.vm, signal.SIGTERM)
    code = await running.processes.wait(place.vm, _STOP_TIMEOUT_S)
    await running.launch.set_vm_state(place, None)
    if code != 0:
        raise context.StepError(f"{place.vm} ended with {code}")
    return f"{place.vm} ended with 0 after {clock.now() - started_at:.1f} s"


async def _find_busiest(running: context.Context) -> deployment.VmPlace:
    """Return the live VM that look-up answers name first for most callers."""
    first_choices: collections.Counter[str] = collections.Counter()
    for data_centre, host in running.places.client_hosts.items():
        # Callers ask a VM of their own data centre if one is live.
        queried_vm = min(running.live, key=lambda each: each.data_centre != data_centre)
        reply = await http_client.request(
            queried_vm.host,
            deployment.VM_PORT,
            "GET",
            f"/.rattanlug/lookup?client={host}",
        )
        if reply.status != 200:
            raise context.StepError(f"look-up at {queried_vm.vm}: {reply.status}")
        # Answers may still name a VM that was just killed.
        live = {each.vm for each in running.live}
        answer_vms = [each["vm"] for each in reply.json()["vms"] if each["vm"] in live]
        first_choices.update(answer_vms[:1])
    if not first_choices:
        raise context.StepError("look-up answers name no live VM")
    name = first_choices.most_common(1)[0][0]
    return next(each for each in running.live if each.vm == name)
