"""Uploads that end early, and what they leave in memory."""

import types

import h11
import pytest
import trio

from rattanlug.caller import application, reply, server
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests import reference_cycles
from tests.gateway import caller

_CHUNKED = b"PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
_SEARCHED = (BaseException, types.TracebackType, h11.Connection)
_BODY_BYTES = 100_000
_UPLOADS = {
    "complete": _CHUNKED + b"1\r\nx\r\n0\r\n\r\n",
    "malformed": _CHUNKED + b"1\r\nx\r\n" * 1000 + b"no size\r\n" + bytes(20_000),
    "too large": _CHUNKED + b"1\r\nx\r\n" * (_BODY_BYTES + 20_000),
    "left": _CHUNKED + b"1\r\nx\r\n" * 20_000,
}


async def respond(incoming):
    return reply.Reply(200, [(b"content-length", b"0")], b"")


# Guards against bytes of uploads, and errors with their frames, that stay in memory
# until the next run of the collector after their connections have ended.
@pytest.mark.parametrize("name", _UPLOADS)
@caller.in_trio
async def test_an_upload_leaves_no_reference_cycle(name):
    app = application.Application(
        respond, counters.Counters(), max_body_bytes=lambda: _BODY_BYTES
    )
    served = server.Server(app, counters.Counters())
    async with trio.open_nursery() as nursery:
        (listening,) = await nursery.start(
            served.run, address.Address("127.0.0.1", 0), trio.Event(), 0.0
        )
        port = listening.socket.getsockname()[1]
        with reference_cycles.found(_SEARCHED) as objects:
            for _ in range(3):
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    await stream.send_all(_UPLOADS[name])
                    if name != "left":
                        await stream.receive_some(1000)
            with trio.fail_after(10.0):
                while served.connections:
                    await trio.sleep(0.01)
        assert objects == []
        nursery.cancel_scope.cancel()
