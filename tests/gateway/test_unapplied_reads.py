"""Tests of reads of the store whose application raised an unexpected error."""

import pytest
import trio

from rattanlug.canary import record_codec
from rattanlug.desired import key_index, route_index
from rattanlug.discovery import upstream_registry
from rattanlug.gateway import store_reader
from rattanlug.placement import placer
from rattanlug.platform import operator_table, upstream_row
from rattanlug.rate_limits import limiter_table
from tests.gateway import caller, test_store_reader
from trial.shared_platform import fleet


def fail(monkeypatch, owner, name, times, matches=lambda *args: True):
    """Let a function raise in its first calls that match; return the failed calls."""
    original, failed = getattr(owner, name), []

    def call(*args, **kwargs):
        if len(failed) < times and matches(*args):
            failed.append(args)
            raise RuntimeError(f"{name} failed")
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return failed


async def wait_until(condition):
    with trio.fail_after(4):
        while not condition():
            await trio.sleep(0.02)


async def send_when_not_busy(vm, path, key):
    """Send a request again while the computer is too busy to run the VM in time."""
    with trio.fail_after(4):
        while True:
            _, answer = await caller.send(vm, path, key=key)
            if b"this VM is overloaded" not in answer.body:
                return answer


# Guards against a change that is lost for good, on the VM that reads the store or on
# its followers, because the copy of the table was ahead of what had been applied.
@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (operator_table.OperatorTable, "_decode"),
        (operator_table.OperatorTable, "apply_changes"),
        (route_index.RouteIndex, "__init__"),
        (key_index.KeyIndex, "__init__"),
        (limiter_table.LimiterTable, "configure"),
        (placer.Placer, "configure"),
        (store_reader, "update_rate_shares"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
@caller.in_trio
async def test_a_desired_state_is_applied_after_an_error(monkeypatch, owner, name):
    async with test_store_reader.three_vms() as (deployment, vms):
        failed = fail(monkeypatch, owner, name, times=3)
        deployment.store.put("op", "config", test_store_reader.new_state(5, "key-5"))
        await wait_until(lambda: len(failed) == 3)
        await wait_until(lambda: all(vm.node.desired.version == 5 for vm in vms))
        await deployment.settle()
        for vm in vms:
            answer = await send_when_not_busy(vm, "/view/1", "key-5")
            assert answer.status == 200


# Guards against requests to a draining upstream because an error hid its state.
@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (upstream_registry.UpstreamRegistry, "_index"),
        (upstream_registry.UpstreamRegistry, "apply"),
        (placer.Placer, "upstreams_changed"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
@caller.in_trio
async def test_a_draining_upstream_is_left_after_an_error(monkeypatch, owner, name):
    async with test_store_reader.three_vms() as (deployment, vms):
        await deployment.add_upstream("u2")
        await deployment.settle()
        for vm in vms:
            await caller.send(vm, "/open/1", key=None)
        failed = fail(monkeypatch, owner, name, times=3)
        deployment.register("u1", state="draining", sequence=2)
        await wait_until(lambda: len(failed) == 3)
        await trio.sleep(1.5)
        deployment.upstreams["u1"].executions.clear()
        for number in range(30):
            await caller.send(vms[number % 3], f"/open/{number}", key=None)
        assert deployment.upstreams["u1"].executions == []


# Guards against one row that raises at each read and keeps all others from being used.
@caller.in_trio
async def test_a_row_that_always_raises_hides_no_other_row(monkeypatch):
    async with test_store_reader.three_vms() as (deployment, vms):
        fail(
            monkeypatch,
            upstream_row,
            "decode",
            10**9,
            lambda key, data: key == "poison",
        )
        fail(
            monkeypatch,
            operator_table.OperatorTable,
            "_decode",
            10**9,
            lambda table, row: row.key == "evacuate/poison",
        )
        deployment.store.put("servers", "poison", {})
        deployment.store.put("op", "evacuate/poison", {})
        await deployment.add_upstream("u2")
        deployment.store.put("op", "config", test_store_reader.new_state(5, "key-5"))
        await wait_until(lambda: all(vm.node.registry.size == 2 for vm in vms))
        await wait_until(lambda: all(vm.node.desired.version == 5 for vm in vms))
        await trio.sleep(2.5)
        ages = [vm.node.desired.age(store_reader.clock.now()) for vm in vms]
        assert max(ages) < 2.5
        for vm in vms:
            assert not vm.node.counters.value("task_failures", task="table_follower")


# Guards against keys taken for fresh though the latest desired state wasn't applied.
@caller.in_trio
async def test_a_desired_state_that_always_raises_is_not_confirmed(monkeypatch):
    async with test_store_reader.three_vms() as (deployment, vms):
        fail(
            monkeypatch,
            operator_table.OperatorTable,
            "_decode",
            10**9,
            lambda table, row: row.key == "config",
        )
        deployment.store.put("op", "config", test_store_reader.new_state(5, "key-5"))
        await trio.sleep(2.5)
        ages = [vm.node.desired.age(store_reader.clock.now()) for vm in vms]
        assert min(ages) > 2.0


# Guards against a VM whose tables go stale since every response of the VM that it
# follows raises, while it doesn't read the store itself.
@caller.in_trio
async def test_a_vm_that_cannot_follow_reads_the_store(monkeypatch):
    async with test_store_reader.three_vms() as (deployment, vms):
        fail(monkeypatch, store_reader.StoreReader, "_apply_response", 10**9)
        await trio.sleep(2.5)
        deployment.store.put("op", "config", test_store_reader.new_state(5, "key-5"))
        await wait_until(lambda: all(vm.node.desired.version == 5 for vm in vms))
        ages = [vm.node.desired.age(store_reader.clock.now()) for vm in vms]
        assert max(ages) < 2.5


# Guards against a rollout record that is lost to the VMs because reading it raised.
@caller.in_trio
async def test_a_rollout_record_is_applied_after_an_error(monkeypatch):
    async with test_store_reader.three_vms() as (deployment, vms):
        failed = fail(monkeypatch, record_codec, "decode", times=3)
        deployment.store.put(
            "op",
            f"rollout/{fleet.SERVICE}",
            {"service": fleet.SERVICE, "target": "v2", "duration_s": 20.0},
        )
        await wait_until(lambda: failed)
        await wait_until(
            lambda: all(vm.node.versions.latest_record(fleet.SERVICE) for vm in vms)
        )
