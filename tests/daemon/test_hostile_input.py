"""Tests of hostile input on the callers' and the peers' port of a real daemon."""

import contextlib
import random

import pytest
import trio

from rattanlug.caller import caller_stream
from rattanlug.caller import server as caller_server
from rattanlug.peer import codec, framing
from rattanlug.peer.generated import ttypes
from tests.daemon import harness
from trial import http_server

AUTH = f"Authorization: Bearer {harness.KEY}\r\n".encode()
HEAD = b"GET /v/1 HTTP/1.1\r\nHost: vm\r\n" + AUTH
POST = b"POST /c/1 HTTP/1.1\r\nHost: vm\r\n" + AUTH

# Bytes sent and the statuses allowed; None allows a close without a response.
CASES = {
    "not_http": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", {400, None}),
    "truncated_head": (HEAD[:30], {None}),
    "large_head": (HEAD + b"X: " + b"a" * 70_000, {400, 431}),
    "large_header": (HEAD + b"X: " + b"a" * 20_000 + b"\r\n\r\n", {413}),
    "large_body": (POST + b"Content-Length: 9000000\r\n\r\n" + bytes(3 << 20), {413}),
    "large_chunked_body": (
        POST
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"10000\r\n%b\r\n" % bytes(65536) * 40
        + b"0\r\n\r\n",
        {413},
    ),
    "long_path": (b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n", {400, 431}),
    "both_framings": (
        POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        {400},
    ),
    "two_lengths": (POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", {400}),
    "bad_length": (POST + b"Content-Length: -1\r\n\r\n", {400}),
    "plus_length": (POST + b"Content-Length: +1\r\n\r\nx", {400}),
    "bad_encoding": (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", {400, 501}),
    "bad_chunk": (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", {400, None}),
    "two_keys": (HEAD + b"Authorization: Bearer other\r\n\r\n", {400}),
    "two_identities": (
        POST + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
        {400},
    ),
    "two_hosts": (HEAD + b"Host: other\r\n\r\n", {400}),
    "no_host": (b"GET /v/1 HTTP/1.1\r\n" + AUTH + b"\r\n", {400}),
    "folded_key": (
        b"GET /v/1 HTTP/1.1\r\nHost: vm\r\nX: a\r\n " + AUTH + b"\r\n",
        {401},
    ),
    "space_before_colon": (HEAD + b"X : a\r\n\r\n", {400}),
    "bare_cr": (HEAD + b"X: a\rY: b\r\n\r\n", {400}),
    "nul": (HEAD + b"X: a\x00b\r\n\r\n", {400}),
    "encoded_slash": (b"GET /v%2Fx HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "encoded_dots": (b"GET /o/%2e%2e/v HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "twice_encoded": (b"GET /o/%252e%252e/v HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "dots": (b"GET /o/../v HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "dots_parameter": (b"GET /o/..;x/v HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "backslash": (b"GET /o\\..\\v HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "encoded_nul": (b"GET /o/%00 HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "broken_encoding": (b"GET /o/%zz HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "fragment": (b"GET /o/a#b HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "absolute_target": (b"GET http://x/o HTTP/1.1\r\nHost: vm\r\n\r\n", {400}),
    "connect": (b"CONNECT u:1 HTTP/1.1\r\nHost: vm\r\n\r\n", {400, 404}),
    "unknown_method": (b"BREW /v/1 HTTP/1.1\r\nHost: vm\r\n\r\n", {404}),
    "http_2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9), {None}),
    "websocket": (
        b"GET /o/1 HTTP/1.1\r\nHost: vm\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
        {400, 403},
    ),
    "http_0_9": (b"GET /o/1\r\n\r\n", {400, None}),
}
COUNTERS = ("errors", "requests_rejected", "requests_abandoned", "connection_failures")


def status_of(data):
    return int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else None


def counted(daemon):
    return sum(
        value for name, _, value in daemon.entry.counters.items() if name in COUNTERS
    )


class Load:
    """Sends requests continuously and checks that each gets its own response."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.served = 0
        self.wrong = []

    async def run(self):
        async with self.daemon.connect() as client:
            while True:
                path = f"/v/load-{self.served}"
                answer = await client.ask("GET", path)
                if answer is None or answer.body != b"own answer to " + path.encode():
                    self.wrong.append(answer and answer.body)
                    return
                self.served += 1
                await trio.sleep(0.002)


@contextlib.asynccontextmanager
async def under_load(daemon):
    load = Load(daemon)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        yield
        await trio.sleep(0.02)
        nursery.cancel_scope.cancel()
    assert not load.wrong
    assert load.served


@harness.in_trio
async def test_each_hostile_request_ends_in_a_clear_error_or_a_close():
    async with harness.running() as daemon, under_load(daemon):
        wrong = {}
        for name, (data, expected) in CASES.items():
            before = counted(daemon)
            found = status_of(await daemon.raw(data, 0.6))
            # A truncated head does not count as a request.
            is_counted = counted(daemon) > before or name == "truncated_head"
            if found not in expected or not is_counted:
                wrong[name] = (found, is_counted)
        assert not wrong
        served = [item for item in daemon.upstream.requests if "load" not in item.path]
        assert not served
        assert (await daemon.ask("GET", "/v/1")).status == 200
        assert not daemon.violations()
        assert daemon.entry.counters.value("internal_errors") == 0


@harness.in_trio
async def test_http_2_upgrade_is_not_served():
    async with harness.running() as daemon, under_load(daemon):
        data = (
            b"GET /o/1 HTTP/1.1\r\nHost: vm\r\nConnection: Upgrade, HTTP2-Settings\r\n"
            b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n"
        )
        before = counted(daemon)
        await daemon.raw(data, 0.5)
        assert counted(daemon) > before
        assert all("load" in item.path for item in daemon.upstream.requests)


@harness.in_trio
async def test_pipelined_requests_get_responses_in_order():
    async with harness.running() as daemon, under_load(daemon):
        data = b"".join(
            b"GET /v/%d HTTP/1.1\r\nHost: vm\r\n%b\r\n" % (n, AUTH) for n in range(20)
        )
        received = await daemon.raw(data + b"GET /v/.. HTTP/1.1\r\n\r\n", 1.0, 0.3)
        positions = [received.find(b"own answer to /v/%d" % n) for n in range(20)]
        assert positions == sorted(positions) and positions[0] > 0


@harness.in_trio
async def test_rejected_caller_that_keeps_sending_leaves_no_task_behind():
    # Guards against a request whose body fills the queue of the ASGI server: its task
    # waited forever for space, and a planned stop waited for the task.
    async with harness.running() as daemon:
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                data = CASES["large_chunked_body"][0] * 2
                nursery.start_soon(daemon.raw, data, 0.5)
        daemon.stop.set()
        with trio.fail_after(4):
            await daemon.finished.wait()
        assert not daemon.violations()


@harness.in_trio
async def test_caller_that_does_not_read_does_not_delay_the_stop():
    # Guards against a send without a timeout, which kept the process running.
    patch = pytest.MonkeyPatch()
    patch.setattr(caller_stream, "SEND_SECONDS", 0.3)
    with contextlib.closing(_Undo(patch)):
        async with harness.running() as daemon:

            async def large(request):
                return http_server.Response(200, (), bytes(8 << 20))

            daemon.upstream.behave = large
            async with daemon.connect() as client:
                await client.send(
                    "GET", "/v/1", [("Authorization", f"Bearer {harness.KEY}")]
                )
                with trio.fail_after(3):
                    while not daemon.entry.counters.value("answers_not_read"):
                        await trio.sleep(0.02)
                daemon.stop.set()
                with trio.fail_after(3):
                    await daemon.finished.wait()


class _Undo:
    def __init__(self, patch):
        self.close = patch.undo


@harness.in_trio
async def test_slow_and_silent_connections_are_bounded():
    patch = pytest.MonkeyPatch()
    patch.setattr(caller_server, "KEEP_ALIVE_SECONDS", 0.3)
    with contextlib.closing(_Undo(patch)):
        async with harness.running() as daemon:
            async with contextlib.AsyncExitStack() as stack:
                clients = [
                    await stack.enter_async_context(daemon.connect()) for _ in range(20)
                ]
                # The bytes of a slow head must not extend the timeout.
                for _ in range(10):
                    for client in clients[:10]:
                        with contextlib.suppress(trio.BrokenResourceError):
                            await client.stream.send_all(b"G")
                    await trio.sleep(0.05)
                with trio.fail_after(2):
                    for client in clients:
                        assert await client.receive() is None
            assert (await daemon.ask("GET", "/v/1")).status == 200


@harness.in_trio
async def test_connections_beyond_the_limit_are_closed_and_counted():
    patch = pytest.MonkeyPatch()
    patch.setattr(caller_server, "MAX_CONNECTIONS", 5)
    with contextlib.closing(_Undo(patch)):
        async with harness.running() as daemon:
            async with contextlib.AsyncExitStack() as stack:
                clients = [
                    await stack.enter_async_context(daemon.connect()) for _ in range(8)
                ]
                for client in clients[5:]:
                    assert await client.receive() is None
                assert (await clients[0].ask("GET", "/v/1")).status == 200
            assert daemon.entry.counters.value("connections_refused") == 3


@harness.in_trio
async def test_random_bytes_affect_no_other_request():
    rng = random.Random(7)
    async with harness.running() as daemon, under_load(daemon):
        for _ in range(60):
            data = bytearray(HEAD + b"X-A: b\r\nContent-Length: 3\r\n\r\nabc")
            for _ in range(rng.randrange(1, 8)):
                place = rng.randrange(len(data))
                match rng.randrange(3):
                    case 0:
                        data[place] = rng.randrange(256)
                    case 1:
                        del data[place : place + rng.randrange(1, 9)]
                    case 2:
                        data[place:place] = rng.randbytes(rng.randrange(1, 9))
                if not data:
                    break
            received = await daemon.raw(bytes(data), 0.03)
            assert not received or status_of(received) in range(200, 600)
        assert daemon.entry.counters.value("internal_errors") == 0
        assert not daemon.violations()


PEER_CASES = {
    "too_long": b"\xff\xff\xff\xff",
    "empty_frame": bytes(4),
    "garbage": framing.frame(b"\x01\x02\x03garbage"),
    "truncated": framing.frame(codec.encode(1, "x", ttypes.Gossip()))[:-3],
    "http": b"GET / HTTP/1.1\r\n\r\n",
}


async def send_to_peer_port(daemon, data):
    host, port = daemon.entry.settings.peer
    async with await trio.open_tcp_stream(host, port) as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
            await stream.send_eof()
            with trio.move_on_after(0.5):
                while await stream.receive_some(65536):
                    pass


@harness.in_trio
async def test_malformed_frames_close_only_their_own_connection():
    async with harness.running() as daemon, under_load(daemon):
        for name, data in PEER_CASES.items():
            before = daemon.entry.peer_counters["peer_frames_bad"]
            await send_to_peer_port(daemon, data)
            assert daemon.entry.peer_counters["peer_frames_bad"] > before, name


def random_message(rng):
    """Return a message with random values, some of them missing or out of range."""
    numbers = (None, 0, -1, 1, 1 << 30, -(1 << 31))
    amounts = (None, 0.0, -1.0, 1e300, float("nan"), float("inf"))
    texts = (None, "", "s", "v1", "u0", "urdina", "a1/0", "x" * 300)
    loan = ttypes.LoanIdentity(
        rng.choice(texts), rng.choice(numbers), rng.choice(numbers)
    )
    return rng.choice(
        (
            ttypes.Gossip(
                config_version=rng.choice(numbers),
                evidence_age_ms=rng.choice(numbers),
                evidence_version=rng.choice(numbers),
            ),
            ttypes.BorrowTokens(
                [ttypes.TokenRequest(rng.choice(texts), rng.choice(amounts))],
                [ttypes.Settlement(loan, rng.choice(texts), rng.choice(amounts))],
            ),
            ttypes.BorrowSlot(
                rng.choice(texts), rng.choice(texts), rng.choice(numbers)
            ),
            ttypes.ReturnSlot(loan, rng.choice(texts), rng.choice(numbers)),
            ttypes.FetchConfiguration(rng.choice(numbers), rng.choice(texts)),
            ttypes.ReportOutcomes(rng.choice(texts), [], rng.choice(texts)),
            ttypes.ReleaseSeat(rng.choice(texts)),
            ttypes.FetchLastHeard(rng.choice(texts)),
            ttypes.PushConfiguration(
                ttypes.ConfigurationData(rng.choice(numbers), rng.choice(texts), b"x")
            ),
        )
    )


@harness.in_trio
async def test_invalid_messages_of_a_peer_affect_no_request():
    rng = random.Random(3)
    async with harness.running() as daemon:
        async with under_load(daemon):
            for _ in range(150):
                message = random_message(rng)
                try:
                    frame = codec.encode(1, rng.choice(("", "x")), message)
                    data = framing.frame(frame)
                except Exception:
                    continue
                await send_to_peer_port(daemon, data)
        assert daemon.entry.counters.value("loop_failures") == 0
        ledger = daemon.entry.slots.ledger
        # The request that was cancelled with the load still occupies its slot.
        with trio.move_on_after(2):
            while ledger.in_use:
                await trio.sleep(0.01)
        # No loan outlasts the longest deadline, whatever deadline a peer sends.
        assert ledger.free("u0", harness.node.clock.now() + 12) == 8
        assert len(daemon.entry.slots._queues) <= 2
        assert not daemon.violations()


@harness.in_trio
async def test_peer_cannot_make_dictionaries_grow_without_bound():
    async with harness.running() as daemon:
        for n in range(50):
            message = ttypes.BorrowSlot(f"s{n}", f"v{n}", 1000)
            await send_to_peer_port(
                daemon, framing.frame(codec.encode(n, "x", message))
            )
        assert len(daemon.entry.slots._queues) <= 1
        assert len(daemon.entry.active._tiers) <= 1
