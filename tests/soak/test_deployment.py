"""Tests of what a deployment records about its changes."""

import random
import signal

import pytest
import trio

from soak import deployment, history, sites


@pytest.fixture
def deployed(tmp_path):
    seen = history.History(sites.SITES["txiki-swap"])
    created = deployment.Deployment(None, tmp_path, seen, 1, random.Random(1))
    yield created
    created.end()


def test_each_state_is_recorded_with_its_timeouts(deployed):
    async def write():
        for factor in (1.0, 0.8):
            deployed.timeout_factor = factor
            deployed.write_state()

    trio.run(write)
    former, latest = deployed.observations.states
    assert (former.timeout_factor, latest.timeout_factor) == (1.0, 0.8)
    assert former.version < latest.version
    stored = deployed.store.value("op", "config")
    assert stored["version"] == f"r{latest.version}"
    (first, *_) = stored["virtual_hosts"][0]["paths"]
    expected = latest.timeout_factor * deployed.site.routes[0].timeout_seconds
    assert first["timeout_s"] == expected


def test_signals_of_all_processes_of_a_vm_are_recorded(deployed):
    vm = deployed.vms[0]

    async def stop():
        deployed.start_process(vm)
        former = vm.process
        deployed.start_process(vm)
        for each in (former, vm.process):
            deployed.signal_process(each, signal.SIGTERM)

    trio.run(stop)
    assert len(deployed.observations.terminations[vm.name]) == 2
    assert not deployed.observations.kills[vm.name]
