"""Tests of several entry daemons together."""

import json
import socket
import time

import httpcore
import trio

from rattanlug.daemon import clock
from rattanlug.fleet import digest, digest_codec
from rattanlug.gateway import node as node_module
from tests.gateway import caller
from trial.shared_platform import fleet


def named(answer):
    return {each.partition(":")[0] for each in json.loads(answer.body)["addresses"]}


async def look_up(vm, data_centre="north-a", region="north"):
    query = f"/resolve?name={fleet.HOST}&region={region}&zone={data_centre}"
    return await caller.ask(vm.node.settings.lookups, query)


@caller.in_trio
async def test_look_ups_name_the_live_vms_of_the_caller_s_data_centre(monkeypatch):
    # The load of the machine that runs the test must not decide what is named.
    monkeypatch.setattr(node_module.Node, "overloaded", lambda self, now: False)
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        first = await deployment.add_vm()
        second = await deployment.add_vm()
        other = await deployment.add_vm(data_centre="north-b")
        await deployment.settle()
        hosts = [each.node.settings.host for each in (first, second, other)]
        assert named(await look_up(first)) == set(hosts[:2])
        assert named(await look_up(first, "north-b")) == {hosts[2]}
        assert named(await look_up(first, "south-a", "south")) == set(hosts)


@caller.in_trio
async def test_look_ups_for_an_overloaded_data_centre_name_its_region_too(monkeypatch):
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
        assert named(await look_up(first)) == set(hosts[:2])
        assert named(await look_up(first, "north-b")) == set(hosts)


@caller.in_trio
async def test_a_vm_that_stops_leaves_the_look_ups_and_still_serves():
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
            ready = await caller.ask(stopping.node.settings.readiness, "/readyz")
            assert ready.status == 503
            expected = {staying.node.settings.host}
            assert named(await look_up(staying)) == expected
            assert named(await look_up(stopping)) == expected
            _, answer = await caller.send(stopping, "/view/x")
            assert answer.status == 200
            assert answer.headers["connection"] == "close"


@caller.in_trio
async def test_peers_find_each_other_through_seeds_without_the_store():
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
async def test_a_vm_that_knows_nothing_yet_says_that_nothing_ran():
    async with fleet.open_fleet() as deployment:
        deployment.store.status = 503
        vm = await deployment.add_vm()
        _, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 503
        assert (await caller.ask(vm.node.settings.readiness, "/readyz")).status == 503


@caller.in_trio
async def test_a_request_that_comes_late_in_a_stop_is_answered_or_not_read():
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.cold_seconds = added.warm_seconds = 0.5
        vm = await deployment.add_vm(bounds={"grace_s": 3})
        answers = []

        async def request(at):
            await trio.sleep(at)
            try:
                request_id, answer = await caller.send(vm, "/claim/x", "POST", b"b")
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                answers.append(None)
            else:
                answers.append(answer.status)

        async with trio.open_nursery() as nursery:
            for index in range(28):
                nursery.start_soon(request, 0.1 * index)
            await vm.stop()
            assert vm.requests_in_flight == 0
        # Whoever was not answered was not run either.
        ran = sum(len(each.executions) for each in deployment.upstreams.values())
        assert answers.count(200) == ran
        assert set(answers) == {200, None}


@caller.in_trio
async def test_the_only_vm_of_a_data_centre_tells_the_others_that_it_stops():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        staying = await deployment.add_vm()
        stopping = await deployment.add_vm(data_centre="north-b")
        await trio.sleep(1.5)
        host = stopping.node.settings.host
        assert named(await look_up(staying, "north-b")) == {host}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.stop)
            await trio.sleep(0.3)
            found = named(await look_up(staying, "north-b"))
            assert found == {staying.node.settings.host}


# Guards against look-ups that name a VM for too long: a report that waited in the
# socket of a busy VM is as old as its wait (same cause as incident CONFIG, GONE).
@caller.in_trio
async def test_a_report_counts_from_its_arrival_and_not_from_when_it_is_read():
    async with fleet.open_fleet() as deployment:
        vm = await deployment.add_vm()
        await deployment.settle()
        node = vm.node
        report = digest.Digest(
            "vm-9", 1, 1, "north-a", "127.0.1.9", 1, False, 1, {}, (), ()
        )
        address = (node.settings.host, node.settings.peer_ports[0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for sequence in range(1, 41):
                data = digest_codec.encode(report._replace(sequence=sequence))
                sender.sendto(data, address)
        time.sleep(1.0)
        await trio.sleep(0.05)
        now = clock.now()
        assert [each.vm for each in node.peers.recent_digests(3.0, now)] == ["vm-9"]
        assert node.peers.recent_digests(0.9, now) == []
