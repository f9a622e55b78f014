"""Tests of the store client."""

import functools

import pytest
import trio

from rattanlug.metrics import counters, histograms
from rattanlug.platform import store_client, store_error
from rattanlug.settings import address

HOST = "127.0.0.1"


async def send_endlessly(first, rest, sent, stream):
    async with stream:
        try:
            await stream.receive_some(65536)
            await stream.send_all(first)
            while True:
                await stream.send_all(rest * 64)
                sent.append(len(rest) * 64)
        except trio.BrokenResourceError:
            sent.append(0)


# Guards against a faulty store that exhausts a VM's memory with one response.
@pytest.mark.parametrize(
    ("first", "rest"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1024),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x" * 1024),
        (b"HTTP/1.1 200 ", b"O" * 1024),
    ],
)
def test_an_endless_response_is_aborted_after_a_bounded_number_of_bytes(
    first, rest, monkeypatch
):
    # The call must end because of the number of bytes, not because of the timeout.
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_SECONDS", 30.0)

    async def main():
        sent = []
        async with trio.open_nursery() as nursery:
            serve = functools.partial(send_endlessly, first, rest, sent)
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            client = store_client.StoreClient(
                address.Address(HOST, port),
                HOST,
                trio.current_time,
                counters.Counters(),
                histograms.Histograms(),
            )
            with trio.fail_after(20), pytest.raises(store_error.StoreError):
                await client.read_table("op")
            with trio.fail_after(2):
                while 0 not in sent:
                    await trio.sleep(0.01)
            await client.aclose()
            nursery.cancel_scope.cancel()
        # Twice the limit, to allow for the kernel's buffers.
        assert sum(sent) <= 2 * store_client.MAX_RESPONSE_BYTES

    trio.run(main)


async def respond_with(body, stream):
    async with stream:
        await stream.receive_some(65536)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)


def read_from(body):
    """Read a table from a store that responds with some bytes.

    Returns the read, or the error that it raised.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            serve = functools.partial(respond_with, body)
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            client = store_client.StoreClient(
                address.Address(HOST, listeners[0].socket.getsockname()[1]),
                HOST,
                trio.current_time,
                counters.Counters(),
                histograms.Histograms(),
            )
            try:
                found = await client.read_table("op")
            except store_error.StoreError as exc:
                found = exc
            await client.aclose()
            nursery.cancel_scope.cancel()
        return found

    return trio.run(main)


# Guards against daemons that end because of an error that only StoreError stands for.
@pytest.mark.parametrize(
    "body",
    [
        b"[" * 5000,
        b"[]",
        b'{"rows": 5}',
        b'{"rows": [5]}',
        b'{"rows": [{"key": "a", "value": 5}]}',
        b'{"rows": [{"key": "a", "row_version": 1e999}]}',
        b'{"rows": [{"key": "a", "row_version": 99999999999999999999}]}',
        b'{"rows": [], "row_version": 1e999}',
        b'{"rows": [], "row_version": []}',
        b'{"rows": [], "now_s": []}',
        b'{"rows": [], "now_s": NaN}',
    ],
)
def test_a_malformed_response_is_a_store_error(body):
    assert isinstance(read_from(body), store_error.StoreError)


def test_a_row_with_a_key_that_is_not_valid_unicode_is_left_out():
    body = b'{"rows": [{"key": "\\ud800"}, {"key": "a", "row_version": 3}]}'
    assert [(each.key, each.version) for each in read_from(body).rows] == [("a", 3)]
