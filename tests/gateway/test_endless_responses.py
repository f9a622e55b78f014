"""Upstreams that send bytes without end, as callers and the platform see it."""

import functools
import gc
import pathlib
import random
import re

import httpcore
import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.errors import error
from tests import reference_cycles
from tests.gateway import caller
from trial.cases import lab as lab_module
from trial.cases.plays import endless
from trial.shared_platform import endless_response, fleet

_ROOT = pathlib.Path(__file__).parent.parent.parent
_HELD = (error.RattanlugError, httpcore.ProtocolError)
_REQUESTS = 3


async def add_upstream(deployment, nursery, send):
    """Add an upstream that answers each request by ``send(stream, request_id)``."""

    async def serve(stream):
        async with stream:
            received = await stream.receive_some(4096)
            found = re.search(rb"rattanlug-request-id: ([^\r]+)", received.lower())
            try:
                await send(stream, found[1].decode())
            except trio.BrokenResourceError:
                pass

    listen = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    (listening,) = await nursery.start(listen)
    port = listening.socket.getsockname()[1]
    await deployment.add_upstream("u1")
    deployment.register("u1", address=f"127.0.0.1:{port}")


def held():
    """Return the errors that are alive."""
    return [each for each in gc.get_objects() if isinstance(each, _HELD)]


async def send_requests(send, path, method):
    """Send requests to a VM with such an upstream; return what they leave behind."""
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        await add_upstream(deployment, nursery, send)
        vm = await deployment.add_vm(limits={"memory_mb": 8, "max_fds": 1024})
        # Other tests may have left some.
        before = held()
        known = {id(each) for each in before}
        with reference_cycles.found() as left:
            for _ in range(_REQUESTS):
                _, answer = await caller.send(vm, path, method)
                assert answer.status in (502, 503, 504)
            with trio.fail_after(5):
                while vm.node.memory.reserved:
                    await trio.sleep(0.01)
            await trio.sleep(0.1)
            left += [each for each in held() if id(each) not in known]
        nursery.cancel_scope.cancel()
        return [type(each).__name__ for each in left]


# Guards against bodies of failed attempts that stay in memory, in reference cycles of
# an error with its traceback, until the next run of the collector: the platform ends a
# daemon that exceeds its memory, together with the requests of all other callers.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize("form", endless_response.FORMS)
@caller.in_trio
async def test_failed_attempts_leave_no_reference_cycle(form):
    async def send(stream, request_id):
        await endless_response.FORMS[form].send(stream, 200, request_id)

    assert await send_requests(send, "/view/1", "GET") == []
    assert await send_requests(send, "/claim/1", "POST") == []


# The same for a complete response that doesn't say whether the request ran.
@pytest.mark.usefixtures("no_overload")
@caller.in_trio
async def test_an_ambiguous_response_leaves_no_reference_cycle():
    async def send(stream, request_id):
        await stream.send_all(
            b"HTTP/1.1 503 X\r\nContent-Length: 100000\r\n"
            b"Rattanlug-Request-Id: %b\r\n\r\n" % request_id.encode() + bytes(100_000)
        )

    assert await send_requests(send, "/claim/1", "POST") == []


# Guards against a sound upstream that is avoided because bodies of a faulty one have
# used up the memory when it responds.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize(
    "lines, is_blamed", [("Content-Length: 400000\r\n", False), ("", True)]
)
@caller.in_trio
async def test_memory_that_others_use_up_is_no_failure_of_the_upstream(
    lines, is_blamed
):
    async def send(stream, request_id):
        head = f"HTTP/1.1 200 X\r\nRattanlug-Request-Id: {request_id}\r\n{lines}\r\n"
        await stream.send_all(head.encode() + bytes(400_000))

    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        await add_upstream(deployment, nursery, send)
        vm = await deployment.add_vm(limits={"memory_mb": 8, "max_fds": 1024})
        vm.node.memory.reserve(1 << 20, 1 << 20)
        _, answer = await caller.send(vm, "/claim/1", "POST")
        assert answer.status == 502
        record = vm.node.registry.record("u1")
        load = vm.node.placer.load(record, clock.now())
        assert (load.failure_share(clock.now()) > 0.0) == is_blamed
        nursery.cancel_scope.cancel()


# Guards against a daemon that runs out of memory or stands still, with the requests of
# all its callers, because upstreams send bytes without end: one of six, then all.
@pytest.mark.parametrize("form", endless_response.FORMS)
def test_bytes_without_end_end_no_daemon_and_lose_no_request(form, tmp_path):
    async def main():
        async with trio.open_nursery() as nursery:
            lab = lab_module.Lab(nursery, tmp_path, _ROOT, random.Random(1))
            try:
                with trio.fail_after(60.0):
                    await endless.play(
                        lab,
                        endless_response.FORMS[form],
                        faulty=[1, 6],
                        callers=60,
                        fault_seconds=0.6,
                        calm_seconds=0.3,
                    )
                lab.judge()
            finally:
                lab.end()
            nursery.cancel_scope.cancel()
            assert lab.breaches == [], lab.notes

    trio.run(main)
