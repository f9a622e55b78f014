"""Responses to requests whose body was not read to its end."""

import pytest
import trio

from rattanlug.caller import application
from tests.caller import test_fast_path
from tests.gateway import caller

_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"


# Guards against a caller that sends its next request on a connection that is closed
# because the rest of a rejected body was not read.
@pytest.mark.parametrize(("sent", "is_closed"), [(200, True), (1000, False)])
@caller.in_trio
async def test_a_rejection_before_the_end_of_the_body_announces_the_close(
    monkeypatch, sent, is_closed
):
    monkeypatch.setattr(application, "_DISCARD_SECONDS", 0.1)
    async with test_fast_path.serving() as served:
        stream = await test_fast_path.connect(served)
        await stream.send_all(_HEAD)
        await trio.sleep(0.02)
        await stream.send_all(bytes(sent))
        head, _ = await test_fast_path.read_response(stream)
        assert head.startswith(b"HTTP/1.1 413")
        assert (b"connection: close" in head) is is_closed
        if is_closed:
            assert await stream.receive_some(1) == b""
        else:
            await stream.send_all(test_fast_path._PLAIN)
            head, _ = await test_fast_path.read_response(stream)
            assert head.startswith(b"HTTP/1.1 200")
