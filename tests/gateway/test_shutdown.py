"""Requests that a daemon accepts or rejects while it shuts down."""

import socket
import time
import tomllib

import pytest
import trio

from rattanlug.caller import listener
from rattanlug.gateway import admission, process_phase, run
from rattanlug.platform import boot_settings
from tests.gateway import caller
from trial.shared_platform import boot_file, fleet, loopback

pytestmark = pytest.mark.usefixtures("no_overload")


# Guards against a repeatable request that is cut at the end of a shutdown, though
# another VM could have served it.
@pytest.mark.parametrize(
    ("work", "others", "milliseconds", "expected"),
    [(0.3, 1, 9000, 200), (1.5, 1, 9000, 503), (1.5, 0, 9000, 200), (1.5, 1, 900, 504)],
)
@caller.in_trio
async def test_a_repeatable_request_that_would_be_cut_goes_to_another_vm(
    work, others, milliseconds, expected
):
    async with fleet.open_fleet() as deployment:
        state = fleet.desired_state(3)
        for each in state["virtual_hosts"][0]["paths"]:
            each["timeout_s"] = 10.0
        deployment.store.put("op", "config", state)
        added = await deployment.add_upstream("u1")
        stopping = await deployment.add_vm(bounds={"grace_s": 3})
        for _ in range(others):
            await deployment.add_vm()
        await deployment.settle()
        times = stopping.node.placer.times("view", 0.4, True)
        for _ in range(5):
            times.learn(work)
        added.cold_seconds = added.warm_seconds = work
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stopping.stop)
            await trio.sleep(0.2)
            _, response = await caller.send(
                stopping, "/view/x", **{"Rattanlug-Deadline-Ms": str(milliseconds)}
            )
            nursery.cancel_scope.cancel()
        assert response.status == expected
        if expected == 503:
            assert response.headers["retry-after"] == "0"
            assert not added.executions


# Guards against requests that are rejected at a stop though they would end in time.
@caller.in_trio
async def test_a_shutdown_accepts_orders_that_end_before_it():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm(bounds={"grace_s": 3})
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.stop)
            await trio.sleep(0.05)
            # The route's timeout is 1 s; the listener closes 1.3 s before the end.
            end = trio.current_time() + 3.0 - run.EXIT_MARGIN_SECONDS - 1.3 - 0.2
            while trio.current_time() < end:
                _, response = await caller.send(vm, "/claim/x", "POST", b"b")
                statuses.append(response.status)
        assert len(statuses) > 3
        assert set(statuses) == {200}


# Guards against requests that are accepted too late in a shutdown to end before it: the
# desired state has raised the timeouts since the shutdown began.
@caller.in_trio
async def test_a_shutdown_stops_accepting_in_time_for_timeouts_that_were_raised():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        deployment.store.put("op", "config", _state_with_timeout(3, 0.5))
        vm = await deployment.add_vm(bounds={"grace_s": 4})
        await deployment.settle()
        local = vm.node.settings.callers
        async with trio.open_nursery() as nursery:
            began = trio.current_time()
            nursery.start_soon(vm.stop)
            await trio.sleep(0.05)
            _, response = await caller.send(vm, "/view/x")
            assert response.status == 200
            deployment.store.put("op", "config", _state_with_timeout(4, 1.5))
            # A request must come earlier than its timeout before the end.
            await trio.sleep_until(began + 4.0 - run.EXIT_MARGIN_SECONDS - 1.5 + 0.2)
            assert vm.node.longest_timeout() == 1.5
            await trio.sleep(0.05)
            with pytest.raises(OSError):
                await trio.open_tcp_stream(local.host, local.port)
            nursery.cancel_scope.cancel()


def _state_with_timeout(version, seconds):
    state = fleet.desired_state(version)
    for each in state["virtual_hosts"][0]["paths"]:
        each["timeout_s"] = seconds
    return state


# Guards against a daemon that breaks off a request, at which its upstream is at work,
# before the timeout of the route: after a stall it doesn't know when the request came,
# and counts from the earliest possible time.
@pytest.mark.parametrize("stopping", [False, True])
@caller.in_trio
async def test_a_request_is_not_broken_off_before_its_timeout_after_a_stall(
    stopping,
):
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        vm = await deployment.add_vm(bounds={"grace_s": 4})
        await deployment.settle()
        local = vm.node.settings.callers
        async with trio.open_nursery() as nursery:
            if stopping:
                nursery.start_soon(vm.stop)
            stream = await trio.open_tcp_stream(local.host, local.port)
            await trio.sleep(0.2)
            time.sleep(0.1)
            sent_at = trio.current_time()
            data = caller.encode("/claim/x", "after-stall", "POST")
            assert stream.socket._sock.send(data) == len(data)
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
            assert 1.0 <= trio.current_time() - sent_at < 1.0 + 0.5
            nursery.cancel_scope.cancel()


# Guards against a stop right after a start that cuts requests which were read already:
# a daemon that doesn't count as serving yet ends at once.
@caller.in_trio
async def test_a_daemon_counts_as_serving_before_it_accepts_a_caller(monkeypatch):
    daemons, was_serving = [], []
    serve, accept = run.GatewayDaemon.serve, listener.Listener.accept

    async def record_daemon(self, **options):
        daemons.append(self)
        await serve(self, **options)

    async def record_state(self):
        if self.socket.getsockname()[1] == fleet.FIRST_VM_PORT:
            was_serving.append(daemons[0].is_serving)
        return await accept(self)

    monkeypatch.setattr(run.GatewayDaemon, "serve", record_daemon)
    monkeypatch.setattr(listener.Listener, "accept", record_state)
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        _, response = await caller.send(vm, "/view/x")
        assert response.status == 200
    assert set(was_serving) == {True}


# Guards against a daemon that breaks off a request during its shutdown before the time
# that the caller gave it, or that at other times responds only after that time.
@pytest.mark.parametrize(
    ("stop_after", "earliest", "latest"),
    [(None, 0.0, 0.6), (0.0, 0.6, 1.0), (0.2, 0.6, 1.0), (0.38, 0.6, 1.0)],
)
@pytest.mark.parametrize("path", ["/claim/x", "/view/x"])
@caller.in_trio
async def test_a_shutdown_waits_until_the_caller_s_deadline(
    path, stop_after, earliest, latest, monkeypatch
):
    monkeypatch.setattr(admission, "RESPONSE_MARGIN_SECONDS", 0.2)
    # No stop of a previous process can be under way.
    monkeypatch.setattr(process_phase, "STOP_MARGIN_SECONDS", -4.0)
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        vm = await deployment.add_vm(bounds={"grace_s": 4})
        await deployment.settle()
        local = vm.node.settings.callers
        async with trio.open_nursery() as nursery:
            if stop_after == 0.0:
                nursery.start_soon(vm.stop)
            stream = await trio.open_tcp_stream(local.host, local.port)
            sent_at = trio.current_time()
            unscheduled = caller.unscheduled_seconds()
            await stream.send_all(
                caller.encode(path, "waiting", "POST", milliseconds=600)
            )
            if stop_after:
                await trio.sleep(stop_after)
                nursery.start_soon(vm.stop)
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
            unscheduled = caller.unscheduled_seconds() - unscheduled
            assert earliest <= trio.current_time() - sent_at < latest + unscheduled
            nursery.cancel_scope.cancel()


# Guards against a daemon that breaks off requests before their callers' deadlines while
# the stop of its VM's previous process is under way, of which it doesn't know.
@pytest.mark.parametrize("path", ["/claim/x", "/view/x"])
@caller.in_trio
async def test_the_next_process_waits_until_the_caller_s_deadline(path, monkeypatch):
    monkeypatch.setattr(admission, "RESPONSE_MARGIN_SECONDS", 0.2)
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        vm = await deployment.add_vm(bounds={"grace_s": 4})
        await deployment.settle()
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        sent_at = trio.current_time()
        await stream.send_all(caller.encode(path, "waiting", "POST", milliseconds=600))
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
        assert 0.6 <= trio.current_time() - sent_at < 1.0


# Guards against a process that was started before the one before it got its SIGTERM,
# and that takes that stop for over because it has waited long for the ports.
@pytest.mark.parametrize("port", ["peer", "callers"])
@pytest.mark.parametrize("path", ["/claim/x", "/view/x"])
@caller.in_trio
async def test_a_process_that_waited_for_its_ports_waits_until_the_caller_s_deadline(
    path, port, monkeypatch
):
    monkeypatch.setattr(admission, "RESPONSE_MARGIN_SECONDS", 0.2)
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        host = loopback.host(1)
        text = boot_file.render(
            "vm-1",
            host,
            fleet.FIRST_VM_PORT,
            deployment._store_port,
            bounds={"grace_s": 4, "contact_s": 1.5},
        )
        settings = boot_settings.decode(tomllib.loads(text))
        number = settings.peer_ports[0] if port == "peer" else settings.callers.port
        with socket.create_server((host, number)):
            vm = run.GatewayDaemon(settings)
            deployment._nursery.start_soon(vm.serve)
            await trio.sleep(2.0)
        with trio.fail_after(3):
            while not (vm.is_serving and vm.node.ready):
                await trio.sleep(0.01)
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        sent_at = trio.current_time()
        await stream.send_all(caller.encode(path, "waiting", "POST", milliseconds=600))
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
        assert 0.6 <= trio.current_time() - sent_at < 1.0
        # The stop is over.
        await trio.sleep_until(sent_at + 1.5)
        sent_at = trio.current_time()
        data = caller.encode(path, "waiting-2", "POST", milliseconds=600)
        await stream.send_all(data)
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
        assert trio.current_time() - sent_at < 0.6


# Guards against requests that are cut in the middle of a grace period because it was
# shorter when the daemon started.
@caller.in_trio
async def test_a_shutdown_has_the_grace_period_in_force():
    async with fleet.open_fleet() as deployment:
        state = fleet.desired_state(3)
        for each in state["virtual_hosts"][0]["paths"]:
            each["timeout_s"] = 4.0
        deployment.store.put("op", "config", state)
        added = await deployment.add_upstream("u1")
        vm = await deployment.add_vm(bounds={"grace_s": 1})
        await deployment.settle()
        added.cold_seconds = added.warm_seconds = 2.0
        settings = vm.node.settings
        vm.node.reload(settings._replace(bounds=settings.bounds._replace(stop=6.0)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.stop)
            # The listener closes 2.9 s after the signal.
            await trio.sleep(2.6)
            _, response = await caller.send(
                vm, "/claim/x", "POST", b"b", Rattanlug_Deadline_Ms="2900"
            )
        assert response.status == 200


# Guards against a daemon that has long been connected and leaves callers without a
# response at the end of their time, because a stop may have preceded its start.
@caller.in_trio
async def test_a_connected_daemon_responds_before_the_caller_s_deadline(monkeypatch):
    monkeypatch.setattr(admission, "RESPONSE_MARGIN_SECONDS", 0.3)
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        vm = await deployment.add_vm(bounds={"grace_s": 6, "contact_s": 1})
        await deployment.settle()
        await trio.sleep(1.0)
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        sent_at = trio.current_time()
        data = caller.encode("/claim/x", "waiting", "POST", milliseconds=1000)
        await stream.send_all(data)
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 504")
        assert trio.current_time() - sent_at < 1.0
