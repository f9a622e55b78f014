"""Starts VMs again whose process ended by itself."""

import trio

from soak import deployment as deployment_module
from soak import site_faults

_INTERVAL_SECONDS = 0.05


async def run(deployed: deployment_module.Deployment) -> None:
    """Start the process of each VM that should be up again, until cancelled."""
    async with trio.open_nursery() as nursery:
        while True:
            running = deployed.running()
            for vm in deployed.vms:
                if vm.incarnation and vm.process not in running:
                    if site_faults.claim(vm):
                        nursery.start_soon(_start, deployed, vm)
            await trio.sleep(_INTERVAL_SECONDS)


async def _start(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm
) -> None:
    now = trio.current_time()
    deployed.observations.record_event(now, "vm ended", vm.process)
    # Excuses no request that the end of the process broke off.
    interval = deployed.observations.begin_stop(vm.name, now)
    deployed.start_vm(vm)
    vm.is_up = False
    await site_faults.start(deployed, vm, now)
    vm.is_up = True
    interval[1] = trio.current_time()
