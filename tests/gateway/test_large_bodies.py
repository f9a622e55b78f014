"""Tests of requests with large bodies."""

import contextlib
import gc
import socket

import pytest
import trio

from rattanlug.caller import reply, request, request_head
from rattanlug.gateway import admitted_request, node
from rattanlug.upstream import memory_budget
from tests.gateway import caller
from trial import http_client
from trial.shared_platform import fleet

MIB = 1 << 20
MEMORY_MB = 64
_PARTS_OF_A_REQUEST = (reply.Reply, request.Request, request_head.RequestHead)


async def start(deployment, body_limit=64 * MIB, memory_mb=MEMORY_MB):
    state = fleet.desired_state(version=3)
    state["limits"]["max_body_bytes"] = body_limit
    for path in state["virtual_hosts"][0]["paths"]:
        path["timeout_s"] = 10.0
    deployment.store.put("op", "config", state)
    await deployment.add_upstream("u1")
    vm = await deployment.add_vm(limits={"memory_mb": memory_mb, "max_fds": 1024})
    with trio.fail_after(5):
        while vm.node.desired.version != 3:
            await trio.sleep(0.01)
    return vm


async def released(vm):
    """Wait until no body is held any more; a caller has its answer a little earlier."""
    with trio.fail_after(5):
        while vm.node.memory.reserved:
            await trio.sleep(0.01)


async def upload(vm, size, answers=None, **headers):
    body = bytes(range(256)) * (size // 256)
    _, answer = await caller.send(
        vm, "/claim/1", "POST", body, Rattanlug_Deadline_Ms="10000", **headers
    )
    if answers is not None:
        answers.append(answer)
    return body, answer


# Guards against a body within the limit of the desired state that is refused, or
# arrives changed, because it is larger than what the VM holds.
@caller.in_trio
async def test_a_body_within_the_limit_arrives_unchanged():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        for size in (20 * MIB, 256 * 1024, 257 * 1024):
            body, answer = await upload(vm, size)
            assert answer.status == 200
            received = deployment.upstreams["u1"].executions[-1].body
            assert received == body
        await released(vm)


@caller.in_trio
async def test_a_chunked_body_within_the_limit_arrives_unchanged():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        local = vm.node.settings.callers
        head = caller.encode("/claim/1", "chunked-1", "POST", 10_000)
        head = head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        piece = bytes(range(256)) * 256
        count = 320
        async with await trio.open_tcp_stream(local.host, local.port) as stream:
            await stream.send_all(head)
            for _ in range(count):
                await stream.send_all(b"%x\r\n%b\r\n" % (len(piece), piece))
            await stream.send_all(b"0\r\n\r\n")
            answer = await stream.receive_some(65536)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert deployment.upstreams["u1"].executions[-1].body == count * piece


# Guards against uploads that use up the memory of the VM, which the platform ends
# then, together with the requests of all other callers.
@caller.in_trio
async def test_many_uploads_hold_a_bounded_share_of_the_memory(monkeypatch):
    # The stand-ins share the process and its load.
    monkeypatch.setattr(node.Node, "processing_delay", lambda self, at, now: 0.0)
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment, memory_mb=8)
        # So many slots that the memory is what the uploads lack.
        for name in ("u2", "u3", "u4"):
            await deployment.add_upstream(name)
        await deployment.settle()
        most, answers, small = 0, [], []

        async def watch():
            nonlocal most
            while True:
                most = max(most, vm.node.memory.reserved)
                await trio.sleep(0.005)

        async def upload_one():
            try:
                await upload(vm, MIB, answers)
            except http_client.FAILURES:
                # The caller was still sending when its request had been rejected.
                answers.append(None)

        async with trio.open_nursery() as watching:
            watching.start_soon(watch)
            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(upload_one)
                for _ in range(20):
                    small.append((await upload(vm, 1024))[1].status)
            watching.cancel_scope.cancel()
        limit = memory_budget.MAX_MEMORY_SHARE * (8 << 20)
        # Responses count too, and are sent in any case.
        assert 0 < most <= limit + 60 * 1024
        assert set(small) <= {200, 503} and 200 in small
        assert {each.status for each in answers if each} <= {200, 503}
        served = sum(each is not None and each.status == 200 for each in answers)
        assert served
        executed = {
            each.request_id
            for upstream in deployment.upstreams.values()
            for each in upstream.executions
        }
        assert len(executed) == served + small.count(200)
        for each in answers:
            if each is not None and each.status == 503:
                assert "retry-after" in each.headers
        await released(vm)


@caller.in_trio
async def test_a_body_above_the_limit_is_rejected_before_it_is_read():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment, body_limit=MIB)
        local = vm.node.settings.callers
        head = caller.encode("/claim/1", "large-1", "POST")
        head = head[:-2] + b"Content-Length: 9000000\r\n\r\n"
        async with await trio.open_tcp_stream(local.host, local.port) as stream:
            await stream.send_all(head)
            with trio.fail_after(2):
                assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 413 ")
        assert not deployment.upstreams["u1"].executions


# Guards against a caller that leaves, or stalls, inside a large body and leaves the
# upstream's connection in use, or memory reserved.
@caller.in_trio
async def test_a_caller_that_leaves_inside_its_body_holds_nothing():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        local = vm.node.settings.callers
        head = caller.encode("/claim/1", "cut-1", "POST", 10_000)
        head = head[:-2] + b"Content-Length: 9000000\r\n\r\n"
        async with await trio.open_tcp_stream(local.host, local.port) as stream:
            await stream.send_all(head + bytes(MIB))
            with trio.fail_after(5):
                while not vm.node.memory.reserved:
                    await trio.sleep(0.01)
        await released(vm)
        assert not deployment.upstreams["u1"].executions
        assert (await upload(vm, 1024))[1].status == 200


# Guards against a large body whose rest is sent to a second upstream without its
# begin, after the first one rejected the request.
@caller.in_trio
async def test_a_large_body_that_was_sent_in_part_is_not_sent_again():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        await deployment.add_upstream("u2")
        await deployment.settle()
        for each in deployment.upstreams.values():
            each.shed = True
        _, answer = await upload(vm, 3 * MIB)
        assert answer.status == 503
        assert not any(each.executions for each in deployment.upstreams.values())
        assert sum(len(each.refused) for each in deployment.upstreams.values()) == 1


# Guards against responses that callers don't read and that count no longer as soon as
# they are received, so that any number of them is held.
@caller.in_trio
async def test_responses_that_callers_do_not_read_count_until_they_are_sent():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        size = 7 * MIB
        deployment.upstreams["u1"].padding = bytes(size)
        local = vm.node.settings.callers
        streams = []
        for name in ("slow-1", "slow-2"):
            sock = trio.socket.socket()
            # A small window, so that the kernel doesn't take the response.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await sock.connect((local.host, local.port))
            stream = trio.SocketStream(sock)
            await stream.send_all(caller.encode("/view/1", name, "GET", 10_000))
            streams.append(stream)
            with trio.fail_after(5):
                while vm.node.memory.reserved < size:
                    await trio.sleep(0.01)
        assert (
            size
            <= vm.node.memory.reserved
            <= memory_budget.MAX_MEMORY_SHARE * (MEMORY_MB << 20)
        )
        for stream in streams:
            await trio.aclose_forcefully(stream)
        await released(vm)


# Guards against many callers whose heads or bodies are incomplete at the same time.
@pytest.mark.parametrize(
    "begin",
    [
        b"GET /view/1 HTTP/1.1\r\nHost: host.example\r\nX: ",
        b"POST /claim/1 HTTP/1.1\r\nHost: host.example\r\n"
        b"Content-Length: 99999\r\n\r\n",
    ],
)
@caller.in_trio
async def test_incomplete_requests_hold_a_bounded_share_of_the_memory(begin):
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment, memory_mb=4)
        local = vm.node.settings.callers
        limit = memory_budget.MAX_MEMORY_SHARE * (4 << 20)
        most, answers = 0, []

        async def send_in_part():
            async with await trio.open_tcp_stream(local.host, local.port) as stream:
                for piece in (begin, *[b"a" * 4096] * 10):
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(piece)
                with contextlib.suppress(trio.BrokenResourceError):
                    answers.append(await stream.receive_some(4096))

        async def watch():
            nonlocal most
            while True:
                most = max(most, vm.node.memory.reserved)
                await trio.sleep(0.005)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            for _ in range(60):
                nursery.start_soon(send_in_part)
            with trio.fail_after(10):
                while not answers:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert answers[0].startswith(b"HTTP/1.1 503 ")
        # The rejections count too, and are sent in any case.
        assert 0 < most <= limit + 60 * 1024
        await released(vm)


# Guards against the work of executed requests that is lost because callers announced
# bodies without sending them.
@caller.in_trio
async def test_announced_bodies_take_no_memory_from_responses(monkeypatch):
    monkeypatch.setattr(node.Node, "processing_delay", lambda self, at, now: 0.0)
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment, memory_mb=8)
        local = vm.node.settings.callers
        async with contextlib.AsyncExitStack() as stack:
            for number in range(8):
                stream = await trio.open_tcp_stream(local.host, local.port)
                await stack.enter_async_context(stream)
                await stream.send_all(
                    b"POST /claim/%d HTTP/1.1\r\nHost: x\r\n"
                    b"Content-Length: 262144\r\n\r\n" % number
                )
            await trio.sleep(0.1)
            executions = len(deployment.upstreams["u1"].executions)
            _, answer = await caller.send(vm, "/claim/1", "POST")
            executed = len(deployment.upstreams["u1"].executions) - executions
            assert (answer.status, executed) == (200, 1)


# Guards against idle connections to upstreams that keep the last request of each, with
# its body, in memory that isn't counted.
@caller.in_trio
async def test_an_idle_connection_to_an_upstream_holds_no_request():
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        _, answer = await upload(vm, memory_budget.SMALL_BODY_BYTES)
        assert answer.status == 200
        await released(vm)
        gc.collect()
        assert not [
            each
            for each in gc.get_objects()
            if type(each) is admitted_request.AdmittedRequest
        ]


# Guards against idle connections of callers that keep the last request and response of
# each, in memory that isn't counted: a daemon may exceed its limit and be killed.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize("by_library", [False, True])
@caller.in_trio
async def test_an_idle_connection_of_a_caller_holds_no_response(by_library):
    async with fleet.open_fleet() as deployment:
        vm = await start(deployment)
        deployment.upstreams["u1"].padding = bytes(MIB)
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        data = caller.encode("/claim/x", "kept", "POST")
        if by_library:
            data = data[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        await stream.send_all(data)
        received = await stream.receive_some()
        assert received.startswith(b"HTTP/1.1 200")
        size = len(received)
        while size <= MIB:
            size += len(await stream.receive_some())
        await released(vm)
        gc.collect()
        held = [each for each in gc.get_objects() if type(each) in _PARTS_OF_A_REQUEST]
        assert not held
        assert not await idle_is_closed(stream)


async def idle_is_closed(stream):
    with trio.move_on_after(0.1):
        return not await stream.receive_some()
    return False
