"""Planned work in calm: stops, reloads, desired states and replaced upstreams.

Nothing here is an impairment, so that no request without an answer is excused.
"""

import random
import signal

import trio

from soak import deployment as deployment_module
from soak import faults, full_faults, site_faults

FAULTS: dict[str, faults.Fault] = {}
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Longest time after SIGTERM at which another signal comes.
_MAX_SIGNAL_SECONDS = 5.0
_RELOADED_SHARE = 0.5
_RELOAD_GAP_SECONDS = 0.2
_INVALID_SECONDS = 1.0


def fault(function: faults.Fault) -> faults.Fault:
    """Register planned work under the name of its function."""
    FAULTS[function.__name__] = function
    return function


for _function in (
    faults.vms_reloaded,
    faults.state_changed,
    faults.key_withdrawn,
    site_faults.vm_replaced_in_series,
    site_faults.vms_stopped_in_turn,
    site_faults.upstream_added_cold,
    full_faults.vms_added,
    full_faults.vms_rolled,
    full_faults.state_settings_changed,
    full_faults.data_centre_evacuated,
):
    fault(_function)


@fault
async def vm_signalled_again(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop a VM and send further signals until it has ended; start it again."""
    for vm in site_faults.choose(deployed, rng, 1):
        if not site_faults.claim(vm):
            return
        interval = deployed.observations.begin_stop(vm.name, trio.current_time())
        deployed.signal(vm, signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site_faults.stop, deployed, vm, vm.process)
            for _ in range(rng.randint(1, 2)):
                await trio.sleep(rng.uniform(0.0, _MAX_SIGNAL_SECONDS / 2.0))
                deployed.signal(vm, rng.choice(_STOP_SIGNALS))
        deployed.start_vm(vm)
        vm.is_up = False
        await site_faults.start(deployed, vm)
        vm.is_up = True
        interval[1] = trio.current_time()


@fault
async def vms_reloaded_with_changes(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Rewrite the settings of half of the VMs and reload them one after the other."""
    up = [each for each in deployed.vms if each.is_up]
    for vm in rng.sample(up, round(_RELOADED_SHARE * len(up))):
        if vm.is_up:
            deployed.write_settings(vm, rng.sample(deployed.vms, 3))
            deployed.reload(vm.process)
        await trio.sleep(_RELOAD_GAP_SECONDS)


@fault
async def upstream_replaced(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Add a cold upstream in the place of another one, which is drained and removed."""
    staying = sorted(
        name for name, each in deployed.upstreams.items() if not each.is_leaving
    )
    name = rng.choice(staying)
    former = deployed.upstreams[name]
    await deployed.add_upstream(former.data_centre, former.service, cold=True)
    if former.is_leaving:
        return
    deployed.register(name, former.data_centre, state="draining", sequence=9)
    deployed.observations.record_event(trio.current_time(), "upstream leaving", name)
    await trio.sleep(deployed.site.bounds["drain_timeout_s"] + 1.0)
    if deployed.upstreams.get(name) is former:
        former.stand_in.crash()
        deployed.retire(name)


def _remove_hostname(state: dict) -> None:
    del state["virtual_hosts"][0]["hostname"]


def _name_unknown_service(state: dict) -> None:
    state["virtual_hosts"][0]["paths"][0]["service"] = "unknown"


def _set_odd_kind(state: dict) -> None:
    state["virtual_hosts"][0]["paths"][0]["kind"] = "odd"


@fault
async def state_invalid(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Write an invalid desired state, and a valid one a moment later."""
    damages = (_remove_hostname, _name_unknown_service, _set_odd_kind)
    deployed.write_invalid_state(rng.choice(damages))
    deployed.observations.record_event(trio.current_time(), "state invalid")
    await trio.sleep(_INVALID_SECONDS)
    deployed.write_state()
