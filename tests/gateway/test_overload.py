"""Tests of requests that wait before the gateway daemon reads or sends them."""

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
# Timeout of the routes in the test's desired state, and the time after it within which
# a response must arrive.
_ROUTE_TIMEOUT_SECONDS = 1.0
_RESPONSE_MARGIN_SECONDS = 0.5


def connect(vm):
    """Open a connection without running the event loop."""
    local = vm.node.settings.callers
    return socket.create_connection((local.host, local.port))


def slow_admission(vm, seconds):
    """Block for some time in each admission; return the list of delays so far."""
    admission = vm._request_handler._admission
    admit = admission.admit
    admitted = []

    def slow_admit(*arguments):
        time.sleep(seconds)
        admitted.append(seconds)
        return admit(*arguments)

    admission.admit = slow_admit
    return admitted


# Guards against requests that reach an upstream although their callers closed the
# connection while the request waited unread.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("stall", [0.1, 0.7])
@pytest.mark.parametrize("accepted", [False, True])
@caller.in_trio
async def test_a_request_whose_caller_disconnected_before_it_was_read_never_runs(
    method, stall, accepted
):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        # Open connections to the upstream, so that nothing delays a send.
        async with trio.open_nursery() as nursery:
            for _ in range(_CALLERS):
                nursery.start_soon(caller.send, vm, "/view/x")
        path = "/view/x" if method == "GET" else "/claim/x"
        connections = [connect(vm) for _ in range(_CALLERS)]
        if accepted:
            await trio.sleep(0.05)
        request_ids = [f"left-{method}-{index}" for index in range(_CALLERS)]
        for connection, request_id in zip(connections, request_ids, strict=True):
            connection.sendall(caller.encode(path, request_id, method))
            connection.close()
        time.sleep(stall)
        await trio.sleep(0.5)
        assert [
            each for each in request_ids if caller.executions(deployment, each)
        ] == []


# Guards against callers whose requests wait in the accept queue of a busy VM past
# their route's timeout.
@pytest.mark.parametrize("method", ["GET", "POST"])
@caller.in_trio
async def test_new_connections_beyond_the_processor_capacity_are_answered_in_time(
    method,
):
    async with fleet.open_fleet() as deployment:
        for name in ("u1", "u2", "u3"):
            await deployment.add_upstream(name)
        vm = await deployment.add_vm()
        await deployment.settle()
        slow_admission(vm, 0.02)
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
        limit = _ROUTE_TIMEOUT_SECONDS + _RESPONSE_MARGIN_SECONDS
        assert [name for name, after in answered.items() if after > limit] == []


# Guards against counting a request's arrival from when it is read: the deadline also
# covers the time in a socket's buffer.
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
        request_ids = [f"late-{index}" for index in range(_CALLERS)]
        assert [
            each for each in request_ids if caller.executions(deployment, each)
        ] == []


# Guards against a retry for a caller that disconnected during the first send. The
# connection is not watched while a request that must run at most once is served.
@caller.in_trio
async def test_a_non_idempotent_request_is_not_retried_after_its_caller_disconnected():
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
        assert caller.executions(deployment, "left-during") == []


# A caller that only closes its sending half still reads the response, which must say
# truthfully that the request did not run.
@caller.in_trio
async def test_a_caller_that_half_closes_receives_a_rejection():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        with connect(vm) as connection:
            connection.sendall(caller.encode("/claim/x", "half", "POST"))
            connection.shutdown(socket.SHUT_WR)
            await trio.sleep(0.3)
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        assert caller.executions(deployment, "half") == []


async def stall_event_loop(seconds):
    """Block each iteration of the event loop for some time, until cancelled."""
    while True:
        time.sleep(seconds)
        await trio.lowlevel.checkpoint()


def respond_in_thread(server, delay):
    """Respond to one request per connection, unaffected by a stalled event loop."""
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        with connection:
            data = connection.recv(65536).lower()
            request_id = data.partition(b"request-id: ")[2].partition(b"\r\n")[0]
            time.sleep(delay)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n"
                b"Rattanlug-Request-Id: " + request_id + b"\r\n\r\nok"
            )


@contextlib.contextmanager
def threaded_upstream(delay=0.0):
    server = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=respond_in_thread, args=(server, delay))
    thread.start()
    try:
        yield server.getsockname()[1]
    finally:
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        thread.join()


# Guards against a connect timeout that is used up by the event loop's own lag, which
# would pause an upstream that accepts connections immediately.
@caller.in_trio
async def test_event_loop_lag_does_not_count_as_a_failure_to_connect():
    with threaded_upstream() as port:
        async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
            await deployment.add_upstream("u1")
            vm = await deployment.add_vm()
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.5)
            record = vm.node.registry.record("u1")
            connection = connect(vm)
            connection.sendall(caller.encode("/view/x", "slow-loop", milliseconds=9000))
            nursery.start_soon(stall_event_loop, 0.35)
            await trio.sleep(2.5)
            nursery.cancel_scope.cancel()
            assert vm.node.counters.value("sends_failed", kind="upstream_failed") == 0
            load = vm.node.placer.load(record, clock.now())
            assert not load.is_paused(clock.now())
            connection.close()


# Guards against dropping a response that arrived in time, but waits in the socket while
# the event loop is late.
@caller.in_trio
async def test_a_response_that_waits_in_the_socket_at_the_deadline_is_delivered():
    with threaded_upstream(delay=0.3) as port:
        async with fleet.open_fleet() as deployment:
            await deployment.add_upstream("u1")
            vm = await deployment.add_vm()
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.5)
            with connect(vm) as connection:
                connection.sendall(caller.encode("/claim/x", "ready", "POST"))
                await trio.sleep(0.1)
                # The route's timeout of 1 s expires meanwhile.
                time.sleep(1.1)
                await trio.sleep(0.1)
                assert connection.recv(4096).startswith(b"HTTP/1.1 200")


# Load pattern: many requests at once on a small VM. Guards against delayed reads of the
# store and delayed digests, which each take several iterations of the event loop; a
# draining upstream would then be noticed late.
@caller.in_trio
async def test_other_tasks_run_while_many_requests_wait():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        admitted = slow_admission(vm, 0.005)

        def busy_seconds():
            # Unlike a clock, it does not advance while the process is not scheduled.
            return time.process_time() + sum(admitted)

        connections = [connect(vm) for _ in range(100)]
        for index, connection in enumerate(connections):
            connection.sendall(caller.encode("/view/x", f"many-{index}"))
        iterations = []
        for _ in range(12):
            started_at = busy_seconds()
            await trio.lowlevel.checkpoint()
            iterations.append(busy_seconds() - started_at)
        for connection in connections:
            connection.close()
        # A task of twelve iterations, such as a read of the store, takes about 1 s.
        assert sum(iterations) < 1.2
        assert max(iterations) < 0.2


# Guards against followers that wait in the accept queue of a busy VM until they time
# out.
@caller.in_trio
async def test_followers_that_connect_together_are_answered_before_they_time_out():
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        vm = await deployment.add_vm()
        await deployment.settle()
        settings = vm.node.settings
        request = follow_messages.FollowRequest({names.OPERATOR_TABLE: -1}, 0.0)
        data = framing.frame(follow_codec.encode_request(request))
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
            nursery.start_soon(stall_event_loop, 0.02)
        assert max(answered_after) < table_client.RESPONSE_TIMEOUT_SECONDS
        nursery.cancel_scope.cancel()


@caller.in_trio
async def test_a_burst_beyond_the_processor_capacity_is_rejected_early():
    # Load pattern: an organisation sends many times its usual load to the only VM of a
    # data centre; hundreds of requests wait for the same iteration of the event loop.
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        await deployment.add_upstream("u2")
        await deployment.add_upstream("u3")
        vm = await deployment.add_vm()
        admitted = []
        admission = vm._request_handler._admission
        admit = admission.admit

        def slow_admit(*arguments):
            admitted.append(trio.current_time())
            time.sleep(0.02)
            return admit(*arguments)

        admission.admit = slow_admit
        local = vm.node.settings.callers
        streams = [
            await trio.open_tcp_stream(local.host, local.port) for _ in range(100)
        ]
        await trio.sleep(0.1)
        for index, stream in enumerate(streams):
            data = caller.encode("/view/x", f"burst-{index}")
            # The event loop does not run between one request and the next.
            assert stream.socket._sock.send(data) == len(data)
        heads = [await stream.receive_some(4096) for stream in streams]
        rejected = sum(head.startswith(b"HTTP/1.1 503") for head in heads)
        # Without rejections in the same iteration, all 100 are admitted over 2 s.
        assert len(admitted) <= 40
        assert rejected >= 60


@caller.in_trio
async def test_a_single_stall_of_the_process_rejects_nothing():
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        admission = vm._request_handler._admission
        reject_early = admission.reject_early
        stalls = []

        def stalled(*arguments):
            began = time.monotonic()
            time.sleep(0.2)
            response = reject_early(*arguments)
            stalls.append(time.monotonic() - began)
            return response

        vm._caller_server._local_reply = stalled
        # Repeat if the machine was too busy and the stall took longer than intended.
        while not stalls or stalls[-1] > 0.23:
            _, response = await caller.send(vm, "/view/x")
        assert response.status == 200, response.body


# Guards against an idle VM that refuses all callers who take some time to send a body,
# as if that time had been its own delay.
@pytest.mark.parametrize("pause", [0.1, 0.45])
@pytest.mark.parametrize("is_chunked", [False, True])
@caller.in_trio
async def test_the_time_in_which_a_caller_sends_its_body_is_no_delay(pause, is_chunked):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        length = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 35"
        head = caller.encode("/claim/1", "slow-1", "POST", 3000)[:-2]
        local = vm.node.settings.callers
        async with await trio.open_tcp_stream(local.host, local.port) as stream:
            await stream.send_all(head + length.encode() + b"\r\n\r\n")
            for _ in range(int(0.5 / pause)):
                await trio.sleep(pause)
                await stream.send_all(b"5\r\nhello\r\n" if is_chunked else b"hello")
            rest = b"0\r\n\r\n" if is_chunked else b"x" * (35 - 5 * int(0.5 / pause))
            # The last byte comes right behind others.
            await stream.send_all(rest[:-1])
            await stream.send_all(rest[-1:])
            answer = await stream.receive_some(65536)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert caller.executions(deployment, "slow-1")
