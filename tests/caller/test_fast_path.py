"""Requests that are served without hypercorn, and requests that need it."""

import contextlib
import functools
import time

import pytest
import trio
import trio.testing
from hypercorn.trio import tcp_server

from rattanlug.caller import application, caller_stream, reply, server
from rattanlug.daemon import clock
from rattanlug.metrics import counters
from rattanlug.settings import address
from tests.gateway import caller

_PLAIN = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"
_WITH_BODY = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"


class Served:
    """A server with an echoing handler that records its requests."""

    def __init__(self, ignores_disconnect=False):
        self.requests = []
        self.by_library = 0
        self.cancelled = 0
        self.closing = False
        self.entered = trio.Event()
        self.release = trio.Event()
        self.release.set()
        self.counters = counters.Counters()
        self.stop = trio.Event()
        self.port = 0
        app = application.Application(
            self._handle,
            self.counters,
            closing=lambda: self.closing,
            ignores_disconnect=lambda incoming: ignores_disconnect,
            max_body_bytes=lambda: 100,
        )
        self.server = server.Server(app, self.counters)
        inner = self.server._run_library

        async def counted(stream):
            self.by_library += 1
            await inner(stream)

        self.server._run_library = counted

    def hold_requests(self):
        """Let requests that enter the handler wait there until ``release`` is set."""
        self.entered, self.release = trio.Event(), trio.Event()

    async def _handle(self, incoming):
        self.requests.append(incoming)
        self.entered.set()
        try:
            await self.release.wait()
        except trio.Cancelled:
            self.cancelled += 1
            raise
        text = f"{incoming.method} {incoming.path} {incoming.query.decode()} "
        return reply.from_text(text + incoming.body.decode())


@contextlib.asynccontextmanager
async def serving(**options):
    async with trio.open_nursery() as nursery:
        served = Served(**options)
        listeners = await nursery.start(
            functools.partial(
                served.server.run, address.Address("127.0.0.1", 0), served.stop, 2.0
            )
        )
        served.port = listeners[0].socket.getsockname()[1]
        yield served
        nursery.cancel_scope.cancel()


async def connect(served):
    return await trio.open_tcp_stream("127.0.0.1", served.port)


async def read_response(stream):
    """Read one response with ``Content-Length``; return its head and its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(1) or _end(data)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        body += await stream.receive_some(length - len(body)) or _end(body)
    return head, body


def _end(data):
    raise AssertionError(f"the connection ended after {data!r}")


@pytest.mark.parametrize("ignores_disconnect", [False, True])
@caller.in_trio
async def test_simple_requests_do_not_reach_the_library(ignores_disconnect):
    async with serving(ignores_disconnect=ignores_disconnect) as served:
        stream = await connect(served)
        for _ in range(3):
            await stream.send_all(_PLAIN)
            assert (await read_response(stream))[1] == b"GET /a b=1 "
            await stream.send_all(_WITH_BODY)
            assert (await read_response(stream))[1] == b"POST /a  abc"
        assert served.by_library == 0
        assert len(served.requests) == 6


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            b"POST /a  abc",
        ),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", b"GET /a  "),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nX: a\tb\xff\r\n\r\n", b"GET /a  "),
    ],
)
@caller.in_trio
async def test_other_requests_are_served_by_the_library_on_the_same_connection(
    data, body
):
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await read_response(stream)
        await stream.send_all(data)
        head, got = await read_response(stream)
        assert (head[:12], got) == (b"HTTP/1.1 200", body)
        assert served.by_library == 1


@caller.in_trio
async def test_a_request_received_in_pieces_is_served_after_its_last_piece():
    async with serving() as served:
        stream = await connect(served)
        for each in (_WITH_BODY[:9], _WITH_BODY[9:-2], _WITH_BODY[-2:]):
            await stream.send_all(each)
            await trio.sleep(0.02)
        assert (await read_response(stream))[1] == b"POST /a  abc"
        assert [each.body for each in served.requests] == [b"abc"]


@pytest.mark.parametrize("ignores_disconnect", [False, True])
@caller.in_trio
async def test_a_pipelined_request_waits_for_the_response_before_it(ignores_disconnect):
    async with serving(ignores_disconnect=ignores_disconnect) as served:
        served.hold_requests()
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        await stream.send_all(_WITH_BODY)
        await trio.sleep(0.02)
        assert len(served.requests) == 1
        served.release.set()
        assert (await read_response(stream))[1] == b"GET /a b=1 "
        assert (await read_response(stream))[1] == b"POST /a  abc"


@pytest.mark.parametrize(("ignores_disconnect", "cancelled"), [(False, 1), (True, 0)])
@caller.in_trio
async def test_a_disconnect_cancels_a_request_unless_it_ignores_disconnects(
    ignores_disconnect, cancelled
):
    async with serving(ignores_disconnect=ignores_disconnect) as served:
        served.hold_requests()
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        await stream.aclose()
        await trio.sleep(0.1)
        assert served.cancelled == cancelled
        assert served.counters.value("requests_abandoned") == cancelled


@caller.in_trio
async def test_the_age_of_a_pipelined_request_counts_from_its_own_bytes():
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await read_response(stream)
        served.hold_requests()
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        # Bytes that are there when the server first looks for them have no later bound
        # than the response before.
        await trio.testing.wait_all_tasks_blocked()
        sent_at = clock.now()
        await stream.send_all(_WITH_BODY)
        await trio.sleep(0.1)
        served.release.set()
        await read_response(stream)
        await read_response(stream)
        arrived = [each.arrived_at for each in served.requests]
        assert arrived[1] <= sent_at <= arrived[2]


# Guards against work that continues for a disconnected caller: the end of a connection
# can only be read after the requests that the caller had pipelined.
@caller.in_trio
async def test_a_disconnect_behind_pipelined_requests_is_noticed():
    async with serving() as served:
        served.hold_requests()
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        for data in (_WITH_BODY, _PLAIN):
            await stream.send_all(data)
            await trio.sleep(0.02)
        await stream.aclose()
        await trio.sleep(0.1)
        assert served.cancelled == 1
        assert len(served.requests) == 1


@caller.in_trio
async def test_a_body_over_the_limit_is_rejected_and_the_connection_is_kept():
    async with serving() as served:
        stream = await connect(served)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"
        await stream.send_all(head + bytes(101))
        assert (await read_response(stream))[0].startswith(b"HTTP/1.1 413")
        await stream.send_all(_PLAIN)
        assert (await read_response(stream))[0].startswith(b"HTTP/1.1 200")
        assert len(served.requests) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n",
        b"GET  /a HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
@caller.in_trio
async def test_malformed_requests_are_rejected_by_the_library(data):
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(data)
        assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 400")
        assert served.requests == []


@caller.in_trio
async def test_a_stopping_server_finishes_running_requests_and_closes_connections():
    async with serving() as served:
        served.hold_requests()
        busy, idle = await connect(served), await connect(served)
        await busy.send_all(_PLAIN)
        await served.entered.wait()
        served.closing = True
        served.stop.set()
        served.release.set()
        head, body = await read_response(busy)
        assert body == b"GET /a b=1 "
        assert b"connection: close" in head
        assert await busy.receive_some(1) == b""
        assert await idle.receive_some(1) == b""


_HEAD, _BODY = _WITH_BODY[:-3], _WITH_BODY[-3:]


async def connect_to_library(served):
    """Return a connection that the library serves, after its first response."""
    stream = await connect(served)
    await stream.send_all(_HEAD)
    while not served.server._streams:
        await trio.sleep(0.001)
    await trio.testing.wait_all_tasks_blocked(0.01)
    await stream.send_all(_BODY)
    assert (await read_response(stream))[1] == b"POST /a  abc"
    assert served.by_library == 1
    return stream


@pytest.fixture
def slow_send(monkeypatch):
    """Let each call that sends return some time after the bytes have left."""
    send = caller_stream.CallerStream._send_with_timeout

    async def send_slowly(self, data):
        inner = self._stream.send_all

        async def send_all(data):
            await inner(data)
            await trio.sleep(0.05)

        with monkeypatch.context() as patch:
            patch.setattr(self._stream, "send_all", send_all)
            await send(self, data)

    monkeypatch.setattr(caller_stream.CallerStream, "_send_with_timeout", send_slowly)


# Guards against a shutdown that cuts a request which was received while the response
# before it was still being sent: its connection counted as idle.
@pytest.mark.parametrize("data", [_PLAIN, _WITH_BODY])
@caller.in_trio
async def test_a_request_sent_right_after_a_response_survives_the_shutdown(
    slow_send, data
):
    async with serving() as served:
        stream = await connect_to_library(served)
        served.hold_requests()
        await stream.send_all(data)
        await served.entered.wait()
        served.closing = True
        served.stop.set()
        await trio.sleep(0.1)
        served.release.set()
        head, _ = await read_response(stream)
        assert head.startswith(b"HTTP/1.1 200")


# The same for a request that was sent ahead, together with the one before it.
@caller.in_trio
async def test_a_pipelined_request_at_the_library_survives_the_shutdown():
    async with serving() as served:
        stream = await connect_to_library(served)
        served.hold_requests()
        release_first = served.release
        await stream.send_all(_PLAIN + _PLAIN)
        await served.entered.wait()
        served.hold_requests()
        release_first.set()
        await read_response(stream)
        await served.entered.wait()
        served.stop.set()
        await trio.sleep(0.1)
        served.release.set()
        head, _ = await read_response(stream)
        assert head.startswith(b"HTTP/1.1 200")


# Guards against a body that is taken for a request after an interim response.
@caller.in_trio
async def test_a_body_after_an_interim_response_is_no_request():
    async with serving() as served:
        served.server._local_reply = lambda head, arrived_at: b"wrong"
        stream = await connect(served)
        await stream.send_all(
            b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Content-Length: %d\r\n\r\n" % len(_PLAIN)
        )
        interim = b""
        while not interim.endswith(b"\r\n\r\n"):
            interim += await stream.receive_some(1) or _end(interim)
        assert b" 100 " in interim
        await stream.send_all(_PLAIN)
        _, body = await read_response(stream)
        assert body == b"POST /a  " + _PLAIN


# Guards against a reset for a request that waits in the socket while the server closes
# its idle connections.
@caller.in_trio
async def test_a_request_that_was_not_read_yet_at_the_shutdown_is_answered():
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await read_response(stream)
        served.closing = True
        terminated = served.server._context.terminated
        set_terminated = terminated.set

        async def send_and_set():
            stream.socket._sock.send(_PLAIN)
            await set_terminated()

        terminated.set = send_and_set
        served.stop.set()
        head, _ = await read_response(stream)
        assert head.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in head


# Guards against requests that last longer than a caller may be idle: their connections
# were closed as idle.
@pytest.mark.parametrize("by_library", [False, True])
@caller.in_trio
async def test_a_long_request_is_not_idle(monkeypatch, by_library):
    monkeypatch.setattr(server, "KEEP_ALIVE_SECONDS", 0.1)
    monkeypatch.setattr(server, "SWEEP_SECONDS", 0.02)
    async with serving() as served:
        stream = await (connect_to_library if by_library else connect)(served)
        served.hold_requests()
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        await trio.sleep(0.3)
        served.release.set()
        assert (await read_response(stream))[1] == b"GET /a b=1 "
        # The connection is closed once it is idle.
        with trio.fail_after(2.0):
            assert await stream.receive_some(1) == b""


@caller.in_trio
async def test_a_connection_with_an_incomplete_head_is_closed_as_idle(monkeypatch):
    monkeypatch.setattr(server, "KEEP_ALIVE_SECONDS", 0.1)
    monkeypatch.setattr(server, "SWEEP_SECONDS", 0.02)
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(_PLAIN[:10])
        with trio.fail_after(2.0), contextlib.suppress(trio.BrokenResourceError):
            assert await stream.receive_some(1) == b""


def unanswered(served):
    """Return the counted connections with an unanswered request, by their labels."""
    return {
        tuple(dict(labels).values()): value
        for name, labels, value in served.counters.items()
        if name == "connections_unanswered"
    }


# Guards against errors that close a connection and leave no trace.
@pytest.mark.parametrize("by_library", [False, True])
@caller.in_trio
async def test_a_connection_that_ends_by_an_error_is_counted_and_logged(
    monkeypatch, caplog, by_library
):
    async def fail(self, *args):
        raise LookupError("no such thing")

    monkeypatch.setattr(application.Application, "serve_parsed", fail)
    monkeypatch.setattr(tcp_server.TCPServer, "run", fail)
    async with serving() as served:
        for _ in range(2):
            stream = await connect(served)
            await stream.send_all(_PLAIN[:10] if by_library else _PLAIN)
            assert await stream.receive_some(1) == b""
        phase = "reading"
        value = served.counters.value(
            "connection_failures", error="LookupError", phase=phase
        )
        assert value == 2
        assert unanswered(served) == {("failed", phase): 2}
        lines = [each for each in caplog.records if "connection" in each.message]
        assert [each.phase for each in lines] == [phase]


@pytest.mark.parametrize(
    ("ends_by", "labels"),
    [("caller", ("disconnected", "serving")), ("stop", ("shutdown", "serving"))],
)
@caller.in_trio
async def test_an_unanswered_request_is_counted_by_its_cause(ends_by, labels):
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(_PLAIN)
        await read_response(stream)
        served.hold_requests()
        await stream.send_all(_PLAIN)
        await served.entered.wait()
        if ends_by == "caller":
            await stream.aclose()
        else:
            served.stop.set()
            await stream.receive_some(1)
        await trio.sleep(0.1)
        assert unanswered(served) == {labels: 1}


# Guards against a request that is passed on and never answered, and whose connection
# counts as open for ever: the library takes a success as the beginning of a tunnel.
@pytest.mark.parametrize("target", [b"/a", b"x:80"])
@caller.in_trio
async def test_connect_is_rejected_and_its_connection_is_released(target):
    async with serving() as served:
        stream = await connect(served)
        await stream.send_all(b"CONNECT " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        head, _ = await read_response(stream)
        assert head.startswith(b"HTTP/1.1 400")
        assert not served.requests
        await stream.aclose()
        await trio.sleep(0.1)
        assert served.server.connections == 0


# Guards against a reset for a request that waits in the socket, after the process was
# not scheduled for longer than a caller may be idle.
@caller.in_trio
async def test_a_request_that_waits_to_be_read_is_not_idle(monkeypatch):
    monkeypatch.setattr(server, "KEEP_ALIVE_SECONDS", 0.2)
    monkeypatch.setattr(server, "SWEEP_SECONDS", 0.1)
    async with serving() as served:
        streams = [await connect(served) for _ in range(8)]
        for stream in streams:
            await stream.send_all(_PLAIN)
            await read_response(stream)
        # The order in which the event loop runs the tasks that are ready is random.
        for _ in range(8):
            for stream in streams:
                stream.socket._sock.send(_PLAIN)
            time.sleep(0.3)
            for stream in streams:
                head, _ = await read_response(stream)
                assert head.startswith(b"HTTP/1.1 200")


# Guards against a shutdown that closes a connection while the next request, which the
# library holds, has not begun to be served.
@caller.in_trio
async def test_a_request_in_the_buffer_of_the_library_has_begun(monkeypatch):
    send, seen = caller_stream.CallerStream._send_with_timeout, []

    async def recorded(self, data):
        await send(self, data)
        seen.append(self.between_requests)

    async with serving() as served:
        stream = await connect_to_library(served)
        monkeypatch.setattr(caller_stream.CallerStream, "_send_with_timeout", recorded)
        await stream.send_all(_PLAIN + _WITH_BODY + _PLAIN)
        for _ in range(3):
            await read_response(stream)
        assert seen == [False, False, True]
