"""Tests of the client for upstreams over real connections."""

import contextlib
import functools

import pytest
import trio

from rattanlug.errors import error, kind
from rattanlug.upstream import client, recent_request_ids
from tests import reference_cycles
from trial.shared_platform import endless_response

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: same\r\n"


def _plain(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _chunked(body: bytes) -> bytes:
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
        len(body),
        body,
    )


def _exchange(
    first: list[bytes], count: int = 2, pause: float = 0.1, repeat: bool = True
) -> tuple[list[bytes], int]:
    """Send requests one by one; return the bodies and the number of connections.

    Parameters
    ----------
    first : list of bytes
        Pieces of the response to the first request.
    count : int
        Number of requests; the response to each later one has its target as body.
    pause : float
        Time between a response and the next request, seconds.
    repeat : bool
        Whether all requests have the same Request-Id.
    """
    connections = 0
    requests = 0
    bodies = []

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal connections
        connections += 1
        # The client may close the connection while a further piece is sent.
        with contextlib.suppress(trio.BrokenResourceError):
            await serve_requests(stream)

    async def serve_requests(stream: trio.SocketStream) -> None:
        nonlocal requests
        data = b""
        async for received in stream:
            data += received
            if not data.endswith(b"\r\n\r\n"):
                continue
            requests += 1
            identifier = data.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
            own = _plain(data.split()[1]).replace(b"same", identifier)
            pieces = first if requests == 1 else [own]
            data = b""
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(0.02)

    async def main() -> None:
        upstreams = client.UpstreamClient(HOST)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            for number in range(count):
                identifier = b"same" if repeat or number == 0 else b"id-%d" % number
                headers = [(b"Host", b"x"), (b"Request-Id", identifier)]
                target = b"/%d" % number
                found = await upstreams.send(
                    HOST, port, "GET", target, headers, b"", 2.0
                )
                bodies.append(found.body)
                await trio.sleep(pause)
            await upstreams.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return bodies, connections


@pytest.mark.parametrize("repeat", [True, False])
@pytest.mark.parametrize("build", [_plain, _chunked])
def test_duplicate_response_is_never_given_to_the_next_request(build, repeat):
    """Guards against swapped responses when callers repeat a Request-Id."""
    bodies, connections = _exchange([build(b"/0") * 2], pause=0.0, repeat=repeat)
    assert (bodies, connections) == ([b"/0", b"/1"], 2)


def test_duplicate_on_an_idle_connection_is_never_given_to_the_next_request():
    """Guards against duplicates that arrive between two requests."""
    bodies, _ = _exchange([_plain(b"/0"), _plain(b"/0")])
    assert bodies == [b"/0", b"/1"]


def test_duplicate_after_the_next_request_is_not_given_to_it():
    """Guards against duplicates that arrive while the next response is awaited."""
    bodies, _ = _exchange([_plain(b"/0"), _plain(b"/0")], pause=0.0)
    assert bodies == [b"/0", b"/1"]


@pytest.mark.parametrize(
    "pieces",
    [
        [_plain(b"/0")],
        [_plain(b"")],
        [_plain(b"x" * 100_000)],
        [_plain(b"/0")[:30], _plain(b"/0")[30:]],
        [b"HTTP/1.1 103 Early Hints\r\n\r\n" + _plain(b"/0")],
        [b"HTTP/1.1 103 Early Hints\r\n\r\n", _plain(b"/0")],
    ],
)
def test_complete_responses_keep_their_connection(pieces):
    """Guards against a new connection for each request, which costs 1 ms."""
    bodies, connections = _exchange(pieces, repeat=False)
    assert (bodies[1], connections) == (b"/1", 1)


def test_response_to_another_request_is_rejected():
    """Guards against swapped responses of requests with different identifiers."""
    other = _plain(b"/0").replace(b"same", b"other")
    with pytest.raises((error.UpstreamError, ExceptionGroup)) as caught:
        _exchange([other], count=1)
    found = caught.value
    while isinstance(found, ExceptionGroup):
        found = found.exceptions[0]
    assert found.kind is kind.ErrorKind.ANSWER_BROKEN


def test_identifier_is_new_again_after_two_windows():
    """Guards against identifiers that are kept forever or not long enough."""
    recent = recent_request_ids.RecentRequestIds(60.0)
    assert recent.is_new("u:1", b"a", 1000.0)
    assert recent.is_new("u:2", b"a", 1000.0)
    assert not recent.is_new("u:1", b"a", 1059.0)
    assert not recent.is_new("u:1", b"a", 1118.0)
    assert recent.is_new("u:1", b"a", 1300.0)
    recent.is_new("u:1", b"b", 1359.0)
    assert not recent.is_new("u:1", b"b", 1418.9)


# Guards against an upstream that keeps the event loop from all other work, with chunks
# of a few bytes for each of which the HTTP library makes an event.
@pytest.mark.parametrize("form", endless_response.FORMS)
def test_bytes_without_end_are_given_up_and_leave_nothing(form):
    found = endless_response.FORMS[form]
    head = found.head(200, "same").replace(b"Rattanlug-Request-Id", b"Request-Id")
    kinds = []
    sent = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal sent
        async with stream:
            await stream.receive_some(65536)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(head)
                while True:
                    sent += len(found.block)
                    await stream.send_all(found.block)

    async def main() -> None:
        upstreams = client.UpstreamClient(HOST)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            headers = [(b"Host", b"x"), (b"Request-Id", b"same")]
            try:
                await upstreams.send(HOST, port, "GET", b"/", headers, b"", 10.0)
            except error.UpstreamError as exc:
                kinds.append(exc.kind)
            await upstreams.aclose()
            nursery.cancel_scope.cancel()

    with reference_cycles.found() as errors:
        trio.run(main)
    # The request must end because of the number of bytes, not because of the timeout.
    assert kinds in ([kind.ErrorKind.ANSWER_BROKEN], [kind.ErrorKind.ANSWER_TOO_LARGE])
    # Four times the limit, to allow for the kernel's buffers.
    assert sent <= 32 << 20
    assert errors == []
