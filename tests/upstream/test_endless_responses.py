"""Upstreams that send bytes without end; see ``response_stream``."""

import functools

import httpcore
import pytest
import trio

from rattanlug.errors import error, kind
from rattanlug.metrics import counters
from rattanlug.upstream import connection_pools, memory_budget, response_stream
from tests import reference_cycles

HOST = "127.0.0.1"
ID = b"request-id"
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
MEBIBYTE = 1 << 20
# Long enough that only the limit on bytes can end a request.
_TIMEOUT_SECONDS = 30.0
# Budget of a VM of 64 MiB for all response bodies together.
MEMORY = memory_budget.MEMORY_SHARE * 64 * MEBIBYTE
# Bytes that the kernel may buffer beyond those that were read.
BUFFERED = 8 * MEBIBYTE

# Name, first bytes, and the bytes that follow without end.
CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = [
    ("garbage", b"", b"\x00\xff garbage"),
    ("lines", b"", b"\r\n"),
    ("a status line", b"HTTP/1.1 200 ", b"O"),
    ("a header", OWN + b"X: ", b"x"),
    ("headers", OWN, b"X: x\r\n"),
    ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("responses to others", b"", OTHER + b"Content-Length: 2\r\n\r\nab"),
    ("a body for another", OTHER + b"Content-Length: 9999999999\r\n\r\n", b"x"),
    ("a chunk's size", OWN + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    (
        "trailers",
        OWN + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: x\r\n",
    ),
]
BODIES = [
    ("chunks", OWN + b"Transfer-Encoding: chunked\r\n\r\n", b"400\r\n%b\r\n"),
    ("until the close", OWN + b"\r\n", b"%b"),
    ("a length", OWN + b"Content-Length: 999999999999\r\n\r\n", b"%b"),
]


async def send_without_end(first, rest, sent, stream):
    """Send an endless response until the client closes the connection.

    The size of each block is appended to ``sent``, and 0 at the end.
    """
    async with stream:
        try:
            await stream.receive_some(65536)
            await stream.send_all(first)
            block = rest * (65536 // len(rest) + 1) if rest else b""
            if not block:
                await stream.receive_some(1)
                sent.append(0)
                return
            while True:
                await stream.send_all(block)
                sent.append(len(block))
        except trio.BrokenResourceError:
            sent.append(0)


def build_request(port, method="GET"):
    url = httpcore.URL(scheme=b"http", host=HOST.encode(), port=port, target=b"/")
    return httpcore.Request(method, url, headers=[(b"host", b"u"), (ID, b"mine")])


def exchange(
    first,
    rest,
    count=1,
    method="GET",
    take_turn=response_stream.take_turn_at_once,
    keep=lambda exc: exc,
):
    """Return the results of concurrent requests and the number of bytes sent.

    The results are what ``keep`` returns for each error.
    """

    async def main():
        sent, results = [], []
        memory = memory_budget.MemoryBudget(64 * MEBIBYTE)
        pools = connection_pools.ConnectionPools(
            HOST, ID, trio.current_time, counters.Counters(), memory, take_turn
        )
        async with trio.open_nursery() as nursery:
            serve = functools.partial(send_without_end, first, rest, sent)
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]

            async def ask():
                try:
                    results.append(
                        await pools.send(
                            HOST,
                            port,
                            functools.partial(build_request, port, method),
                            b"mine",
                            1.0,
                            trio.current_time() + _TIMEOUT_SECONDS,
                            lambda: None,
                        )
                    )
                except error.UpstreamError as exc:
                    results.append(keep(exc))

            with trio.fail_after(20):
                async with trio.open_nursery() as asking:
                    for _ in range(count):
                        asking.start_soon(ask)
                while sent.count(0) < count:
                    await trio.sleep(0.01)
                    await pools.close_unusable()
            assert memory.reserved == 0
            nursery.cancel_scope.cancel()
        return results, sum(sent)

    return trio.run(main)


# Guards against a broken upstream that uses up the time or the memory of a request with
# bytes that are no response.
@pytest.mark.parametrize(
    ("first", "rest"), [each[1:] for each in HEADS], ids=[each[0] for each in HEADS]
)
def test_an_endless_head_is_abandoned_after_few_bytes(first, rest):
    results, sent = exchange(first, rest)
    assert [isinstance(each, error.UpstreamError) for each in results] == [True]
    assert sent <= response_stream.MAX_DROPPED_BYTES + BUFFERED


@pytest.mark.parametrize(
    ("first", "rest"), [each[1:] for each in BODIES], ids=[each[0] for each in BODIES]
)
def test_endless_bodies_never_exceed_the_memory_budget(first, rest):
    rest = rest.replace(b"%b", b"x" * 1024)
    results, sent = exchange(first, rest, count=6)
    assert all(isinstance(each, error.UpstreamError) for each in results)
    assert sent <= MEMORY + 6 * BUFFERED


# Guards against many bodies, each of them small, that exceed the memory together.
def test_many_small_endless_bodies_never_exceed_the_memory():
    memory = memory_budget.MemoryBudget(64 * MEBIBYTE)
    kept = 0
    for _ in range(1000):
        size = memory_budget.SMALL_BODY_BYTES
        if memory.reserve(size, size):
            kept += size
        else:
            memory.release(size)
    assert kept == memory.reserved
    assert kept <= memory_budget.MAX_MEMORY_SHARE * 64 * MEBIBYTE


def test_small_bodies_are_kept_beside_large_ones():
    memory = memory_budget.MemoryBudget(64 * MEBIBYTE)
    large = int(MEMORY)
    assert memory.reserve(large, large)
    assert not memory.reserve(MEBIBYTE, large + MEBIBYTE)
    size = memory_budget.SMALL_BODY_BYTES
    assert memory.reserve(size, size)


def test_endless_bytes_after_a_response_close_the_connection():
    results, _ = exchange(OWN + b"Content-Length: 2\r\n\r\nab", b"x")
    assert [each.answer.body for each in results] == [b"ab"]


# Guards against errors of the HTTP library that are no failure of the upstream, so that
# the upstream is chosen again.
@pytest.mark.parametrize("head", [OWN, OTHER], ids=["own", "other"])
def test_a_length_of_thousands_of_digits_is_a_failure_of_the_upstream(head):
    results, _ = exchange(head + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", b"x")
    assert [isinstance(each, error.UpstreamError) for each in results] == [True]


# Guards against a body that can never end well and that takes the memory of others
# until the budget is used up.
@pytest.mark.parametrize("length", [int(MEMORY) + 1, 10**12, 10**18 - 1])
@pytest.mark.parametrize("status", [b"200 OK", b"500 X"])
def test_a_length_that_may_never_be_kept_is_rejected_at_the_head(status, length):
    head = OWN.replace(b"200 OK", status) + b"Content-Length: %d\r\n\r\n" % length
    results, sent = exchange(head, b"x")
    assert [each.kind for each in results] == [kind.ErrorKind.ANSWER_TOO_LARGE]
    # Those that the kernel takes before the connection is closed.
    assert sent <= BUFFERED


# The same for a chunk.
@pytest.mark.parametrize("size", [int(MEMORY) + 1, 60 * MEBIBYTE])
def test_a_chunk_that_may_never_be_kept_is_rejected_at_its_size(size):
    results, sent = exchange(CHUNKED + b"%x\r\n" % size, b"x")
    assert [each.kind for each in results] == [kind.ErrorKind.ANSWER_BROKEN]
    assert sent <= BUFFERED


def test_the_largest_length_that_may_be_kept_is_not_rejected_at_the_head():
    head = OWN + b"Content-Length: %d\r\n\r\n" % int(MEMORY)
    results, _ = exchange(head, b"x")
    assert [len(each.answer.body) for each in results] == [int(MEMORY)]


@pytest.mark.parametrize(
    "method, status", [("HEAD", b"200"), ("GET", b"204"), ("GET", b"304")]
)
def test_the_length_of_a_body_that_is_not_sent_may_be_any(method, status):
    head = OWN.replace(b"200", status) + b"Content-Length: 1000000000000\r\n\r\n"
    results, _ = exchange(head, b"", method=method)
    assert [each.answer.body for each in results] == [b""]


# Guards against many large responses at the same time that keep the event loop from all
# other work.
@pytest.mark.parametrize("size, turns", [(1000, 0), (MEBIBYTE, 16)])
def test_further_parts_of_a_large_response_are_read_in_turns(size, turns):
    taken = 0

    async def take_turn(check_deadline):
        nonlocal taken
        taken += 1
        await trio.lowlevel.checkpoint()

    head = OWN + b"Content-Length: %d\r\n\r\n" % size
    results, _ = exchange(head + bytes(size), b"", take_turn=take_turn)
    assert len(results[0].answer.body) == size
    assert bool(taken) == bool(turns) and taken >= turns


# Guards against responses that the HTTP library rejects and that stay in memory: it
# raises its error from a method of that error, in whose traceback is all it has parsed.
@pytest.mark.parametrize(
    "data",
    [
        OWN + b"a\r\n" * 20_000 + b"\r\n",
        OWN + b"a:\r\n" * 10 + b"b\r\n\r\n",
        OWN + b"Transfer-Encoding: chunked\r\n\r\n0\r\na b\r\n\r\n",
        OWN + b"Content-Length: +2\r\n\r\nab",
    ],
    ids=["lines", "header", "trailer", "length"],
)
def test_a_rejected_response_leaves_no_reference_cycle(data):
    with reference_cycles.found() as errors:
        kinds, _ = exchange(data, b"", keep=lambda exc: exc.kind)
    assert kinds == [kind.ErrorKind.ANSWER_BROKEN]
    assert errors == []


# Guards against heads and trailers of which the HTTP library handles thousands of lines
# in one iteration of the event loop, with many times their size in objects.
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 100 \r\n\r\n" * 101 + OWN + b"Content-Length: 0\r\n\r\n",
        OWN + b"a:\r\n" * 1000 + b"Content-Length: 0\r\n\r\n",
        CHUNKED + b"0\r\n" + b"a:\r\n" * 1100 + b"\r\n",
    ],
    ids=["interim responses", "header lines", "trailers"],
)
def test_a_response_in_very_many_small_units_is_rejected(data):
    results, _ = exchange(data, b"")
    assert [each.kind for each in results] == [kind.ErrorKind.ANSWER_BROKEN]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 100 \r\n\r\n" * 100 + OWN + b"Content-Length: 0\r\n\r\n",
        OWN + b"a:\r\n" * 900 + b"Content-Length: 0\r\n\r\n",
        CHUNKED + b"0\r\n" + b"a:\r\n" * 1000 + b"\r\n",
    ],
    ids=["interim responses", "header lines", "trailers"],
)
def test_a_response_in_many_small_units_is_passed_on(data):
    results, _ = exchange(data, b"")
    assert [each.answer.status for each in results] == [200]


# Guards against a daemon that stands still while 120 attempts at a time each read
# thousands of interim responses: they cost far more time than a head of their size, and
# a readiness check must be answered within a second.
def test_a_thousand_interim_responses_are_not_read():
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
    results, _ = exchange(interim + OWN + b"Content-Length: 2\r\n\r\nok", b"x")
    assert [isinstance(each, error.UpstreamError) for each in results] == [True]
