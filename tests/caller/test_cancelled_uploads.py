"""Callers that leave while the application isn't taking the rest of their body."""

import trio

from rattanlug.caller import application, server
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests.gateway import caller

_HEAD = b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"


# Guards against connections that stay open for ever, and use up the limit, because a
# piece of the body was waiting when their caller left.
@caller.in_trio
async def test_the_connection_of_a_cancelled_upload_ends():
    all_counters = counters.Counters()
    has_entered = trio.Event()

    async def wait(incoming):
        has_entered.set()
        await trio.sleep_forever()

    app = application.Application(wait, all_counters, streams_bodies=True)
    served = server.Server(app, all_counters)
    async with trio.open_nursery() as nursery:
        (listening,) = await nursery.start(
            served.run, address.Address("127.0.0.1", 0), trio.Event(), 0.0
        )
        port = listening.socket.getsockname()[1]
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(_HEAD + b"begin")
        await has_entered.wait()
        await stream.aclose()
        with trio.fail_after(2.0):
            while served.connections:
                await trio.sleep(0.01)
        assert all_counters.value("requests_abandoned") == 1
        nursery.cancel_scope.cancel()
