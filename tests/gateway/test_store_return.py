"""Tests of a store that comes back from an older copy."""

import contextlib

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.gateway import store_reader
from tests.gateway import caller
from trial.shared_platform import fleet

pytestmark = pytest.mark.usefixtures("no_overload")

VMS = 3
# Within this time, a change that the store has confirmed is in force.
CHANGE_SECONDS = 2.5
AWAY_SECONDS = 0.6


@contextlib.asynccontextmanager
async def vms_with_store(era=1, **settings):
    async with fleet.open_fleet() as deployment:
        deployment.store.era = era
        await deployment.add_upstream("u1")
        vms = [await deployment.add_vm(**settings) for _ in range(VMS)]
        await trio.sleep(1.6)
        yield deployment, vms


def write_often(deployment, count=20):
    """Write rows that a return of the store undoes."""
    for number in range(count):
        deployment.store.put("op", f"note/{number}", {})


async def eventually(condition, seconds=CHANGE_SECONDS):
    with trio.move_on_after(seconds):
        while not condition():
            await trio.sleep(0.02)
    return condition()


def versions(vms):
    return [each.node.desired.version for each in vms]


def upstreams(vm):
    return {each.id for each in vm.node.registry.of_service(fleet.SERVICE)}


# Guards against a VM that takes each read for outdated until the store has given out as
# many versions as it lost.
@pytest.mark.parametrize("away", [0.0, AWAY_SECONDS])
@caller.in_trio
async def test_changes_after_a_return_are_in_force_in_time(away):
    async with vms_with_store() as (deployment, vms):
        copy = deployment.store.copy()
        write_often(deployment)
        await trio.sleep(0.5)
        if away:
            deployment.store.go_away()
            await trio.sleep(away)
        deployment.store.come_back(copy)
        deployment.store.put("op", "config", fleet.desired_state(9))
        await deployment.add_upstream("u2")
        assert await eventually(lambda: versions(vms) == [9] * VMS)
        assert await eventually(lambda: all("u2" in upstreams(each) for each in vms))
        for vm in vms:
            assert vm.node.keys_usable(clock.now())
            for _ in range(5):
                _, response = await caller.send(vm, "/view/x")
                assert response.status == 200


# Guards against a VM that misses what was written below its version, since other
# writes carried the versions past it and no call of it failed.
@caller.in_trio
async def test_a_return_that_no_call_noticed_leads_to_whole_reads():
    async with vms_with_store() as (deployment, vms):
        copy = deployment.store.copy()
        write_often(deployment)
        await trio.sleep(0.5)
        deployment.store.come_back(copy)
        deployment.store.put("op", "config", fleet.desired_state(9))
        write_often(deployment, 60)
        assert await eventually(lambda: versions(vms) == [9] * VMS)
        for vm in vms:
            assert vm.node.counters.value("store_era_changes", table="op") == 1


@caller.in_trio
async def test_two_returns_within_a_second_leave_no_vm_behind():
    async with vms_with_store() as (deployment, vms):
        copy = deployment.store.copy()
        write_often(deployment)
        await trio.sleep(0.5)
        for version in (8, 9):
            deployment.store.go_away()
            await trio.sleep(0.1)
            lost = deployment.store.come_back(copy)
            await trio.sleep(0.2)
            deployment.store.write_again(lost)
            deployment.store.put("op", "config", fleet.desired_state(version))
            await trio.sleep(0.1)
        assert await eventually(lambda: versions(vms) == [9] * VMS)
        assert [each.node.store_era.current for each in vms] == [3] * VMS


# Guards against keys that count again and upstreams that get requests again, while
# what withdrew them is being written again.
@caller.in_trio
async def test_nothing_that_was_in_force_goes_back():
    async with vms_with_store() as (deployment, vms):
        store = deployment.store
        await deployment.add_upstream("u2")
        await deployment.add_upstream("u3")
        store.put("op", "evacuate/north-b", {})
        await trio.sleep(0.5)
        copy = store.copy()
        tenant = {"name": "o", "api_keys": ["key-9"], "rate_per_s": 0, "burst": 0}
        store.put("op", "config", fleet.desired_state(9, tenants=[tenant]))
        store.remove("servers", "u2")
        deployment.register("u3", state="draining", sequence=2)
        await deployment.add_upstream("u4")
        store.remove("op", "evacuate/north-b")
        store.put("op", "evacuate/north-c", {})
        await trio.sleep(0.5)
        store.go_away()
        await trio.sleep(AWAY_SECONDS)
        lost = store.come_back(copy)

        def is_as_before(vm):
            assert vm.node.desired.version == 9
            assert upstreams(vm) == {"u1", "u4"}
            assert vm.node.operators.evacuated == {"north-c"}

        for step in range(60):
            if step == 30:
                store.write_again(lost)
            for vm in vms:
                is_as_before(vm)
            _, response = await caller.send(vms[step % VMS], "/view/x")
            assert response.status == 401
            await trio.sleep(0.05)
        for vm in vms:
            assert vm.node.operators.held == []
            assert vm.node.registry.missing == []
            assert vm.node.tables.copy("op").version == store.version
        await trio.sleep(1.5)
        for vm in vms:
            is_as_before(vm)


@caller.in_trio
async def test_what_is_not_written_again_ends_after_a_time():
    async with vms_with_store() as (deployment, vms):
        copy = deployment.store.copy()
        await deployment.add_upstream("u2")
        deployment.store.put("op", "evacuate/north-c", {})
        await trio.sleep(0.5)
        deployment.store.come_back(copy)
        await trio.sleep(1.0)
        for vm in vms:
            assert upstreams(vm) == {"u1", "u2"}
            assert vm.node.operators.evacuated == {"north-c"}
        await trio.sleep(3.5)
        for vm in vms:
            assert upstreams(vm) == {"u1"}
            assert vm.node.operators.evacuated == frozenset()


@caller.in_trio
async def test_a_store_without_eras_is_followed():
    async with vms_with_store(era=None) as (deployment, vms):
        deployment.store.callers.clear()
        deployment.store.put("op", "config", fleet.desired_state(9))
        await trio.sleep(2.0)
        assert versions(vms) == [9] * VMS
        assert set(deployment.store.callers) == {vms[0].node.settings.host}


# Guards against a VM that follows a VM of the release before, which knows no eras, and
# whose copy therefore remains at the versions before the return.
@caller.in_trio
async def test_a_vm_does_not_follow_a_vm_that_knows_no_eras(monkeypatch):
    async with vms_with_store() as (deployment, vms):
        tables = vms[0].node.tables
        answer = tables.answer

        def answer_without_eras(request, now):
            found = answer(request, now)
            changes = tuple(each._replace(era=0) for each in found.tables)
            return found._replace(tables=changes)

        monkeypatch.setattr(tables, "answer", answer_without_eras)
        for version in range(9, 15):
            deployment.store.put("op", "config", fleet.desired_state(version))
            await trio.sleep(0.4)
            assert all(each.node.keys_usable(clock.now()) for each in vms)
        assert await eventually(lambda: versions(vms) == [14] * VMS)


@caller.in_trio
async def test_followers_do_not_read_the_store_after_a_return():
    async with vms_with_store() as (deployment, vms):
        copy = deployment.store.copy()
        write_often(deployment)
        await trio.sleep(0.5)
        deployment.store.callers.clear()
        deployment.store.come_back(copy)
        await trio.sleep(2.0)
        assert set(deployment.store.callers) == {vms[0].node.settings.host}
        # Two whole reads and two feeds, which are called again after 0.8 s.
        assert len(deployment.store.callers) <= 10


# Guards against a response of an earlier era that arrives late.
@caller.in_trio
async def test_a_late_read_of_an_earlier_era_changes_nothing():
    async with vms_with_store() as (deployment, vms):
        node = vms[0].node
        reader = store_reader.StoreReader(node)
        copy = deployment.store.copy()
        write_often(deployment)
        late = await node.store.read_table("op")
        deployment.store.come_back(copy)
        assert await eventually(lambda: node.tables.copy("op").era == 2)
        before = node.tables.copy("op").version
        confirmed = node.tables.copy("op").confirmed_at
        assert not reader.apply_read("op", late, whole=True)
        assert node.tables.copy("op").version == before
        assert node.tables.copy("op").confirmed_at == confirmed
