"""Statuses of responses, those that no response has among them."""

import functools

import httpcore
import pytest
import trio

from rattanlug.errors import error, executed, kind
from rattanlug.metrics import counters
from rattanlug.upstream import client, connection_pools, memory_budget

HOST, ID = "127.0.0.1", b"request-id"
# What stands for the status in the status lines of no response.
NO_STATUSES = [
    *[b"000", b"001", b"099", b"600", b"601", b"999", b"0", b"20", b"99", b"1000"],
    *[b"2000", b"-20", b"+20", b" 20", b"2 0", b"2O0", b"2.0", b"0x2", b"", b" "],
    *[b"20\xb2", "\u0662\u0660\u0660".encode(), b"200;", b"OK", b"200\t"],
]
# Not the status of an interim response that another one follows.
SWITCHING = b"101"
FINAL_STATUSES = [200, 203, 204, 299, 300, 304, 399, 400, 499, 500, 599]
INTERIM_STATUSES = [100, 102, 103, 150, 199]


def head(status, reason=b" X", length=2):
    return (
        b"HTTP/1.1 %b%b\r\nRequest-Id: mine\r\nServer-Stamp: 3e1b.07\r\n"
        b"Content-Length: %d\r\n\r\n" % (status, reason, length)
    )


class Pools:
    """Sends as ``rattanlug gateway`` does."""

    def __init__(self):
        self.tested = connection_pools.ConnectionPools(
            HOST,
            ID,
            trio.current_time,
            counters.Counters(),
            memory_budget.MemoryBudget(1 << 28),
        )

    async def send(self, port, method, headers):
        url = httpcore.URL(scheme=b"http", host=HOST.encode(), port=port, target=b"/")
        found = await self.tested.send(
            HOST,
            port,
            lambda: httpcore.Request(method, url, headers=headers),
            b"mine",
            1.0,
            trio.current_time() + 1.0,
            lambda: None,
        )
        return found.answer


class Client:
    """Sends as ``rattanlug daemon`` does."""

    def __init__(self):
        self.tested = client.UpstreamClient(HOST)

    async def send(self, port, method, headers):
        return await self.tested.send(HOST, port, method, b"/", headers, b"", 1.0)


def exchange(sender, method, data):
    """Send a request; return what it gets and whether its connection stays open.

    An upstream sends the data in response and keeps the connection open.
    """
    ended = []

    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(data)
            try:
                ended.append(await stream.receive_some(1))
            except trio.BrokenResourceError:
                ended.append(b"")

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            used = sender()
            try:
                found = await used.send(port, method, [(b"host", b"u"), (ID, b"mine")])
            except error.UpstreamError as exc:
                found = exc
                with trio.move_on_after(1.0):
                    while not ended:
                        await trio.sleep(0.005)
            stays_open = not ended
            await used.tested.aclose()
            nursery.cancel_scope.cancel()
        return found, stays_open

    return trio.run(main)


# Guards against a caller that gets bytes of an upstream in trouble as a response, with
# a status that no HTTP response has, such as 000 or 600.
@pytest.mark.parametrize("sender", [Pools, Client])
@pytest.mark.parametrize("method", ["GET", "POST", "HEAD"])
@pytest.mark.parametrize("status", [*NO_STATUSES, SWITCHING])
def test_a_status_of_no_response_is_unknown_and_closes_the_connection(
    status, method, sender
):
    length = 0 if method == "HEAD" else 2
    data = head(status, length=length) + b"ab"[:length]
    found, stays_open = exchange(sender, method, data)
    assert isinstance(found, error.UpstreamError), found
    assert (found.kind, found.response.executed) == (
        kind.ErrorKind.ANSWER_BROKEN,
        executed.Executed.UNKNOWN,
    )
    assert not stays_open


# The same for a status line without a reason, and for a status that seems to be that of
# an interim response and precedes a sound one.
@pytest.mark.parametrize("sender", [Pools, Client])
@pytest.mark.parametrize("status", [*NO_STATUSES, SWITCHING])
def test_a_status_of_no_response_precedes_no_response(status, sender):
    for data in (
        head(status, reason=b"") + b"ab",
        b"HTTP/1.1 %b X\r\n\r\n" % status + head(b"200") + b"ab",
    ):
        found, stays_open = exchange(sender, "GET", data)
        assert getattr(found, "kind", found) is kind.ErrorKind.ANSWER_BROKEN
        assert not stays_open


@pytest.mark.parametrize("sender", [Pools, Client])
@pytest.mark.parametrize("method", ["GET", "POST", "HEAD"])
@pytest.mark.parametrize("status", FINAL_STATUSES)
def test_each_status_of_a_response_is_passed_on(status, method, sender):
    body = b"" if method == "HEAD" or status in (204, 304) else b"ab"
    for reason in (b" X", b" ", b""):
        data = head(b"%d" % status, reason) + body
        found, stays_open = exchange(sender, method, data)
        assert (found.status, found.body, stays_open) == (status, body, True)


@pytest.mark.parametrize("sender", [Pools, Client])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("status", INTERIM_STATUSES)
def test_the_response_after_an_interim_one_is_passed_on(status, method, sender):
    body = b"" if method == "HEAD" else b"ab"
    data = b"HTTP/1.1 %d X\r\nLink: x\r\n\r\n" % status + head(b"404") + body
    found, stays_open = exchange(sender, method, data)
    assert (found.status, found.body, stays_open) == (404, body, True)
