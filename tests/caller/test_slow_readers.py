"""Callers that read their response slowly."""

import functools

import pytest
import trio

from rattanlug.caller import application, reply, server
from rattanlug.desired import limits
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests.gateway import caller

_SIZE = 16 << 20
_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n"


# Guards against a response that is cut because its caller takes longer to read it than
# a connection may be idle.
@pytest.mark.parametrize("headers", [b"", b"Transfer-Encoding: chunked\r\n"])
@caller.in_trio
async def test_a_connection_is_not_idle_while_its_response_is_sent(
    monkeypatch, headers
):
    monkeypatch.setattr(server, "SWEEP_SECONDS", 0.02)

    async def respond(incoming):
        return reply.from_text("x" * _SIZE)

    all_counters = counters.Counters()
    app = application.Application(respond, all_counters)
    in_force = limits.Limits(idle_seconds=0.1)
    served = server.Server(app, all_counters, current_limits=lambda: in_force)
    async with trio.open_nursery() as nursery:
        (listening,) = await nursery.start(
            functools.partial(
                served.run, address.Address("127.0.0.1", 0), trio.Event(), 0.0
            )
        )
        port = listening.socket.getsockname()[1]
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(
                _GET + headers + b"\r\n" + b"0\r\n\r\n" * bool(headers)
            )
            received = len(await stream.receive_some(1024))
            await trio.sleep(0.3)
            while received < _SIZE:
                data = await stream.receive_some(65536)
                assert data, received
                received += len(data)
        nursery.cancel_scope.cancel()
