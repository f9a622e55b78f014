"""Requests that arrive while the last response of a connection is being sent."""

import pytest
import trio
import trio.testing

from rattanlug.caller import caller_stream
from tests.caller import test_fast_path
from tests.gateway import caller


# Guards against a shutdown that cuts the response to an order because bytes of the next
# request arrive between the head of the response and its body.
@pytest.mark.parametrize("next_bytes", [b"\r\n", b"GET /n", test_fast_path._PLAIN])
@caller.in_trio
async def test_bytes_of_the_next_request_do_not_cut_the_last_response(
    monkeypatch, next_bytes
):
    send, begun, received = caller_stream.CallerStream.send_all, trio.Event(), []

    async def send_late(self, data):
        if data.startswith(b"HTTP/1.1 200"):
            begun.set()
            with trio.fail_after(5):
                while not received:
                    await trio.sleep(0.001)
            # Lets the task that received the bytes handle them.
            await trio.testing.wait_all_tasks_blocked()
        await send(self, data)

    receive = caller_stream.CallerStream.receive_some

    async def record(self, max_bytes):
        data = await receive(self, max_bytes)
        if begun.is_set():
            received.append(data)
        return data

    async with test_fast_path.serving() as served:
        stream = await test_fast_path.connect_to_library(served)
        monkeypatch.setattr(caller_stream.CallerStream, "send_all", send_late)
        monkeypatch.setattr(caller_stream.CallerStream, "receive_some", record)
        served.closing = True
        await stream.send_all(test_fast_path._PLAIN)
        await begun.wait()
        await stream.send_all(next_bytes)
        head, body = await test_fast_path.read_response(stream)
        assert head.startswith(b"HTTP/1.1 200")
        assert body == b"GET /a b=1 "
        assert len(served.requests) == 2
        with trio.fail_after(5):
            assert await stream.receive_some(1) == b""
