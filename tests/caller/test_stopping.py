"""Connections that a server has not accepted yet when it stops listening."""

import socket

import pytest
import trio

from rattanlug.caller import listener
from tests.caller import test_fast_path
from tests.gateway import caller

_REQUEST = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"
# Time after which the server aborts all connections.
_GRACEFUL_SECONDS = 2.0


@pytest.fixture
def _busy_listener(monkeypatch):
    """Keep the task that accepts connections from running before the server stops."""

    async def accept(self):
        await trio.sleep_forever()

    monkeypatch.setattr(listener.Listener, "accept", accept)


# Guards against a shutdown that resets the connections in the accept queue, whose
# requests may have arrived already.
@pytest.mark.usefixtures("_busy_listener")
@caller.in_trio
async def test_requests_in_the_accept_queue_are_answered_at_a_shutdown():
    async with test_fast_path.serving() as served:
        streams = [await test_fast_path.connect(served) for _ in range(20)]
        for each in streams:
            await each.send_all(_REQUEST)
        served.stop.set()
        for each in streams:
            _, body = await test_fast_path.read_response(each)
            assert body == b"GET /a b=1 "
            assert await each.receive_some(1) == b""


# Guards against a process that is held, until the platform kills it, by a connection
# on which no request comes.
@pytest.mark.usefixtures("_busy_listener")
@caller.in_trio
async def test_a_connection_in_the_accept_queue_does_not_hold_up_a_shutdown():
    async with test_fast_path.serving() as served:
        await test_fast_path.connect(served)
        stopped_at = trio.current_time()
        served.stop.set()
        while not served.server.has_stopped:
            await trio.sleep(0.01)
        assert trio.current_time() - stopped_at < _GRACEFUL_SECONDS / 2


# Guards against a daemon that takes a server for finished while it still accepts what
# is in the accept queue.
@pytest.mark.usefixtures("_busy_listener")
@caller.in_trio
async def test_a_server_has_stopped_once_its_accept_queue_is_served():
    async with test_fast_path.serving() as served:
        with socket.create_connection(("127.0.0.1", served.port)) as queued:
            queued.sendall(_REQUEST)
            served.stop.set()
            assert not served.server.has_stopped
            while not served.server.has_stopped:
                await trio.sleep(0.01)
            assert queued.recv(12) == b"HTTP/1.1 200"
