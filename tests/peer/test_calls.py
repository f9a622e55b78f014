"""Tests of calls between a client and a server over loopback."""

import collections

import pytest
import trio

from rattanlug.errors import error as error_tree
from rattanlug.errors import kind
from rattanlug.peer import client, codec, error, framing, server
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address


async def _answer_relay(message, sender):
    if message.request == b"wait":
        await trio.sleep(0.2)
    if message.request == b"refuse":
        raise error_tree.RefusedError(kind.ErrorKind.NO_CAPACITY, "full")
    if message.request == b"fail":
        raise ZeroDivisionError
    if message.request == b"too long":
        return ttypes.PlatformAnswer(bytes(framing.MAX_FRAME_BYTES))
    return ttypes.PlatformAnswer(message.request + sender.vm.encode())


def _run(scenario):
    async def main():
        counters = collections.Counter()
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                server.serve,
                address.Address("127.0.0.1", 0),
                {ttypes.RelayPlatform: _answer_relay},
                "b",
                counters,
            )
            peer = address.Address(*listeners[0].socket.getsockname()[:2])
            caller = client.PeerClient("a", "127.0.0.1", counters)
            await nursery.start(caller.run)
            with trio.fail_after(5):
                await scenario(caller, peer, counters)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_responses_reach_their_own_requests():
    # Fails if responses are matched by order, since the slow request is sent first.
    async def scenario(caller, peer, counters):
        answers = {}

        async def call(request):
            message = ttypes.RelayPlatform(request)
            answers[request] = (await caller.call(peer, message, 2)).answer

        async with trio.open_nursery() as nursery:
            for request in [b"wait", *(b"%d" % i for i in range(20))]:
                nursery.start_soon(call, request)
        assert len(answers) == 21
        assert all(answer == request + b"a" for request, answer in answers.items())
        assert counters["peer_connects"] == 1

    _run(scenario)


def test_failures_have_their_own_types_and_the_connection_survives():
    # Fails if a handler's error, a missing handler or a late response ends the
    # connection or reaches the caller as a response.
    async def scenario(caller, peer, counters):
        with pytest.raises(error.PeerRefusedError) as refused:
            await caller.call(peer, ttypes.RelayPlatform(b"refuse"), 2)
        assert refused.value.kind == "no_capacity"
        with pytest.raises(error.PeerRefusedError):
            await caller.call(peer, ttypes.RelayPlatform(b"fail"), 2)
        with pytest.raises(error.PeerRefusedError):
            await caller.call(peer, ttypes.RelayPlatform(b"too long"), 2)
        with pytest.raises(error.PeerRefusedError):
            await caller.call(peer, ttypes.Gossip(), 2)
        async with trio.open_nursery() as nursery:
            # Keeps the connection in use while the other call times out.
            nursery.start_soon(caller.call, peer, ttypes.RelayPlatform(b"wait"), 2)
            nursery.start_soon(_expect_timeout, caller, peer)
            await trio.sleep(0.01)
            await caller.call(peer, ttypes.RelayPlatform(b"x"), 2)
        await caller.call(peer, ttypes.RelayPlatform(b"x"), 2)
        assert counters["peer_connects"] == 1
        assert counters["peer_responses_late"] == 1
        assert counters["peer_handler_errors"] == 2

    _run(scenario)


async def _expect_timeout(caller, peer):
    with pytest.raises(error.PeerTimeoutError):
        await caller.call(peer, ttypes.RelayPlatform(b"wait"), 0.1)


def test_malformed_frame_closes_only_its_own_connection():
    # Fails if a hostile or faulty peer stops the server or is not counted.
    async def scenario(caller, peer, counters):
        bad = [b"\xff" * 8, framing.frame(b"\x00rubbish"), b"\x00\x00\x00\x09abc"]
        for data in bad:
            stream = await trio.open_tcp_stream(*peer)
            await stream.send_all(data)
            await stream.send_eof()
            assert await stream.receive_some() == b""
        assert counters["peer_frames_bad"] == len(bad)
        await caller.call(peer, ttypes.RelayPlatform(b"x"), 2)

    _run(scenario)


def test_the_client_reconnects_after_the_peer_restarts():
    # Fails if a closed connection stays in the client's table.
    async def scenario(caller, peer, counters):
        async def serve_one(stream):
            data = await framing.FrameReader(stream).receive()
            id = codec.decode(data).id
            answer = codec.encode(id, "c", ttypes.PlatformAnswer(b"y"))
            await stream.send_all(framing.frame(answer))
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                lambda task_status: trio.serve_tcp(
                    serve_one, 0, host="127.0.0.1", task_status=task_status
                )
            )
            other = address.Address(*listeners[0].socket.getsockname()[:2])
            for _ in range(3):
                await caller.call(other, ttypes.RelayPlatform(b"x"), 2)
                await trio.sleep(0.02)
            assert counters["peer_connects"] == 3
            nursery.cancel_scope.cancel()
        with pytest.raises(error.PeerUnreachableError):
            await caller.call(other, ttypes.RelayPlatform(b"x"), 2)

    _run(scenario)
