"""Faults of a site that is not scaled down: its spares, its operators, its clocks."""

import random
import signal

import trio

from soak import deployment as deployment_module
from soak import faults, history, site_faults

FAULTS: dict[str, faults.Fault] = {}
# Shares of the VMs and upstreams that one fault changes.
_ADDED_SHARE = 0.75
_FROZEN_SHARE = 0.11
_REUSED_SHARE = 0.18
_STEPPED_SHARE = 0.28
_FROZEN_SECONDS = 3.5
_STEP_SECONDS = 2400.0
_STEPPED_FOR_SECONDS = 6.0
_EVACUATED_SECONDS = 8.0
_ROLLING_GAP_SECONDS = 1.0
_IDLE_TIMEOUTS_SECONDS = (4, 8, 15)
_TIMEOUT_FACTORS = (0.8, 1.0)
# A process that was just started handles SIGHUP within this time.
_PREPARED_SECONDS = 3.0


def fault(function: faults.Fault) -> faults.Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def _share(items: list, share: float, rng: random.Random) -> list:
    return rng.sample(items, min(len(items), max(1, round(share * len(items)))))


@fault
async def vms_added(deployed: deployment_module.Deployment, rng: random.Random) -> None:
    """Add most spares at once while settings change; stop some of them later."""
    site = deployed.site
    if len(deployed.vms) == sum(site.vms):
        for place in site.data_centres[: site.spares]:
            (await deployed.add_vm(*place)).is_spare = True
    spares = [each for each in deployed.vms if each.is_spare]
    if not spares:
        return
    chosen = _share(spares, _ADDED_SHARE, rng)
    others = [each for each in deployed.vms if each.is_up]
    async with trio.open_nursery() as nursery:
        for vm in chosen:
            vm.is_spare = False
            deployed.start_vm(vm)
            vm.is_up = False
            nursery.start_soon(_wait_for_added, deployed, vm)
        for vm in others:
            deployed.write_settings(vm, rng.sample(chosen, min(3, len(chosen))))
            deployed.reload(vm.process)
        deployed.write_state()
        for vm in chosen:
            nursery.start_soon(_reload_when_prepared, deployed, vm, rng.random())
    await trio.sleep(rng.uniform(4.0, 10.0))
    async with trio.open_nursery() as nursery:
        for vm in _share(chosen, 0.5, rng):
            if site_faults.claim(vm):
                nursery.start_soon(_stop_for_good, deployed, vm)


async def _wait_for_added(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm
) -> None:
    # A start excuses no dropped request.
    interval = deployed.observations.begin_stop(vm.name, trio.current_time())
    await site_faults.start(deployed, vm)
    interval[1] = trio.current_time()
    vm.is_up = True


async def _reload_when_prepared(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm, seconds: float
) -> None:
    with trio.move_on_after(_PREPARED_SECONDS):
        while not deployed.handles(vm.process, signal.SIGHUP):
            await trio.sleep(0.01)
        await trio.sleep(seconds)
        deployed.write_settings(vm, deployed.vms[:3])
        deployed.reload(vm.process)


async def _stop_for_good(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm
) -> None:
    interval = deployed.observations.begin_stop(vm.name, trio.current_time())
    deployed.signal(vm, signal.SIGTERM)
    await site_faults.stop(deployed, vm, vm.process)
    interval[1] = trio.current_time()
    vm.is_spare = True


@fault
async def vms_rolled(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop some VMs one after the other; start each again once it has ended."""
    up = [each for each in deployed.vms if each.is_up]
    async with trio.open_nursery() as nursery:
        for vm in _share(up, rng.choice((0.25, 0.45, 1.0)), rng):
            if site_faults.claim(vm):
                nursery.start_soon(_stop_and_start, deployed, vm)
                await trio.sleep(_ROLLING_GAP_SECONDS)


async def _stop_and_start(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm
) -> None:
    interval = deployed.observations.begin_stop(vm.name, trio.current_time())
    deployed.signal(vm, signal.SIGTERM)
    await site_faults.stop(deployed, vm, vm.process)
    deployed.start_vm(vm)
    vm.is_up = False
    await site_faults.start(deployed, vm)
    vm.is_up = True
    interval[1] = trio.current_time()


@fault
async def vms_frozen(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Suspend some VMs together for the time of the site's freezes."""
    up = [each for each in deployed.vms if each.is_up]
    chosen = _share(up, _FROZEN_SHARE, rng)
    now = trio.current_time()
    intervals = [
        deployed.observations.begin_disturbance(each.name, now) for each in chosen
    ]
    for vm in chosen:
        vm.is_up, vm.is_paused = False, True
        deployed.signal(vm, signal.SIGSTOP)
    await trio.sleep(_FROZEN_SECONDS)
    for vm, interval in zip(chosen, intervals, strict=True):
        deployed.signal(vm, signal.SIGCONT)
        vm.is_up, vm.is_paused = True, False
        interval[1] = trio.current_time()


@fault
async def upstream_address_used_again(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Drain and end upstreams; later ones, also of other services, get the addresses.

    The upstreams are replaced so that each service keeps at least as many.
    """
    staying = sorted(
        name
        for name, each in deployed.upstreams.items()
        if not each.is_leaving and not each.stand_in.has_crashed
    )
    names = _share(staying, _REUSED_SHARE, rng)
    bounds = deployed.site.bounds
    observations = deployed.observations
    former = {}
    for name in names:
        former[name] = deployed.upstreams[name]
        observations.record_event(trio.current_time(), "upstream leaving", name)
        deployed.register(name, former[name].data_centre, state="draining", sequence=9)
    await trio.sleep(bounds["drain_timeout_s"] + 1.0)
    names = [name for name in names if deployed.upstreams.get(name) is former[name]]
    for name in names:
        former[name].stand_in.crash()
        deployed.retire(name)
    await trio.sleep(bounds["addr_reuse_s"] + rng.uniform(0.0, 1.0))
    services = [former[name].service for name in names]
    rng.shuffle(services)
    for name, service in zip(names, services, strict=True):
        await deployed.reuse_address(former[name], service)


@fault
async def state_settings_changed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Change the idle timeout and the routes' timeouts."""
    deployed.idle_timeout_seconds = rng.choice(_IDLE_TIMEOUTS_SECONDS)
    deployed.timeout_factor = rng.choice(_TIMEOUT_FACTORS)
    deployed.write_state()
    deployed.observations.record_event(trio.current_time(), "state settings changed")


@fault
async def data_centre_evacuated(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Evacuate a data centre for a while."""
    data_centre = rng.choice(deployed.site.data_centres)[0]
    deployed.store.put("op", f"evacuate/{data_centre}", {})
    deployed.observations.record_event(trio.current_time(), "evacuated", data_centre)
    await trio.sleep(_EVACUATED_SECONDS)
    deployed.store.remove("op", f"evacuate/{data_centre}")


@fault
async def clocks_stepped(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Set the time of day of some VMs forward or back, and true again."""
    chosen = _share(deployed.vms, _STEPPED_SHARE, rng)
    now = trio.current_time()
    subjects = [history.clock_of(each.name) for each in chosen]
    intervals = [
        deployed.observations.begin_disturbance(each, now) for each in subjects
    ]
    for vm in chosen:
        deployed.step_clock(vm, rng.choice((-1, 1)) * _STEP_SECONDS)
    await trio.sleep(_STEPPED_FOR_SECONDS)
    for vm, interval in zip(chosen, intervals, strict=True):
        deployed.step_clock(vm, 0.0)
        interval[1] = trio.current_time()
