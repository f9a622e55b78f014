"""Tests of the store client."""

import contextlib
import functools
import json

import pytest
import trio

from rattanlug.errors import error
from rattanlug.metrics import counters, histograms
from rattanlug.platform import store_client, store_error, store_write
from rattanlug.settings import address
from rattanlug.tables import store_era, table_copy
from rattanlug.upstream import deadline_backend
from tests import reference_cycles
from trial import http_server
from trial.shared_platform import endless_response, store

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


# Guards against a store that keeps the event loop from all other work, with chunks of
# a few bytes for each of which the HTTP library makes an event.
@pytest.mark.parametrize("status", endless_response.STATUSES)
@pytest.mark.parametrize("form", endless_response.FORMS)
def test_bytes_without_end_are_given_up_and_leave_nothing(form, status, monkeypatch):
    # The call must end because of the number of bytes, not because of the timeout.
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_SECONDS", 30.0)
    sent = 0

    async def serve(stream):
        nonlocal sent
        async with stream:
            await stream.receive_some(65536)
            found = endless_response.FORMS[form]
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(found.head(status, "x"))
                while True:
                    sent += len(found.block)
                    await stream.send_all(found.block)

    async def read_endless(client):
        with pytest.raises(store_error.StoreError):
            await client.read_table("op")

    with reference_cycles.found() as errors:
        call_server(
            read_endless,
            functools.partial(trio.serve_tcp, serve, 0, host=HOST),
            backend=deadline_backend.DeadlineBackend(trio.current_time),
        )
    # Twice the limit, to allow for the kernel's buffers.
    assert sent <= 2 * store_client.MAX_RESPONSE_BYTES
    assert errors == []


# Guards against responses that the HTTP library rejects and that stay in memory.
def test_a_rejected_response_leaves_no_reference_cycle():
    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + b"a\r\n" * 10_000 + b"\r\n")

    async def read(client):
        with pytest.raises(store_error.StoreError):
            await client.read_table("op")

    with reference_cycles.found() as errors:
        call_server(read, functools.partial(trio.serve_tcp, serve, 0, host=HOST))
    assert errors == []


async def respond_with(body, status, stream):
    async with stream:
        while await stream.receive_some(65536):
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)


def read_from(body):
    """Read a table from a store that responds with some bytes.

    Returns the read, or the error that it raised.
    """
    return call_store(lambda client: client.read_table("op"), body)


def call_store(call, body, status=200):
    """Call a store that always gives one response; return the result or the error."""
    serve = functools.partial(respond_with, body, status)
    return call_server(call, functools.partial(trio.serve_tcp, serve, 0, host=HOST))


def call_server(call, serve, era=None, backend=None):
    """Call a store that ``serve`` starts; return the result or the error."""

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(serve)
            client = store_client.StoreClient(
                address.Address(HOST, listeners[0].socket.getsockname()[1]),
                HOST,
                trio.current_time,
                counters.Counters(),
                histograms.Histograms(),
                backend,
                era,
            )
            try:
                with trio.fail_after(10):
                    found = await call(client)
            except error.RattanlugError as exc:
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


def read_table(client):
    return client.read_table("op")


def follow_table(client):
    return client.follow_table("op", 1, 0.1)


def commit(client):
    return client.commit([store_write.StoreWrite("t", "k", b"", None)])


def commit_if_unchanged(client):
    return client.commit([store_write.StoreWrite("t", "k", b"", 3)])


# Guards against daemons that end because a faulty store responds with a status that
# only has a meaning for other calls.
@pytest.mark.parametrize("status", [410, 412])
@pytest.mark.parametrize("call", [read_table, follow_table, commit])
def test_a_status_of_another_call_is_a_store_error(call, status):
    expected = store_error.StoreError
    if (call, status) == (follow_table, 410):
        expected = store_error.HistoryLostError
    assert type(call_store(call, b"{}", status)) is expected


def test_a_failed_condition_is_no_store_error():
    found = call_store(commit_if_unchanged, b"{}", 412)
    assert type(found) is store_error.ConditionFailedError


# Guards against a write that may have taken effect and counts as not applied, and an
# era that is learned from bytes that are no response.
@pytest.mark.parametrize("status", ["000", "099", "600", "999", "20", "2000"])
@pytest.mark.parametrize("call", [read_table, commit, commit_if_unchanged])
def test_a_status_of_no_response_states_nothing(call, status):
    era = store_era.StoreEra()
    serve = functools.partial(respond_with, b"{}", f"{status} X\r\nStore-Era: 7\r\nY:")
    found = call_server(
        call, functools.partial(trio.serve_tcp, serve, 0, host=HOST), era
    )
    assert type(found) is store_error.StoreError
    assert found.maybe_applied is (call is not read_table)
    assert era.current == 0


# Guards against a read that never ends and takes more and more memory.
@pytest.mark.parametrize("rows", [b"", b'{"key": "a", "row_version": 1}'])
def test_pages_without_progress_are_a_store_error(rows):
    body = b'{"rows": [' + rows + b'], "has_more": true}'
    assert isinstance(read_from(body), store_error.StoreError)


# Guards against a change that no VM ever sees, of a row on a page that was read before
# the change, while the following pages were read after it.
def test_a_change_between_two_pages_is_followed():
    stand_in = store.Store()
    for number in range(600):
        stand_in.put("servers", f"u{number:03}", {"state": "ready"})

    async def handle(request):
        response = await stand_in.handle(request)
        if request.path == "/rows-get" and request.parameter("from") is None:
            stand_in.put("servers", "u000", {"state": "draining"})
        return response

    async def read_and_follow(client):
        copy = table_copy.TableCopy()
        copy.apply_read(await client.read_table("servers"), whole=True)
        copy.apply_read(
            await client.follow_table("servers", copy.version, 0.1), whole=False
        )
        return {row.key: json.loads(row.value)["state"] for row in copy.rows}

    states = call_server(
        read_and_follow, functools.partial(http_server.serve, HOST, 0, handle)
    )
    assert len(states) == 600
    assert states["u000"] == "draining"


# Guards against a table that is part of one era and part of the next.
def test_a_read_begins_again_if_the_store_comes_back_between_two_pages():
    stand_in = store.Store()
    for number in range(600):
        stand_in.put("servers", f"u{number:03}", {})
    copy = stand_in.copy()
    for number in range(500):
        stand_in.remove("servers", f"u{number:03}")
        stand_in.put("servers", f"v{number:03}", {})
    copies = [copy, copy]

    async def handle(request):
        response = await stand_in.handle(request)
        if request.path == "/rows-get" and request.parameter("from") is None:
            if copies:
                stand_in.come_back(copies.pop())
        return response

    found = call_server(
        lambda client: client.read_table("servers"),
        functools.partial(http_server.serve, HOST, 0, handle),
    )
    assert (found.era, found.version) == (3, 600)
    assert [each.key for each in found.rows] == [f"u{n:03}" for n in range(600)]


@pytest.mark.parametrize("call", [read_table, follow_table, commit_if_unchanged])
@pytest.mark.parametrize("status", [None, 410, 503])
def test_the_era_is_read_from_every_response(call, status):
    stand_in, era = store.Store(), store_era.StoreEra()
    stand_in.era, stand_in.status = 7, status
    call_server(
        call, functools.partial(http_server.serve, HOST, 0, stand_in.handle), era
    )
    assert era.current == 7


@pytest.mark.parametrize("value", ["", "x", "-1", "1" * 30, "9" * 19, "\u00b2"])
def test_an_unreadable_era_counts_as_none(value):
    stand_in, era = store.Store(), store_era.StoreEra()

    async def handle(request):
        response = await stand_in.handle(request)
        encoded = value.encode("latin-1")
        return response._replace(headers=((store.ERA_HEADER, encoded),))

    serve = functools.partial(http_server.serve, HOST, 0, handle)
    found = call_server(read_table, serve, era)
    assert (found.era, era.current) == (0, 0)
