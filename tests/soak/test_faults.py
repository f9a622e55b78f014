"""Tests of injected faults while the deployment changes."""

import random

import trio
from trio import testing

from soak import deployment, faults, history, proxy, sites


class _Proxy:
    mode = proxy.Mode.OPEN

    def set_mode(self, mode: proxy.Mode, delay: float = 0.0) -> None:
        self.mode = mode


# Guards against a run that ends with an error of its own, without a verdict.
def test_a_vm_that_is_added_while_the_store_is_slow_is_left_alone(tmp_path):
    seen = history.History(sites.SITES["nool-stitch"])
    deployed = deployment.Deployment(None, tmp_path, seen, 1, random.Random(1))
    for vm in deployed.vms:
        vm.store_proxy = _Proxy()

    async def add_meanwhile():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.store_slow, deployed, random.Random(1))
            await trio.sleep(0.1)
            added = deployment.Vm(len(deployed.vms), "north-a", "north")
            added.store_proxy = _Proxy()
            deployed.vms.append(added)

    clock = testing.MockClock(autojump_threshold=0)
    trio.run(add_meanwhile, clock=clock)
    added = deployed.vms[-1]
    assert not seen.disturbances[history.store_of(added.name)]
    for vm in deployed.vms:
        assert vm.store_proxy.mode is proxy.Mode.OPEN
        for _, end in seen.disturbances[history.store_of(vm.name)]:
            assert end < float("inf")
