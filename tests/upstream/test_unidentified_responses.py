"""Responses that may belong to another request on the same connection."""

import functools

import pytest
import trio

from rattanlug.errors import error, executed
from rattanlug.metrics import counters
from rattanlug.upstream import connection_pools, memory_budget, pooled_connection
from tests.upstream import test_endless_responses

HOST, ID = test_endless_responses.HOST, test_endless_responses.ID
NOT_EXECUTED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


def with_body(head, body, identifier=None):
    lines = b"" if identifier is None else ID + b": " + identifier + b"\r\n"
    return head + lines + b"Content-Length: %d\r\n\r\n" % len(body) + body


def send_twice(first, second, stray=b"", identifiers=(b"earlier", b"mine")):
    """Send two requests to an upstream that responds with some bytes to each.

    The stray bytes precede a response on a connection that carried a request before.
    Returns the result of each request and the number of connections.
    """
    responses = iter((first, second))

    async def serve(connections, stream):
        connections.append(stream)
        before = b""
        async with stream:
            while await stream.receive_some(65536):
                await stream.send_all(before + next(responses))
                before = stray

    async def main():
        connections, results = [], []
        pools = connection_pools.ConnectionPools(
            HOST,
            ID,
            trio.current_time,
            counters.Counters(),
            memory_budget.MemoryBudget(1 << 28),
        )
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(
                    trio.serve_tcp,
                    functools.partial(serve, connections),
                    0,
                    host=HOST,
                )
            )
            port = listeners[0].socket.getsockname()[1]
            for identifier in identifiers:
                try:
                    found = await pools.send(
                        HOST,
                        port,
                        functools.partial(test_endless_responses.build_request, port),
                        identifier,
                        1.0,
                        trio.current_time() + 2.0,
                        lambda: None,
                    )
                    results.append(found.answer)
                except error.UpstreamError as exc:
                    results.append(exc)
            nursery.cancel_scope.cancel()
        return results, len(connections)

    return trio.run(main)


# Guards against a stray response that is taken for the response to the next request: a
# request that may run only once was repeated, or rejected as not executed, and ran.
@pytest.mark.parametrize(
    "stray",
    [
        with_body(NOT_EXECUTED, b""),
        with_body(NOT_EXECUTED, b"busy"),
        with_body(OK, b"ok"),
        with_body(OK, b"ok") * 3,
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ],
)
def test_a_response_without_an_identifier_is_dropped_on_a_reused_connection(stray):
    first, own = (with_body(OK, b"own", each) for each in (b"earlier", b"mine"))
    results, connections = send_twice(first, own, stray)
    assert [each.body for each in results] == [b"own", b"own"]
    assert connections == 1


@pytest.mark.parametrize("head", [NOT_EXECUTED, OK])
def test_without_a_length_it_leaves_open_whether_the_request_ran(head):
    results, _ = send_twice(with_body(OK, b"own", b"earlier"), head + b"\r\n")
    assert results[0].body == b"own"
    assert results[1].response.executed is executed.Executed.UNKNOWN


def test_the_first_response_on_a_connection_needs_no_identifier():
    results, _ = send_twice(
        with_body(NOT_EXECUTED, b"busy"), with_body(OK, b"own", b"mine")
    )
    assert (results[0].status, results[1].body) == (503, b"own")


def test_interim_responses_need_no_identifier():
    first, own = (with_body(OK, b"own", each) for each in (b"earlier", b"mine"))
    results, _ = send_twice(first, INTERIM + own)
    assert [each.body for each in results] == [b"own", b"own"]


def test_a_request_without_an_identifier_accepts_any_response():
    own = with_body(OK, b"own")
    results, connections = send_twice(own, own, identifiers=(b"", b""))
    assert [each.body for each in results] == [b"own", b"own"]
    assert connections == 2


# Guards against an earlier refusal, written again by its upstream, that is taken for
# the response to a request with the same identifier.
@pytest.mark.parametrize("earlier", [NOT_EXECUTED, OK])
def test_a_connection_carries_an_identifier_once(earlier):
    first = with_body(earlier, b"earlier", b"mine")
    own = with_body(OK, b"own", b"mine")
    results, connections = send_twice(first, own, first, (b"mine", b"mine"))
    assert [each.body for each in results] == [b"earlier", b"own"]
    assert connections == 2


def test_the_number_of_identifiers_on_a_connection_is_bounded(monkeypatch):
    monkeypatch.setattr(pooled_connection, "MAX_REQUESTS", 1)
    first, own = (with_body(OK, b"own", each) for each in (b"earlier", b"mine"))
    results, connections = send_twice(first, own)
    assert [each.body for each in results] == [b"own", b"own"]
    assert connections == 2
