"""A VM that gets part of a processor, as small VMs do."""

import signal

import trio

from soak import deployment as deployment_module

# Length of the spans in which a processor's allotment is used up, seconds.
PERIOD_SECONDS = 0.1


async def limit_processor(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm, share: float
) -> None:
    """Let a VM's process run for a part of each period only, until cancelled.

    Parameters
    ----------
    deployed : deployment.Deployment
    vm : deployment.Vm
    share : float
        Part of each period, over 0 and below 1.
    """
    while True:
        if not vm.is_paused:
            deployed.signal(vm, signal.SIGSTOP)
        await trio.sleep((1.0 - share) * PERIOD_SECONDS)
        # A pause that began meanwhile ends by itself.
        if not vm.is_paused:
            deployed.signal(vm, signal.SIGCONT)
        await trio.sleep(share * PERIOD_SECONDS)
