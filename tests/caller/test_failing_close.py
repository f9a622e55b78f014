"""Connections whose close reports an error."""

import errno
import socket

import pytest
import trio

from tests.gateway import caller
from trial.shared_platform import fleet

# Kept open, closed by the caller, and served by the HTTP library.
_REQUESTS = {
    "kept": b"GET /view/x HTTP/1.1\r\nHost: host.example\r\n\r\n",
    "closed": b"GET /view/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "library": b"GET /view/x HTTP/1.0\r\nHost: host.example\r\n\r\n",
    "incomplete": b"GET /view/x HTTP/1.1\r\n",
}


@pytest.fixture(autouse=True)
def failing_close(monkeypatch):
    """Let each close of a connection of a VM report an error after it is done.

    Stand-ins and callers have another address, 127.0.0.1.
    """
    close = socket.socket._real_close

    def fail(sock, *arguments):
        is_connection = (
            sock.fileno() >= 0
            and sock.family == socket.AF_INET
            and sock.type == socket.SOCK_STREAM
        )
        local = sock.getsockname()[0] if is_connection else ""
        close(sock, *arguments)
        if local not in ("", "0.0.0.0", "127.0.0.1"):
            raise OSError(errno.EIO, "close failed")

    monkeypatch.setattr(socket.socket, "_real_close", fail)


async def exchange(host, data):
    """Send a request and close the connection."""
    async with await trio.open_tcp_stream(host, fleet.FIRST_VM_PORT) as stream:
        await stream.send_all(data)
        with trio.move_on_after(0.1):
            await stream.receive_some(1000)


# Guards against a daemon that ends, with all requests that it serves, because closing
# one connection reports an error.
@pytest.mark.parametrize("kind", _REQUESTS)
@caller.in_trio
async def test_an_error_at_the_close_of_a_connection_ends_nothing_else(kind):
    async with fleet.open_fleet() as deployment:
        upstream = await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        upstream.cold_seconds = upstream.warm_seconds = 0.5
        answers = []

        async def request():
            answers.append((await caller.send(vm, "/claim/x", "POST", b"b"))[1])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request)
            await trio.sleep(0.1)
            for _ in range(3):
                await exchange(vm.node.settings.host, _REQUESTS[kind])
        assert [each.status for each in answers] == [200]
        names = {name for name, _, _ in vm.node.counters.items()}
        assert not names & {"connection_failures", "internal_errors", "task_failures"}
