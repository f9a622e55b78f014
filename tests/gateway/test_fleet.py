"""Tests of several gateway daemons together."""

import json
import socket
import time

import httpcore
import pytest
import trio

from rattanlug.caller import local_endpoint
from rattanlug.daemon import clock
from rattanlug.fleet import digest, digest_codec
from rattanlug.gateway import digest_exchange
from rattanlug.gateway import node as node_module
from rattanlug.placement import cold_budget
from rattanlug.platform import store_client, store_error
from rattanlug.settings import address
from rattanlug.upstream import upstream_socket
from tests.gateway import caller
from trial import http_server
from trial.shared_platform import fleet, loopback


def hosts_in(response):
    return {each.partition(":")[0] for each in json.loads(response.body)["addresses"]}


async def look_up(vm, data_centre="north-a", region="north"):
    query = f"/resolve?name={fleet.HOST}&region={region}&zone={data_centre}"
    return await caller.get(vm.node.settings.lookups, query)


@caller.in_trio
async def test_look_ups_return_the_live_vms_of_the_caller_s_data_centre(monkeypatch):
    # The result must not depend on the load of the machine that runs the test.
    monkeypatch.setattr(node_module.Node, "overloaded", lambda self, now: False)
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        first = await deployment.add_vm()
        second = await deployment.add_vm()
        other = await deployment.add_vm(data_centre="north-b")
        await deployment.settle()
        hosts = [each.node.settings.host for each in (first, second, other)]
        assert hosts_in(await look_up(first)) == set(hosts[:2])
        assert hosts_in(await look_up(first, "north-b")) == {hosts[2]}
        assert hosts_in(await look_up(first, "south-a", "south")) == set(hosts)


@caller.in_trio
async def test_look_ups_for_an_overloaded_data_centre_return_its_region_too(
    monkeypatch,
):
    monkeypatch.setattr(
        node_module.Node, "overloaded", lambda self, now: self.settings.vm == "vm-3"
    )
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        first = await deployment.add_vm()
        second = await deployment.add_vm()
        other = await deployment.add_vm(data_centre="north-b")
        await deployment.settle()
        hosts = [each.node.settings.host for each in (first, second, other)]
        assert hosts_in(await look_up(first)) == set(hosts[:2])
        assert hosts_in(await look_up(first, "north-b")) == set(hosts)


@caller.in_trio
async def test_a_vm_that_shuts_down_leaves_the_look_ups_and_still_serves():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        staying = await deployment.add_vm()
        stopping = await deployment.add_vm()
        await deployment.settle()
        async with trio.open_nursery() as nursery:
            assert deployment.store.value("rattanlug-vms", "vm-2")
            nursery.start_soon(stopping.stop)
            await trio.sleep(0.3)
            assert deployment.store.value("rattanlug-vms", "vm-2") is None
            assert deployment.store.value("rattanlug-vms", "vm-1")
            ready = await caller.get(stopping.node.settings.readiness, "/readyz")
            assert ready.status == 503
            expected = {staying.node.settings.host}
            assert hosts_in(await look_up(staying)) == expected
            assert hosts_in(await look_up(stopping)) == expected
            _, response = await caller.send(stopping, "/view/x")
            assert response.status == 200
            assert response.headers["connection"] == "close"


@caller.in_trio
async def test_vms_discover_each_other_through_seeds_without_the_store():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        first = await deployment.add_vm()
        deployment.store.status = 503
        second = await deployment.add_vm(seeds=[first.node.settings.host])
        third = await deployment.add_vm(seeds=[first.node.settings.host])
        await deployment.settle()
        for vm in (first, second, third):
            assert len(vm.node.peers.recent_digests(2.0, clock.now())) == 2


@caller.in_trio
async def test_a_vm_without_a_desired_state_rejects_requests_and_is_not_ready():
    async with fleet.open_fleet() as deployment:
        deployment.store.status = 503
        vm = await deployment.add_vm()
        _, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 503
        assert (await caller.get(vm.node.settings.readiness, "/readyz")).status == 503


@pytest.mark.usefixtures("no_overload")
@caller.in_trio
async def test_a_request_late_in_a_shutdown_is_answered_or_not_read():
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.cold_seconds = added.warm_seconds = 0.5
        vm = await deployment.add_vm(bounds={"grace_s": 3})
        statuses = []

        async def request(at):
            await trio.sleep(at)
            try:
                request_id, response = await caller.send(vm, "/claim/x", "POST", b"b")
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                statuses.append(None)
            else:
                statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            for index in range(28):
                nursery.start_soon(request, 0.1 * index)
            await vm.stop()
            assert vm.requests_in_flight == 0
        # Requests without a response were not executed either.
        executed = sum(len(each.executions) for each in deployment.upstreams.values())
        assert statuses.count(200) == executed
        assert set(statuses) == {200, None}


def state_with_timeout(seconds):
    """Return a desired state whose routes have a timeout."""
    state = fleet.desired_state(3)
    for each in state["virtual_hosts"][0]["paths"]:
        each["timeout_s"] = seconds
    return state


# Guards against requests that are sent on during a shutdown and cut at its end.
@caller.in_trio
async def test_a_request_that_may_outlast_the_shutdown_is_rejected_unless_repeatable():
    async with fleet.open_fleet() as deployment:
        deployment.store.put("op", "config", state_with_timeout(10.0))
        added = await deployment.add_upstream("u1")
        vm = await deployment.add_vm(bounds={"grace_s": 3})
        results = {}

        async def request(name, path, method, milliseconds):
            headers = {"Rattanlug-Deadline-Ms": str(milliseconds)}
            try:
                request_id, response = await caller.send(
                    vm, path, method, b"b" if method == "POST" else None, **headers
                )
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                results[name] = (None, None)
            else:
                ran = len(caller.executions(deployment, request_id))
                results[name] = (response.status, ran)
                if response.status == 503:
                    assert response.headers["retry-after"] == "0"

        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.stop)
            await trio.sleep(0.2)
            await request("short", "/claim/x", "POST", 1500)
            await request("repeatable", "/view/x", "GET", 9000)
            added.cold_seconds = added.warm_seconds = 3.0
            await request("long", "/claim/x", "POST", 9000)
            nursery.cancel_scope.cancel()
        assert results == {"short": (200, 1), "repeatable": (200, 1), "long": (503, 0)}


@caller.in_trio
async def test_the_only_vm_of_a_data_centre_announces_its_shutdown():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        staying = await deployment.add_vm()
        stopping = await deployment.add_vm(data_centre="north-b")
        await trio.sleep(1.5)
        host = stopping.node.settings.host
        assert hosts_in(await look_up(staying, "north-b")) == {host}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.stop)
            await trio.sleep(0.3)
            found = hosts_in(await look_up(staying, "north-b"))
            assert found == {staying.node.settings.host}


# Guards against a new process that waited for the ports of the process before it, and
# then sends the VM's share of a cold upstream's limit again within the same second.
@caller.in_trio
async def test_a_vm_that_waited_for_its_ports_spares_cold_upstreams_at_first():
    async with fleet.open_fleet() as deployment:
        upstream = await deployment.add_upstream("u1", cold_seconds=20.0)
        local = address.Address(loopback.host(1), fleet.FIRST_VM_PORT)
        earlier = await local_endpoint.open_when_available(
            lambda: socket.create_server((local.host, local.port)), local
        )

        async def release():
            await trio.sleep(2.0 * cold_budget.WINDOW_SECONDS)
            earlier.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(release)
            vm = await deployment.add_vm()
        assert (await caller.send(vm, "/view/x"))[1].status == 503
        assert upstream.executions == []
        await trio.sleep(cold_budget.WINDOW_SECONDS)
        assert (await caller.send(vm, "/view/x"))[1].status == 200


# Guards against requests that wait for their connections during a stall of the process,
# and reach a cold upstream together with those that are begun after it.
@caller.in_trio
async def test_requests_that_wait_for_a_connection_count_when_they_are_sent(
    monkeypatch,
):
    connect = upstream_socket.connect

    async def connect_late(*args):
        opened = await connect(*args)
        await trio.sleep_until(stalled_until)
        return opened

    async with fleet.open_fleet() as deployment:
        deployment.store.put("op", "config", state_with_timeout(3.0))
        upstream = await deployment.add_upstream("u1", cold_seconds=20.0)
        vm = await deployment.add_vm()
        await trio.sleep(cold_budget.WINDOW_SECONDS)
        monkeypatch.setattr(upstream_socket, "connect", connect_late)
        stalled_until = trio.current_time() + cold_budget.WINDOW_SECONDS + 0.1
        statuses = []

        async def request():
            statuses.append((await caller.send(vm, "/view/x"))[1].status)

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(request)
            await trio.sleep_until(stalled_until + 0.1)
            for _ in range(30):
                nursery.start_soon(request)
        bounds = vm.node.settings.bounds
        limit = 7.0 * bounds.cold_factor + bounds.cold_slack
        assert 0 < len(upstream.executions) <= limit
        assert statuses.count(200) == len(upstream.executions)


# Guards against look-ups that return a failed VM for too long because a digest that
# waited in the socket of a busy VM counts from when it was read.
@caller.in_trio
async def test_the_age_of_a_digest_counts_from_its_arrival():
    async with fleet.open_fleet() as deployment:
        vm = await deployment.add_vm()
        await deployment.settle()
        node = vm.node
        received = digest.Digest(
            "vm-9", 1, 1, "north-a", "127.0.1.9", 1, False, 1, {}, (), ()
        )
        target = (node.settings.host, node.settings.peer_ports[0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for sequence in range(1, 41):
                data = digest_codec.encode(received._replace(sequence=sequence))
                sender.sendto(data, target)
        time.sleep(1.0)
        await trio.sleep(0.05)
        now = clock.now()
        assert [each.vm for each in node.peers.recent_digests(3.0, now)] == ["vm-9"]
        assert node.peers.recent_digests(0.9, now) == []


# Guards against a shutdown that ends at once, with its requests, because of what the
# store answers to the removal of the VM's address.
@pytest.mark.parametrize(
    "failure",
    [store_error.ConditionFailedError("conflict"), store_error.StoreError("away")],
)
@pytest.mark.usefixtures("no_overload")
@caller.in_trio
async def test_a_shutdown_finishes_its_requests_if_the_store_fails(
    monkeypatch, failure
):
    async with fleet.open_fleet() as deployment:
        upstream = await deployment.add_upstream("u1")
        upstream.cold_seconds = 0.4
        vm = await deployment.add_vm(bounds={"grace_s": 2})
        await deployment.settle()

        async def fail(self, writes):
            raise failure

        monkeypatch.setattr(store_client.StoreClient, "commit", fail)
        found = []

        async def ask():
            found.append((await caller.send(vm, "/view/x"))[1])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            await vm.stop()
            assert [each.status for each in found] == [200], found


# Guards against cold upstreams that get no requests while the store serves reads only.
@caller.in_trio
async def test_the_vms_are_known_while_the_store_rejects_writes(monkeypatch):
    async with fleet.open_fleet() as deployment:
        rejection = http_server.json_response({}, 503)
        monkeypatch.setattr(deployment.store, "_transact", lambda body: rejection)
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        with trio.fail_after(5):
            while vm.node.possible_senders("north-a", clock.now()) != 1:
                await trio.sleep(0.05)


# Guards against a row of a VM that never returns: it stays if the shutdown, handled
# late and without connections, does not wait for its removal.
@caller.in_trio
async def test_a_late_shutdown_removes_the_address_of_its_vm():
    async with fleet.open_fleet() as deployment:
        vm = await deployment.add_vm(bounds={"grace_s": 2})
        name = vm.node.settings.vm
        with trio.fail_after(5):
            while deployment.store.value(digest_exchange.TABLE, name) is None:
                await trio.sleep(0.01)
        await vm.stop(signalled_at=clock.now() - 5.0)
        assert deployment.store.value(digest_exchange.TABLE, name) is None
