"""Starts of daemons while the store is slow."""

import pathlib
import random
import signal

import pytest
import trio

from soak import deployment, history, proxy, site_faults


# Guards against a start that gives up each call to a store that would answer.
@pytest.mark.parametrize("seconds", [0.2, 0.6])
def test_a_vm_gets_ready_while_the_store_is_slow(tmp_path, seconds):
    trio.run(_start_beside_a_slow_store, tmp_path, seconds)


async def _start_beside_a_slow_store(directory: pathlib.Path, seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        seen = history.History()
        deployed = deployment.Deployment(nursery, directory, seen, 2, random.Random(1))
        try:
            await deployed.start(1)
            vm = deployed.vms[0]
            vm.store_proxy.set_mode(proxy.Mode.DELAYED, seconds)
            deployed.signal(vm, signal.SIGKILL)
            await deployed.wait_end(vm, 1.0)
            deployed.start_vm(vm)
            with trio.fail_after(site_faults.START_SECONDS):
                await deployed.wait_served(vm)
        finally:
            deployed.end()
        nursery.cancel_scope.cancel()
