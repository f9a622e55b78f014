"""Method and target of a request are passed on as received."""

import pytest
import trio

from tests.gateway import caller
from trial.shared_platform import fleet

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"


# Guards against a method or a target that the daemon or its HTTP library rewrites.
@pytest.mark.parametrize(
    ("method", "target"),
    [
        ("GET", "/view/1?"),
        ("GET", "/view/1?a=b?"),
        ("GET", "/view/1??"),
        ("GET", "/view/1"),
        ("get", "/view/1"),
        ("Purge", "/view/1"),
        ("M-SEARCH", "/view/1"),
    ],
)
@pytest.mark.parametrize("rest", [b"\r\n", _CHUNKED])
@caller.in_trio
async def test_method_and_target_reach_the_upstream_unchanged(method, target, rest):
    received = []

    async def record(stream):
        while data := await stream.receive_some():
            received.append(data.partition(b" HTTP/")[0].decode())
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nRattanlug-Request-Id: line\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, record, listeners)
        await deployment.add_upstream("u1")
        port = listeners[0].socket.getsockname()[1]
        deployment.register("u1", address=f"127.0.0.1:{port}")
        vm = await deployment.add_vm()
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        head = caller.encode(target, "line", method)[:-2]
        await stream.send_all(head + rest)
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()
    assert received == [f"{method} {target}"]
