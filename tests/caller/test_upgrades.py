"""Requests that ask for another protocol."""

import pytest
import trio

from tests.caller import test_fast_path
from tests.gateway import caller

_WEBSOCKET = (
    b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)

_HTTP_2 = (
    b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n\r\n"
)


# Guards against callers that use up the connections of a VM, since those that ask for
# a WebSocket stay open for ever.
@pytest.mark.parametrize("leaves", [False, True])
@caller.in_trio
async def test_a_rejected_websocket_leaves_no_connection(leaves):
    async with test_fast_path.serving() as served:
        stream = await test_fast_path.connect(served)
        await stream.send_all(_WEBSOCKET)
        head, _ = await test_fast_path.read_response(stream)
        assert head.startswith(b"HTTP/1.1 403")
        if leaves:
            await stream.aclose()
        with trio.fail_after(2.0):
            while served.server.connections:
                await trio.sleep(0.01)


# Guards against connections that stay open for ever after a change to HTTP/2.
@caller.in_trio
async def test_a_request_for_http_2_is_rejected_by_http_1():
    async with test_fast_path.serving() as served:
        async with await test_fast_path.connect(served) as stream:
            for _ in range(2):
                await stream.send_all(_HTTP_2)
                head, _ = await test_fast_path.read_response(stream)
                assert head.startswith(b"HTTP/1.1 400")
        assert not served.requests
        with trio.fail_after(2.0):
            while served.server.connections:
                await trio.sleep(0.01)
