"""Clean-up and errors of one part of a daemon that concern all its requests."""

import errno
import functools
import logging
import socket

import pytest
import trio

from rattanlug.caller import (
    application,
    fast_path,
    listener,
    refused_connection,
    reply,
    server,
)
from rattanlug.gateway import digest_exchange
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests.gateway import caller
from trial.shared_platform import fleet

_BY_FAST_PATH = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_BY_LIBRARY = (
    b"GET /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)


# Guards against a process that ends its stop with an error because closing the socket
# for datagrams reports one.
@caller.in_trio
async def test_an_error_at_the_close_of_the_datagram_socket_ends_nothing(monkeypatch):
    close = socket.socket._real_close

    def fail(sock, *arguments):
        is_for_datagrams = sock.fileno() >= 0 and sock.type == socket.SOCK_DGRAM
        close(sock, *arguments)
        if is_for_datagrams:
            raise OSError(errno.EIO, "close failed")

    async with fleet.open_fleet() as deployment:
        await deployment.add_vm()
        monkeypatch.setattr(socket.socket, "_real_close", fail)


# Guards against a server that ends, with the requests of others, because refusing one
# connection raises an error.
@caller.in_trio
async def test_an_error_while_a_connection_is_refused(monkeypatch):
    async def fail(accepted, wait_seconds):
        raise ValueError("refusing failed")

    monkeypatch.setattr(refused_connection, "refuse", fail)

    async def respond(incoming):
        await trio.sleep(0.3)
        return reply.from_text("x")

    all_counters = counters.Counters()
    app = application.Application(respond, all_counters)
    served = server.Server(app, all_counters, max_connections=1)
    async with trio.open_nursery() as nursery:
        run = functools.partial(
            served.run, address.Address("127.0.0.1", 0), trio.Event(), 0.2
        )
        (listening,) = await nursery.start(run)
        port = listening.socket.getsockname()[1]
        first = await trio.open_tcp_stream("127.0.0.1", port)
        await first.send_all(_BY_FAST_PATH)
        await trio.sleep(0.1)
        await trio.open_tcp_stream("127.0.0.1", port)
        assert (await first.receive_some(1000)).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()


# Guards against a daemon that ends at its start, instead of waiting for its port,
# because closing the socket that could not be bound reports an error.
@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
def test_an_error_at_a_close_does_not_hide_that_a_port_is_taken(monkeypatch, kind):
    close = socket.socket._real_close

    def fail(sock, *arguments):
        close(sock, *arguments)
        raise OSError(errno.EIO, "close failed")

    with socket.socket(type=kind) as taken:
        taken.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            taken.listen()
        local = address.Address(*taken.getsockname())
        with monkeypatch.context() as patch:
            patch.setattr(socket.socket, "_real_close", fail)
            with pytest.raises(OSError) as caught:
                if kind == socket.SOCK_DGRAM:
                    digest_exchange._open_socket(local)
                else:
                    listener.Listener(local, lambda: 0.0, counters.Counters())
    assert caught.value.errno == errno.EADDRINUSE


async def _fail_when_cancelled(*arguments):
    try:
        await trio.sleep_forever()
    finally:
        raise ValueError("clean-up failed")


# Guards against an error of a request that is cut at the end of a stop and is neither
# counted nor logged, as another part of the request is cancelled beside it.
@pytest.mark.parametrize(
    ("data", "is_in_handler", "counter"),
    [
        (_BY_FAST_PATH, True, "internal_errors"),
        (_BY_LIBRARY, True, "internal_errors"),
        (_BY_FAST_PATH, False, "connection_failures"),
    ],
)
@pytest.mark.parametrize("is_watched", [False, True])
@caller.in_trio
async def test_an_error_beside_a_cancellation_is_recorded(
    data, is_in_handler, counter, is_watched, monkeypatch, caplog
):
    async def respond(incoming):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            if is_in_handler:
                nursery.start_soon(_fail_when_cancelled)
        return reply.from_text("x")

    async def serve_in_parts(served_by, *arguments):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_fail_when_cancelled)
            await serve(served_by, *arguments)

    serve = fast_path.FastPath.serve
    if not is_in_handler:
        monkeypatch.setattr(fast_path.FastPath, "serve", serve_in_parts)
    all_counters = counters.Counters()
    app = application.Application(
        respond, all_counters, ignores_disconnect=lambda incoming: not is_watched
    )
    served = server.Server(app, all_counters)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        local = address.Address("127.0.0.1", 0)
        (listening,) = await nursery.start(
            functools.partial(served.run, local, stop, 0.2)
        )
        stream = await trio.open_tcp_stream(*listening.socket.getsockname())
        await stream.send_all(data)
        await trio.sleep(0.1)
        stop.set()
    assert served.has_stopped
    counted = [(name, value) for name, _, value in all_counters.items()]
    assert (counter, 1) in counted
    (line,) = [each for each in caplog.records if each.levelno >= logging.WARNING]
    assert line.exc_info[1].split(ValueError)[0] is not None
