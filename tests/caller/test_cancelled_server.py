"""Servers that are cancelled before they have stopped."""

import functools

import pytest
import trio

from rattanlug.caller import application, reply, server
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests.gateway import caller

_SIZE = 16 << 20
_BY_FAST_PATH = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_BY_LIBRARY = b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n"


# Guards against a process that is killed at the end of its grace period because it
# waits for a caller that doesn't read its response.
@pytest.mark.parametrize("request_bytes", [_BY_FAST_PATH, _BY_LIBRARY])
@pytest.mark.parametrize("is_stopping", [False, True])
@caller.in_trio
async def test_a_cancelled_server_does_not_wait_for_slow_readers(
    request_bytes, is_stopping
):
    async def respond(incoming):
        return reply.from_text("x" * _SIZE)

    all_counters, stop = counters.Counters(), trio.Event()
    app = application.Application(respond, all_counters)
    served = server.Server(app, all_counters)
    with trio.fail_after(2.0):
        async with trio.open_nursery() as nursery:
            run = functools.partial(
                served.run, address.Address("127.0.0.1", 0), stop, 30.0
            )
            (listening,) = await nursery.start(run)
            port = listening.socket.getsockname()[1]
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(request_bytes)
            assert await stream.receive_some(1)
            if is_stopping:
                stop.set()
                while not served._stopping:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
