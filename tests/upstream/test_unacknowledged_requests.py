"""Upstreams that stop reading a request, and upstreams that are dead."""

import ctypes
import functools
import socket
import struct

import httpcore
import pytest
import trio

from rattanlug.upstream import acknowledgement_timeout, upstream_socket

HOST = "127.0.0.1"
_SO_ATTACH_FILTER = 26
_RETURN_ZERO = struct.pack("=HBBI", 0x06, 0, 0, 0)
SIZES = (100, 60_000, 1 << 20, 20 << 20)
# Retransmissions and probes are some time apart.
TOLERANCE_SECONDS = 0.5


def in_trio(function):
    @functools.wraps(function)
    def run(*args, **kwargs):
        async def limited():
            with trio.fail_after(25):
                await function(*args, **kwargs)

        trio.run(limited)

    return run


async def connect():
    """Return both ends of a connection, that of the daemon first."""
    with socket.create_server((HOST, 0)) as server:
        raw = await upstream_socket.connect(
            HOST,
            server.getsockname()[1],
            HOST,
            [acknowledgement_timeout.option()],
            1.0,
        )
        peer, _ = server.accept()
    return upstream_socket.UpstreamSocket(raw, trio.current_time), peer


def disconnect(peer):
    """Drop all that arrives from now on, before the kernel acknowledges it."""
    code = ctypes.create_string_buffer(_RETURN_ZERO)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    peer.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


async def send(connection, size, seconds):
    """Send a request and wait for a response; return when it failed."""
    connection.set_deadline(trio.current_time() + seconds)
    with pytest.raises((httpcore.NetworkError, httpcore.TimeoutException)) as caught:
        await connection.write(bytes(size))
        await connection.read(4096)
    return trio.current_time(), caught.type


# Guards against requests that wait for a dead upstream until their deadline.
@in_trio
async def test_a_dead_upstream_is_noticed():
    async def check(size):
        connection, peer = await connect()
        with peer:
            disconnect(peer)
            began = trio.current_time()
            failed_at, error = await send(connection, size, 20.0)
            await connection.aclose()
        assert issubclass(error, httpcore.NetworkError)
        limit = acknowledgement_timeout.SECONDS + TOLERANCE_SECONDS
        assert failed_at - began < limit

    async with trio.open_nursery() as nursery:
        for size in SIZES:
            nursery.start_soon(check, size)


# Guards against requests that wait until their deadline for an upstream that first
# stopped reading and then died.
@in_trio
async def test_an_upstream_that_dies_while_it_does_not_read_is_noticed():
    async def check(size, alive_seconds):
        connection, peer = await connect()
        with peer:
            died_at = trio.current_time() + alive_seconds

            async def die():
                await trio.sleep_until(died_at)
                disconnect(peer)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(die)
                failed_at, error = await send(connection, size, 20.0)
            await connection.aclose()
        assert issubclass(error, httpcore.NetworkError)
        # The kernel asks for the window again after at most the time limit.
        limit = 2 * acknowledgement_timeout.SECONDS + TOLERANCE_SECONDS
        assert 0 < failed_at - died_at < limit

    async with trio.open_nursery() as nursery:
        for size in SIZES[-2:]:
            for alive_seconds in (0.4, 1.2, 2.5, 4.0):
                nursery.start_soon(check, size, alive_seconds)


# Guards against requests that are broken off though their upstream is alive.
@in_trio
async def test_a_request_waits_for_an_upstream_that_does_not_read():
    async def check(size):
        connection, peer = await connect()
        with peer:
            began = trio.current_time()
            failed_at, error = await send(connection, size, 8.0)
            await connection.aclose()
        assert issubclass(error, httpcore.TimeoutException)
        assert failed_at - began >= 8.0

    async with trio.open_nursery() as nursery:
        for size in SIZES:
            nursery.start_soon(check, size)


# Guards against a time limit that stays extended after the upstream has read on.
@in_trio
async def test_an_upstream_that_dies_after_it_read_on_is_noticed_as_soon_as_others():
    connection, peer = await connect()
    with peer:
        size = 8 << 20
        async with trio.open_nursery() as nursery:

            async def read_on():
                await trio.sleep(4.0)
                received = 0
                while received < size:
                    received += len(await trio.to_thread.run_sync(peer.recv, 1 << 20))

            nursery.start_soon(read_on)
            connection.set_deadline(trio.current_time() + 20.0)
            await connection.write(bytes(size))
        disconnect(peer)
        began = trio.current_time()
        failed_at, error = await send(connection, size, 20.0)
        await connection.aclose()
    assert issubclass(error, httpcore.NetworkError)
    limit = acknowledgement_timeout.SECONDS + TOLERANCE_SECONDS
    assert failed_at - began < limit
