"""Tests of VMs that follow another VM instead of reading the store."""

import contextlib

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.desired import bounds, freshness
from rattanlug.gateway import store_reader, table_client, table_server
from rattanlug.platform import names
from tests.gateway import caller
from trial.shared_platform import fleet

_FOLLOWED = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE)
# By then, digests and follow responses have been exchanged.
SETTLE_SECONDS = 1.6


@contextlib.asynccontextmanager
async def some_vms(count, **settings):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vms = [await deployment.add_vm(**settings) for _ in range(count)]
        await trio.sleep(SETTLE_SECONDS)
        yield deployment, vms


def three_vms(**settings):
    return some_vms(3, **settings)


def host(vm):
    return vm.node.settings.host


def new_state(version, key):
    tenant = {"name": "o", "api_keys": [key], "rate_per_s": 0, "burst": 0}
    return fleet.desired_state(version, tenants=[tenant])


@caller.in_trio
async def test_one_vm_of_a_region_reads_the_store_for_all():
    async with three_vms() as (deployment, vms):
        deployment.store.callers.clear()
        await trio.sleep(3.0)
        assert set(deployment.store.callers) == {host(vms[0])}
        # Two feeds, which are called again after their waits of 0.8 s.
        assert len(deployment.store.callers) <= 8
        assert all(each.node.keys_usable(clock.now()) for each in vms)


@caller.in_trio
async def test_changes_reach_followers_immediately():
    async with three_vms() as (deployment, vms):
        deployment.store.put("op", "config", new_state(5, "key-5"))
        deployment.register("u1", state="draining", sequence=2)
        await trio.sleep(0.2)
        assert [each.node.desired.version for each in vms] == [5, 5, 5]
        for each in vms:
            assert each.node.registry.of_service(fleet.SERVICE) == ()


@caller.in_trio
async def test_followers_switch_from_a_reader_that_the_store_rejects():
    async with three_vms() as (deployment, vms):
        deployment.store.refused_hosts = {host(vms[0])}
        await trio.sleep(3.5)
        deployment.store.put("op", "config", new_state(5, "key-5"))
        await trio.sleep(0.3)
        assert [each.node.desired.version for each in vms[1:]] == [5, 5]
        assert all(each.node.keys_usable(clock.now()) for each in vms[1:])


@caller.in_trio
async def test_no_vm_accepts_keys_longer_than_the_bound_without_the_store():
    async with three_vms(bounds={"revoke_s": 3}) as (deployment, vms):
        deployment.store.status = 503
        # A follower must not take its source's old copy for a fresh read of the store.
        await trio.sleep(3.0)
        assert not any(each.node.keys_usable(clock.now()) for each in vms)


@caller.in_trio
async def test_followers_switch_from_a_reader_that_shuts_down():
    async with three_vms() as (deployment, vms):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vms[0].stop)
            await trio.sleep(1.0)
            deployment.store.put("op", "config", new_state(5, "key-5"))
            await trio.sleep(0.3)
            assert [each.node.desired.version for each in vms[1:]] == [5, 5]
            nursery.cancel_scope.cancel()


@caller.in_trio
async def test_an_upstream_that_lapsed_during_a_store_outage_is_eventually_dropped():
    async with three_vms() as (deployment, vms):
        deployment.store.status = 503
        # Registrations lapse after three missed heartbeats.
        await trio.sleep(3.0 * vms[0].node.settings.heartbeat)
        deployment.store.remove("servers", "u1")
        deployment.store.status = None
        await trio.sleep(1.2)
        assert all(each.node.registry.size == 1 for each in vms)
        await trio.sleep(4.0)
        assert [each.node.registry.size for each in vms] == [0, 0, 0]


@pytest.mark.parametrize("history_dropped", [False, True])
@caller.in_trio
async def test_followers_apply_removals_after_a_read_of_the_whole_table(
    history_dropped,
):
    async with three_vms() as (deployment, vms):
        await deployment.add_upstream("u2")
        await trio.sleep(0.3)
        deployment.store.remove("servers", "u2")
        if history_dropped:
            deployment.store.drop_history()
        await trio.sleep(0.6)
        assert [each.node.registry.size for each in vms] == [1, 1, 1]


@pytest.mark.parametrize("bound", [3.0, 5.0, 9.0])
def test_keys_stay_usable_while_a_follower_changes_its_source(bound):
    # Age of the previous source's copy, the wait at it, and a read of the store.
    limits = bounds.Bounds(key_withdrawal=bound)
    wait = store_reader.feed_waits(limits)[names.OPERATOR_TABLE]
    age = store_reader.max_age(wait)
    age += (
        2.0 * store_reader.FOLLOW_WAIT_FRACTION * wait
        + table_client.RESPONSE_TIMEOUT_SECONDS
    )
    assert freshness.keys_usable(age, bound)


# Guards against changes that followers put in force too late because the VM that they
# follow has lost the store, or is suspended, as have the others that they could follow.
@pytest.mark.parametrize("suspended", [False, True])
@caller.in_trio
async def test_changes_get_in_force_in_time_if_all_sources_are_lost(
    monkeypatch, suspended
):
    lost = set()
    apply_read, answer = store_reader.StoreReader.apply_read, table_server._answer

    def apply_unless_lost(self, table, read, whole):
        return self._node in lost or apply_read(self, table, read, whole)

    async def answer_unless_suspended(node, *arguments):
        if suspended and node in lost:
            await trio.sleep_forever()
        await answer(node, *arguments)

    monkeypatch.setattr(store_reader.StoreReader, "apply_read", apply_unless_lost)
    monkeypatch.setattr(table_server, "_answer", answer_unless_suspended)
    async with some_vms(4) as (deployment, vms):
        await deployment.add_upstream("u2")
        # A copy counts as of the sending of a call, so one that ends at once is new.
        version, tables = 4, vms[0].node.tables
        while max(tables.copy(each).age(clock.now()) for each in _FOLLOWED) > 0.1:
            version += 1
            deployment.store.put("op", "config", new_state(version, "key-5"))
            deployment.register("u2", sequence=version)
            await trio.sleep(0.03)
        lost.update(each.node for each in vms[:-1])
        last, lost_at = vms[-1].node, trio.current_time()
        version += 1
        deployment.store.put("op", "config", new_state(version, "key-5"))
        deployment.register("u1", state="draining", sequence=2)
        while (
            last.desired.version != version
            or len(last.registry.of_service(fleet.SERVICE)) > 1
        ):
            await trio.sleep(0.01)
        # The rest is for connecting to a store in another region, and for its response.
        limits = last.settings.bounds
        assert trio.current_time() - lost_at < min(limits.apply, limits.drain) - 0.3


@caller.in_trio
async def test_changes_in_quick_succession_are_batched():
    # Load pattern: hundreds of upstreams register or change within a second.
    async with three_vms() as (deployment, vms):
        deployment.store.calls.clear()
        for sequence in range(2, 102):
            deployment.register("u1", sequence=sequence, version=f"v{sequence}")
            await trio.sleep(0.01)
        assert len(deployment.store.calls) <= 12
        await trio.sleep(0.5)
        for each in vms:
            (record,) = each.node.registry.of_service(fleet.SERVICE)
            assert record.version == "v101"


@pytest.mark.parametrize("bound", [3, 5])
@caller.in_trio
async def test_keys_stay_usable_in_normal_operation_whatever_the_bound(bound):
    async with three_vms(bounds={"revoke_s": bound}) as (deployment, vms):
        for _ in range(60):
            await trio.sleep(0.05)
            assert all(each.node.keys_usable(clock.now()) for each in vms)


@caller.in_trio
async def test_a_store_that_rejects_one_vm_is_not_unavailable_for_the_others():
    # Guards against followers of the rejected VM that keep a removed upstream as one
    # whose registration lapsed during a store outage.
    async with three_vms() as (deployment, vms):
        await deployment.add_upstream("u2")
        await trio.sleep(0.5)
        deployment.store.refused_hosts = {host(vms[0])}
        await trio.sleep(1.4)
        deployment.store.remove("servers", "u2")
        drain = vms[0].node.settings.bounds.drain
        await trio.sleep(drain - 0.4)
        assert [each.node.registry.size for each in vms[1:]] == [1, 1]


# Guards against a VM that keeps a removed upstream for too long after it has reached
# the store again, because an earlier VM of its region still reports failures.
@caller.in_trio
async def test_a_vm_that_reached_the_store_again_ignores_failures_of_another():
    async with three_vms() as (deployment, vms):
        await deployment.add_upstream("u2")
        await trio.sleep(0.5)
        deployment.store.refused_hosts = {host(each) for each in vms}
        await trio.sleep(3.2)
        deployment.store.refused_hosts = {host(vms[0])}
        await trio.sleep(2.0)
        deployment.store.remove("servers", "u2")
        await trio.sleep(2.1)
        assert [each.node.registry.size for each in vms[1:]] == [1, 1]


# Guards against daemons that end, or call the store without a pause, because a faulty
# store responds with a status that only has a meaning for other calls.
@pytest.mark.parametrize("status", [410, 412, 500])
@caller.in_trio
async def test_a_store_that_always_fails_is_called_at_a_limited_rate(status):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        deployment.store.status = status
        await trio.sleep(0.5)
        deployment.store.calls.clear()
        await trio.sleep(1.5)
        # Two tables, at the shortest backoff.
        most = 2 * 1.5 / store_reader.MIN_BACKOFF_SECONDS
        assert len(deployment.store.calls) <= most
        _, response = await caller.send(vm, "/view/x")
        assert response.status == 200


# Guards against two calls at once, again and again, while a feed's history is lost.
@caller.in_trio
async def test_a_feed_whose_history_is_lost_is_read_at_a_limited_rate():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        await deployment.add_vm()
        deployment.store.calls.clear()
        started_at = trio.current_time()
        while trio.current_time() < started_at + 1.0:
            deployment.store.drop_history()
            await trio.sleep(0.001)
        # A read and a feed of two tables in each interval.
        most = 4 * 1.0 / store_reader.FEED_INTERVAL_SECONDS
        assert len(deployment.store.calls) <= most + 4
