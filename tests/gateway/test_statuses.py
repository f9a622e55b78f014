"""Responses with a status that no HTTP response has, as callers of a VM see them."""

import functools
import re

import pytest
import trio

from tests.gateway import caller
from trial.shared_platform import fleet

NO_STATUSES = [b"000", b"099", b"600", b"999", b"0", b"20", b"2000", b"-20", b"2O0"]
_REQUESTS = 6
_REQUEST_ID = re.compile(rb"rattanlug-request-id: ([^\r]+)", re.IGNORECASE)


class Upstream:
    """Responds to each request with one status; counts its requests."""

    def __init__(self, status):
        self.status = status
        self.requests = 0

    async def serve(self, stream):
        async with stream:
            while received := await stream.receive_some(65536):
                self.requests += 1
                identifier = _REQUEST_ID.search(received)[1]
                await stream.send_all(
                    b"HTTP/1.1 %b X\r\nRattanlug-Request-Id: %b\r\n"
                    b"Rattanlug-Server-Stamp: stamp-%b\r\nContent-Length: 2\r\n\r\nab"
                    % (self.status, identifier, identifier)
                )

    async def register(self, deployment, nursery):
        listen = functools.partial(trio.serve_tcp, self.serve, 0, host="127.0.0.1")
        (listening,) = await nursery.start(listen)
        port = listening.socket.getsockname()[1]
        await deployment.add_upstream("u1")
        deployment.register("u1", address=f"127.0.0.1:{port}")


def failures(vm):
    return vm.node.counters.value("sends_failed", kind="answer_broken")


# Guards against a caller that gets such a response as the one to its request, and an
# order that runs a second time because its first response had no status.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize("status", NO_STATUSES)
@caller.in_trio
async def test_a_status_of_no_response_is_502_and_runs_at_most_once(status):
    upstream = Upstream(status)
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        await upstream.register(deployment, nursery)
        vm = await deployment.add_vm()
        _, answer = await caller.send(vm, "/claim/1", "POST")
        assert (answer.status, upstream.requests, failures(vm)) == (502, 1, 1)
        for method in ("GET", "HEAD"):
            _, answer = await caller.send(vm, "/view/1", method)
            assert answer.status == 502
        assert failures(vm) == upstream.requests
        nursery.cancel_scope.cancel()


# Guards against a VM that takes such responses for successes of their upstream, and
# goes on to send requests there.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize("status", NO_STATUSES)
@caller.in_trio
async def test_a_status_of_no_response_is_a_failure_of_its_upstream(status):
    upstream = Upstream(status)
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        await upstream.register(deployment, nursery)
        sound = await deployment.add_upstream("u2")
        vm = await deployment.add_vm()
        for number in range(_REQUESTS):
            _, answer = await caller.send(vm, f"/view/{number}")
            assert answer.status == 200
        assert len(sound.executions) == _REQUESTS
        assert failures(vm) == upstream.requests
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("status", [299, 399, 499, 599])
@caller.in_trio
async def test_the_last_status_of_each_class_reaches_the_caller(status):
    upstream = Upstream(b"%d" % status)
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        await upstream.register(deployment, nursery)
        vm = await deployment.add_vm()
        _, answer = await caller.send(vm, "/claim/1", "POST")
        assert (answer.status, answer.body, upstream.requests) == (status, b"ab", 1)
        assert failures(vm) == 0
        nursery.cancel_scope.cancel()
