"""Tests of the platform client against a fake platform and faulty servers."""

import pytest
import trio

from rattanlug.settings import address
from rattanlug.table_service import client, error, write
from trial import http_client, http_server
from trial.platform import server

HOST = "127.0.0.1"


async def _serve(nursery, handler):
    listeners = await nursery.start(http_server.serve, HOST, 0, handler)
    return listeners[0].socket.getsockname()[1]


def _with_platform(test):
    async def main():
        async with trio.open_nursery() as nursery:
            fake_platform = server.PlatformServer(nursery)
            port = await _serve(nursery, fake_platform.answer)
            platform = client.PlatformClient(
                address.Address(HOST, port), HOST, timeout=0.3
            )

            async def control(**values):
                await http_client.request(HOST, port, "POST", "/.control", values)

            await test(platform, control)
            nursery.cancel_scope.cancel()

    trio.run(main)


def _with_handler(test, handler):
    async def main():
        async with trio.open_nursery() as nursery:
            port = await _serve(nursery, handler)
            platform = client.PlatformClient(
                address.Address(HOST, port), HOST, timeout=0.3
            )
            await test(platform)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _commit_fails(platform, expected=0):
    with pytest.raises(error.PlatformError) as caught:
        await platform.commit([write.Write("t", "k", expected, 1)])
    return caught.value.maybe_applied


def test_rows_and_objects_survive_names_with_slashes():
    """Guards against wrong quoting of keys such as ``moves/a b``."""

    async def test(platform, control):
        name = "urdina/a b?c%2F#d"
        (revision,) = await platform.commit([write.Write("t", name, 0, {"a": 1})])
        found = await platform.get("t", name)
        assert (found.revision, found.value) == (revision, {"a": 1})
        assert [each.key for each in await platform.scan("t", "urdina/")] == [name]
        assert await platform.scan("t", "gorria/") == []
        await platform.commit([write.Write("t", name, revision, None)])
        assert await platform.get("t", name) is None
        await platform.put_object(name, b"\x00\xff")
        assert await platform.get_object(name) == b"\x00\xff"
        assert await platform.get_object("absent") is None
        assert await platform.list_vms() == []

    _with_platform(test)


def test_conflict_returns_the_current_row_and_applies_nothing():
    """Guards against a lost update and against a partly applied transaction."""

    async def test(platform, control):
        (revision,) = await platform.commit([write.Write("t", "b", 0, "first")])
        with pytest.raises(error.ConflictError) as caught:
            await platform.commit(
                [write.Write("t", "a", 0, "x"), write.Write("t", "b", 0, "second")]
            )
        assert caught.value.index == 1
        assert caught.value.row == ("b", revision, "first")
        assert await platform.get("t", "a") is None

    _with_platform(test)


def test_write_whose_response_is_dropped_may_have_been_applied():
    """Guards against reporting a write that took effect as not applied."""

    async def test(platform, control):
        await control(drop_answers=1)
        assert await _commit_fails(platform) is True
        assert (await platform.get("t", "k")).value == 1

    _with_platform(test)


@pytest.mark.parametrize("mode", ["hanging", "slow"])
def test_write_that_times_out_after_sending_may_have_been_applied(mode):
    """Guards against reporting a write that is still processed as not applied."""

    async def test(platform, control):
        await control(mode=mode, delay=5)
        assert await _commit_fails(platform) is True
        with pytest.raises(error.PlatformError) as caught:
            await platform.get("t", "k")
        assert caught.value.maybe_applied is False

    _with_platform(test)


def test_write_on_a_stale_connection_may_have_been_applied():
    """Guards against reporting a write as not applied that may have been sent."""

    async def test(platform, control):
        await platform.commit([write.Write("t", "other", 0, 1)])
        await control(mode="down")
        assert await _commit_fails(platform) is True

    _with_platform(test)


def test_write_to_a_refusing_port_was_not_applied():
    """Guards against needless read-backs while the platform is down."""

    async def main():
        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        platform = client.PlatformClient(address.Address(HOST, port), HOST)
        assert await _commit_fails(platform) is False

    trio.run(main)


def test_write_to_a_full_accept_queue_was_not_applied():
    """Guards against treating a connect timeout as a sent request."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST, backlog=1)
        port = listeners[0].socket.getsockname()[1]
        streams = []
        with trio.move_on_after(0.2):
            while True:
                streams.append(await trio.open_tcp_stream(HOST, port))
        platform = client.PlatformClient(address.Address(HOST, port), HOST, timeout=0.2)
        assert await _commit_fails(platform) is False

    trio.run(main)


@pytest.mark.parametrize(
    ("status", "body", "maybe_applied"),
    [
        (500, b"", True),
        (503, b"", True),
        (408, b"", True),
        (600, b"", True),
        (999, b"{}", True),
        (400, b"", False),
        (413, b"", False),
        (200, b"not json", True),
        (200, b"{}", True),
        (200, b'{"revisions": []}', True),
        (200, b"[]", True),
        (409, b"{}", False),
    ],
)
def test_unusable_responses_to_a_write(status, body, maybe_applied):
    """Guards against trusting a response that neither confirms nor denies a write."""

    async def answer(request):
        return http_server.Response(status, (), body)

    async def test(platform):
        assert await _commit_fails(platform) is maybe_applied

    _with_handler(test, answer)


def test_malformed_responses_to_reads_are_platform_errors():
    """Guards against a KeyError that ends the daemon's nursery."""

    async def answer(request):
        return http_server.json_response([{"vm": 1}])

    async def test(platform):
        for read in (
            platform.list_vms(),
            platform.get("t", "k"),
            platform.scan("t", ""),
        ):
            with pytest.raises(error.PlatformError):
                await read

    _with_handler(test, answer)


def test_connects_from_the_local_host_address():
    """Guards against a source address that belongs to another data centre."""
    sources = []

    async def answer(request):
        sources.append(request.source)
        return http_server.json_response([])

    async def main():
        async with trio.open_nursery() as nursery:
            port = await _serve(nursery, answer)
            platform = client.PlatformClient(address.Address(HOST, port), "127.0.0.9")
            await platform.list_vms()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert sources == ["127.0.0.9"]
