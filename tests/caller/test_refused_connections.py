"""Requests on connections beyond the limit of a server."""

import statistics

import pytest
import trio

from rattanlug.caller import refused_connection
from tests.caller import test_fast_path
from tests.gateway import caller

_REQUEST = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"
_UPLOAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" + bytes(20000)
# After this, a request that can't be served isn't rejected at once.
_AT_ONCE_SECONDS = 0.2


async def fill(served, monkeypatch, limit=64):
    """Open as many connections as the server has places, and keep them."""
    monkeypatch.setattr(served.server, "_max_connections", limit)
    streams = [await test_fast_path.connect(served) for _ in range(limit)]
    while served.server.connections < limit:
        await trio.sleep(0.01)
    return streams


async def receive_all(stream):
    data = b""
    while received := await stream.receive_some(4096):
        data += received
    return data


# Guards against callers that can't repeat a request, or repeat it late, since its
# connection was closed without an answer.
@pytest.mark.parametrize("request_bytes", [_REQUEST, _UPLOAD])
@pytest.mark.parametrize("delay", [0.0, 0.05])
@caller.in_trio
async def test_a_request_beyond_the_limit_is_answered(
    monkeypatch, request_bytes, delay
):
    if delay:
        # The result must not depend on the load of the machine that runs the test.
        monkeypatch.setattr(refused_connection, "WAIT_SECONDS", 2.0)
    waits = []
    async with test_fast_path.serving() as served:
        kept = await fill(served, monkeypatch)
        for _ in range(20):
            stream = await test_fast_path.connect(served)
            await trio.sleep(delay)
            sent_at = trio.current_time()
            await stream.send_all(request_bytes)
            head, _, body = (await receive_all(stream)).partition(b"\r\n\r\n")
            waits.append(trio.current_time() - sent_at)
            await stream.aclose()
            lines = head.lower().split(b"\r\n")
            assert lines[0].startswith(b"http/1.1 503 ")
            assert {b"rattanlug-ran: no", b"connection: close"} <= set(lines)
            assert any(each.startswith(b"retry-after: ") for each in lines)
            assert b"content-length: %d" % len(body) in lines
        assert statistics.median(waits) < _AT_ONCE_SECONDS
        await kept[0].send_all(_REQUEST)
        assert (await test_fast_path.read_response(kept[0]))[1] == b"GET /a b=1 "


@caller.in_trio
async def test_the_response_to_head_has_no_body(monkeypatch):
    async with test_fast_path.serving() as served:
        kept = await fill(served, monkeypatch)
        stream = await test_fast_path.connect(served)
        await stream.send_all(_REQUEST.replace(b"GET", b"HEAD"))
        data = await receive_all(stream)
        assert data.startswith(b"HTTP/1.1 503 ")
        assert data.endswith(b"\r\n\r\n")
        assert served.server.connections == len(kept)


# Guards against callers that take descriptors beyond the limit.
@pytest.mark.parametrize("sent", [b"", b"G"])
@caller.in_trio
async def test_connections_without_a_request_are_closed(monkeypatch, sent):
    async with test_fast_path.serving() as served:
        kept = await fill(served, monkeypatch)
        opened_at = trio.current_time()
        streams = [await test_fast_path.connect(served) for _ in range(20)]
        open_count = 0
        for each in streams:
            with trio.move_on_after(refused_connection.WAIT_SECONDS / 2):
                await each.send_all(sent)
        for each in streams:
            with trio.move_on_after(0.001) as scope:
                try:
                    await each.receive_some(1)
                except trio.BrokenResourceError:
                    continue
            open_count += scope.cancelled_caught
        # A part of 64 places.
        assert open_count <= 2
        for each in streams:
            try:
                assert await each.receive_some(1) == b""
            except trio.BrokenResourceError:
                continue
        assert trio.current_time() - opened_at < 2 * _AT_ONCE_SECONDS
        assert served.server.connections == len(kept)
