"""Bytes after a request whose caller announces the close of its connection."""

import pytest
import trio

from tests.caller import test_fast_path
from tests.gateway import caller

_HEAD = b"Host: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"


# Guards against a request that is answered 400 while it is being served, because of a
# blank line or other bytes after its body.
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("rest", [b"\r\n", b"GET /b"])
@pytest.mark.parametrize("is_later", [False, True])
@caller.in_trio
async def test_bytes_after_the_last_request_leave_its_response_alone(
    version, rest, is_later
):
    async with test_fast_path.serving(ignores_disconnect=True) as served:
        served.hold_requests()
        stream = await test_fast_path.connect(served)
        data = b"POST /a HTTP/%b\r\n%b" % (version, _HEAD)
        await stream.send_all(data if is_later else data + rest)
        await served.entered.wait()
        if is_later:
            await stream.send_all(rest)
            with trio.move_on_after(0.05):
                await stream.receive_some(1)
        served.release.set()
        head, body = await test_fast_path.read_response(stream)
        assert head.startswith(b"HTTP/1.1 200")
        assert body == b"POST /a  abc"
