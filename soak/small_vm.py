"""Limits the CPU share of a VM's process."""

import signal

import trio

from soak import deployment as deployment_module

# Length of one cycle, in which the process is first stopped and then runs.
PERIOD_SECONDS = 0.1


async def limit_cpu(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm, share: float
) -> None:
    """Stop and continue a VM's process in each period, until cancelled.

    Parameters
    ----------
    deployed : deployment.Deployment
    vm : deployment.Vm
    share : float
        Part of each period in which the process runs, above 0 and below 1.
    """
    while True:
        if not vm.is_paused:
            deployed.signal(vm, signal.SIGSTOP)
        await trio.sleep((1.0 - share) * PERIOD_SECONDS)
        # While the vm_paused fault (soak.faults) suspends the VM, it must stay stopped;
        # the fault sends SIGCONT at its end.
        if not vm.is_paused:
            deployed.signal(vm, signal.SIGCONT)
        await trio.sleep(share * PERIOD_SECONDS)
