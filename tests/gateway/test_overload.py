"""Tests of requests that wait before an entry daemon reads or sends them."""

import contextlib
import socket
import threading
import time

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.gateway import table_client
from rattanlug.peer import framing
from rattanlug.platform import names
from rattanlug.tables import follow_codec, follow_messages
from tests.gateway import caller
from trial.shared_platform import fleet

_CALLERS = 10
_FOLLOWERS = 60
# A route's timeout in the stand-in's desired state, and the time within which an
# answer has to follow it, seconds.
_ROUTE_SECONDS = 1.0
_ANSWER_SECONDS = 0.5


def connect(vm):
    """Open a connection without a turn of the event loop."""
    local = vm.node.settings.callers
    return socket.create_connection((local.host, local.port))


def slow_down(vm, seconds):
    """Let each request that may be admitted take some time; return those that did."""
    admission = vm._path._admission
    admit = admission.admit
    admitted = []

    def slow_admit(*arguments):
        time.sleep(seconds)
        admitted.append(seconds)
        return admit(*arguments)

    admission.admit = slow_admit
    return admitted


# Guards against requests that reach an upstream although their callers closed the
# connection while the request waited unread (incident CONFIG, GONE).
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("stall", [0.1, 0.7])
@pytest.mark.parametrize("kept", [False, True])
@caller.in_trio
async def test_a_request_whose_caller_left_before_it_was_read_never_runs(
    method, stall, kept
):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        # Connections to the upstream are open, so that nothing delays a send.
        async with trio.open_nursery() as nursery:
            for _ in range(_CALLERS):
                nursery.start_soon(caller.send, vm, "/view/x")
        path = "/view/x" if method == "GET" else "/claim/x"
        connections = [connect(vm) for _ in range(_CALLERS)]
        if kept:
            await trio.sleep(0.05)
        names = [f"left-{method}-{index}" for index in range(_CALLERS)]
        for connection, name in zip(connections, names, strict=True):
            connection.sendall(caller.encode(path, name, method))
            connection.close()
        time.sleep(stall)
        await trio.sleep(0.5)
        assert [name for name in names if caller.runs(deployment, name)] == []


# Guards against callers whose requests wait in the accept queue of a busy VM past
# their route's timeout (incident CONFIG, GONE).
@pytest.mark.parametrize("method", ["GET", "POST"])
@caller.in_trio
async def test_new_connections_beyond_the_processor_are_answered_in_time(method):
    async with fleet.open_fleet() as deployment:
        for name in ("u1", "u2", "u3"):
            await deployment.add_upstream(name)
        vm = await deployment.add_vm()
        await deployment.settle()
        slow_down(vm, 0.02)
        path = "/view/x" if method == "GET" else "/claim/x"
        began = time.monotonic()
        answered = {}

        async def ask(name):
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(connect(vm)))
            async with stream:
                await stream.send_all(caller.encode(path, name, method))
                await stream.receive_some(4096)
            answered[name] = time.monotonic() - began

        async with trio.open_nursery() as nursery:
            for index in range(150):
                nursery.start_soon(ask, f"queued-{method}-{index}")
        limit = _ROUTE_SECONDS + _ANSWER_SECONDS
        assert [name for name, after in answered.items() if after > limit] == []


# Guards against a time of arrival that starts only when a request is read (incident
# CONFIG, GONE): its caller's time passes in a socket's buffer as well.
@caller.in_trio
async def test_the_time_in_a_socket_s_buffer_counts_against_the_deadline():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        streams = []
        for index in range(_CALLERS):
            connection = connect(vm)
            connection.sendall(
                caller.encode("/claim/x", f"late-{index}", "POST", milliseconds=300)
            )
            streams.append(connection)
        time.sleep(0.4)
        await trio.sleep(0.5)
        for connection in streams:
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
            connection.close()
        ran = [f"late-{index}" for index in range(_CALLERS)]
        assert [name for name in ran if caller.runs(deployment, name)] == []


# Guards against a second send for a caller that left during the first (incident
# CONFIG, GONE): nobody watches the connection of a once-only request.
@caller.in_trio
async def test_a_once_only_request_is_not_sent_again_after_its_caller_left():
    async with fleet.open_fleet() as deployment:
        for name in ("u1", "u2"):
            upstream = await deployment.add_upstream(name)
            upstream.shed_seconds = 0.3
        vm = await deployment.add_vm()
        await deployment.settle()
        for each in deployment.upstreams.values():
            each.shed = True
        with connect(vm) as connection:
            connection.sendall(caller.encode("/claim/x", "left-during", "POST"))
            await trio.sleep(0.15)
        await trio.sleep(0.6)
        sends = [each.refused for each in deployment.upstreams.values()]
        assert sorted(map(len, sends)) == [0, 1]
        assert caller.runs(deployment, "left-during") == []


# A caller that only closes its sending half still reads, and what it reads is true.
@caller.in_trio
async def test_a_caller_that_half_closes_is_told_that_its_request_did_not_run():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        with connect(vm) as connection:
            connection.sendall(caller.encode("/claim/x", "half", "POST"))
            connection.shutdown(socket.SHUT_WR)
            await trio.sleep(0.3)
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        assert caller.runs(deployment, "half") == []


async def stall_turns(seconds):
    """Let each turn of the event loop take some time, until cancelled."""
    while True:
        time.sleep(seconds)
        await trio.lowlevel.checkpoint()


def answer_in_thread(server, delay):
    """Answer one request on each connection, as an upstream that is not stalled."""
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        with connection:
            data = connection.recv(65536).lower()
            name = data.partition(b"request-id: ")[2].partition(b"\r\n")[0]
            time.sleep(delay)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n"
                b"Rattanlug-Request-Id: " + name + b"\r\n\r\nok"
            )


@contextlib.contextmanager
def threaded_upstream(delay=0.0):
    server = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=answer_in_thread, args=(server, delay))
    thread.start()
    try:
        yield server.getsockname()[1]
    finally:
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        thread.join()


# Guards against a time limit that the event loop's own delay uses up (same cause as
# incident CONFIG, GONE): an upstream that accepts at once is not to be left alone.
@caller.in_trio
async def test_a_late_event_loop_does_not_count_as_an_upstream_without_connection():
    with threaded_upstream() as port:
        async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
            await deployment.add_upstream("u1")
            vm = await deployment.add_vm()
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.5)
            record = vm.node.registry.record("u1")
            connection = connect(vm)
            connection.sendall(caller.encode("/view/x", "slow-loop", milliseconds=9000))
            nursery.start_soon(stall_turns, 0.35)
            await trio.sleep(2.5)
            nursery.cancel_scope.cancel()
            assert vm.node.counters.value("sends_failed", kind="upstream_failed") == 0
            load = vm.node.placer.load(record, clock.now())
            assert not load.is_paused(clock.now())
            connection.close()


# Guards against dropping an answer that was there in time (same cause): it waits in
# the socket while the event loop is late.
@caller.in_trio
async def test_an_answer_that_waits_at_the_deadline_is_delivered():
    with threaded_upstream(delay=0.3) as port:
        async with fleet.open_fleet() as deployment:
            await deployment.add_upstream("u1")
            vm = await deployment.add_vm()
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.5)
            with connect(vm) as connection:
                connection.sendall(caller.encode("/claim/x", "ready", "POST"))
                await trio.sleep(0.1)
                # The route's timeout of 1 s passes meanwhile.
                time.sleep(1.1)
                await trio.sleep(0.1)
                assert connection.recv(4096).startswith(b"HTTP/1.1 200")


# Load pattern: many requests at once on a small VM. Guards against reads of the store
# and reports that fall behind, since each takes several turns of the event loop (seen
# in the trials on the incident CONFIG, GONE: a leaving upstream was found out late).
@caller.in_trio
async def test_other_work_has_its_turns_while_many_requests_wait():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        admitted = slow_down(vm, 0.005)

        def worked():
            # Unlike a clock it doesn't run on while the machine holds the test up.
            return time.process_time() + sum(admitted)

        connections = [connect(vm) for _ in range(100)]
        for index, connection in enumerate(connections):
            connection.sendall(caller.encode("/view/x", f"many-{index}"))
        turns = []
        for _ in range(12):
            began = worked()
            await trio.lowlevel.checkpoint()
            turns.append(worked() - began)
        for connection in connections:
            connection.close()
        # Work of twelve turns, such as a read of the store, is over in about a second.
        assert sum(turns) < 1.2
        assert max(turns) < 0.2


# Guards against followers that wait in the accept queue of a busy VM until they give it
# up (same cause as incident CONFIG, GONE).
@caller.in_trio
async def test_followers_that_come_together_are_answered_before_they_give_up():
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        vm = await deployment.add_vm()
        await deployment.settle()
        settings = vm.node.settings
        asked = follow_messages.FollowRequest({names.OPERATOR_TABLE: -1}, 0.0)
        data = framing.frame(follow_codec.encode_request(asked))
        answered_after = []

        async def follow(connection, began):
            with connection:
                await trio.lowlevel.wait_readable(connection)
                assert connection.recv(1)
                answered_after.append(time.monotonic() - began)

        began = time.monotonic()
        async with trio.open_nursery() as followers:
            for _ in range(_FOLLOWERS):
                connection = socket.create_connection(
                    (settings.host, settings.peer_ports[0])
                )
                connection.sendall(data)
                followers.start_soon(follow, connection, began)
            nursery.start_soon(stall_turns, 0.02)
        assert max(answered_after) < table_client.ANSWER_SECONDS
        nursery.cancel_scope.cancel()
