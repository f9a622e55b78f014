"""Errors that the client reports for broken responses."""

import functools

import pytest
import trio

from rattanlug.errors import error, executed, kind
from rattanlug.upstream import client

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
COMPLETE = HEAD + b"Content-Length: 2\r\n\r\nab"


async def respond_with(data, close, connections, stream):
    connections.append(stream)
    async with stream:
        while received := await stream.receive_some(65536):
            if data:
                identifier = received.partition(b"request-id: ")[2].partition(b"\r\n")[
                    0
                ]
                await stream.send_all(data.replace(b"mine", identifier))
            if close:
                return


def send(data, close=False, timeout=0.4):
    """Send two requests; return the first result and the number of connections."""

    async def main():
        connections = []
        async with trio.open_nursery() as nursery:
            handler = functools.partial(respond_with, data, close, connections)
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, handler, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            tested = client.UpstreamClient(HOST)
            results = []
            # The client opens a new connection for a repeated identifier.
            for identifier in (b"mine", b"next"):
                headers = [(b"host", b"u"), (b"request-id", identifier)]
                try:
                    results.append(
                        await tested.send(
                            HOST, port, "GET", b"/", headers, b"", timeout
                        )
                    )
                except error.UpstreamError as exc:
                    results.append(exc)
            await tested.aclose()
            nursery.cancel_scope.cancel()
        return results[0], len(connections)

    return trio.run(main)


def test_complete_response_keeps_the_connection():
    found, connections = send(HEAD + b"Content-Length: 2\r\n\r\nab")
    assert (found.status, found.body, connections) == (200, b"ab", 1)


@pytest.mark.parametrize(
    ("data", "close"),
    [
        # Without a length, a truncated response can't be detected.
        (HEAD + b"\r\nab", True),
        (HEAD + b"Content-Length: 5\r\n\r\nab", True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", True),
        (HEAD.replace(b"mine", b"other") + b"Content-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", False),
        # Heads that were cut and continue with the head of the response.
        (b"HTTP/1.1 503 X\r\nRattanlug-Ran: no\r\nX: " + COMPLETE, False),
        (b"HTTP/1.1 503 Serv" + COMPLETE, False),
        (b"HTTP/1.1 503 X\nRequest-Id: mine\nContent-Length: 0\n\n", False),
        (HEAD + b"Request-Id: other\r\nContent-Length: 0\r\n\r\n", False),
        (b"garbage\r\n\r\n", False),
        (b"", True),
    ],
)
def test_broken_response_is_unknown_and_closes_the_connection(data, close):
    found, connections = send(data, close)
    assert (found.kind, found.response.executed) == (
        kind.ErrorKind.ANSWER_BROKEN,
        executed.Executed.UNKNOWN,
    )
    assert connections == 2


def test_late_response_is_unknown_and_closes_the_connection():
    found, connections = send(b"", timeout=0.1)
    assert (found.kind, found.response.executed) == (
        kind.ErrorKind.DEADLINE_EXCEEDED,
        executed.Executed.UNKNOWN,
    )
    assert connections == 2


def test_refused_connection_is_not_executed():
    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        tested = client.UpstreamClient(HOST)
        with pytest.raises(error.UpstreamError) as caught:
            await tested.send(
                HOST, port, "GET", b"/", [(b"request-id", b"m")], b"", 0.5
            )
        assert caught.value.response.executed is executed.Executed.NO

    trio.run(main)


def test_report_larger_than_its_limit_is_rejected():
    async def main():
        async with trio.open_nursery() as nursery:
            data = HEAD + b"Content-Length: 100000\r\n\r\n" + bytes(100_000)
            handler = functools.partial(respond_with, data, False, [])
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, handler, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            with pytest.raises(error.UpstreamError) as caught:
                await client.UpstreamClient(HOST).fetch(HOST, port, b"/.load", 1.0)
            assert caught.value.kind is kind.ErrorKind.ANSWER_TOO_LARGE
            nursery.cancel_scope.cancel()

    trio.run(main)
