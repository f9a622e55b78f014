"""Random streams of a faulty upstream, and what the gateway makes of them.

``python -m tests.upstream.faulty_responses COUNT SEED`` checks more of them than the
test does.
"""

import collections
import random
import sys
from typing import NamedTuple

import httpcore
import trio

from rattanlug.errors import error
from rattanlug.platform import names, response_headers
from rattanlug.upstream import memory_budget, pooled_connection, response_stream

REQUESTS = 4
REFUSALS = [429, 503, 421, 400]
STATUSES = [200, 200, 200, 204, 304, 404, 500, 503]
ENDS = ["stay", "stay", "close", "reset"]
INTERIMS = [b"", b"", b"HTTP/1.1 102 Processing\r\n\r\n"]


class Answer(NamedTuple):
    """What an upstream responds to a request, and the bytes for it."""

    ran: bool
    status: int
    body: bytes
    head: bytes
    framed: bytes
    until_close: bool


class Upstream:
    """Gives the bytes of one connection in pieces of random sizes."""

    def __init__(self, rng):
        self._rng = rng
        self.data, self.end, self.late = b"", "stay", b""

    @property
    def is_readable(self):
        return bool(self.data)

    def set_deadline(self, deadline, later_deadline=None):
        pass

    def check_deadline(self):
        pass

    async def read(self, max_bytes):
        if not self.data:
            if self.end == "close":
                return b""
            raise httpcore.ReadTimeout if self.end == "stay" else httpcore.ReadError
        size = self._rng.choice([1, 7, 60, len(self.data)])
        piece, self.data = self.data[:size], self.data[size:]
        return piece

    async def write(self, data):
        pass

    async def aclose(self):
        pass


def build_answer(rng, identifier, method):
    ran = rng.random() < 0.6
    status = rng.choice(STATUSES if ran else REFUSALS)
    body = rng.choice([b"", b"busy", rng.randbytes(300), b"HTTP/1.1 200 OK\r\n\r\n"])
    is_empty = method == "HEAD" or status in (204, 304)
    lines = [b"Rattanlug-Request-Id: " + identifier, b"Keep-Alive: timeout=10"]
    lines.append(
        b"Rattanlug-Server-Stamp: s." + identifier
        if ran
        else b"Rattanlug-Not-Executed: 1"
    )
    framing = rng.choice(["length", "length", "chunked", "close"])
    until_close = framing == "close" and not is_empty
    framed = body
    if framing == "chunked" and status != 204:
        lines.append(b"Transfer-Encoding: chunked")
        framed = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
    elif not until_close and status != 204:
        lines.append(b"Content-Length: %d" % len(body))
    rng.shuffle(lines)
    head = b"HTTP/1.1 %d Reason\r\n" % status + b"\r\n".join(lines) + b"\r\n\r\n"
    head = rng.choice(INTERIMS) + head
    if is_empty:
        body = framed = b""
    return Answer(ran, status, body, head, framed, until_close)


def build_stray(rng, earlier):
    """Return an earlier response, maybe without its identifier or cut."""
    data = rng.choice(earlier)
    if rng.random() < 0.3:
        lines = data.split(b"\r\n")
        data = b"\r\n".join(x for x in lines if not x.startswith(b"Rattanlug-Request"))
    if rng.random() < 0.1:
        data = data.replace(b"\r\n", b"\n")
    if rng.random() < 0.1:
        data = data.replace(b"\r\nRattanlug", b"\r\n Rattanlug", 1)
    return data[: rng.randrange(len(data) + 1)] if rng.random() < 0.5 else data


def respond(rng, upstream, own, earlier):
    """Set the bytes of a connection from a response and those to earlier requests.

    A body that is cut is always the end of its connection, and one without a length the
    end by a reset, as nothing else distinguishes them from whole ones.
    """
    upstream.end = rng.choice(ENDS)
    before = after = b""
    if earlier and rng.random() < 0.6:
        before = b"".join(build_stray(rng, earlier) for _ in range(rng.randint(1, 2)))
    if earlier and rng.random() < 0.4 and not own.until_close:
        after = build_stray(rng, earlier)
    data, fault = own.head + own.framed, rng.random()
    if own.until_close:
        upstream.end = "close"
    if fault < 0.15:
        data, upstream.end = data[: rng.randrange(len(data))], "reset"
        after = b""
    elif fault < 0.25:
        data = own.head[: rng.randrange(len(own.head))]
    elif fault < 0.35:
        data = b""
    elif fault < 0.45 and not own.until_close:
        after += data
    late = rng.random() < 0.3
    upstream.data = upstream.late + before + data + (b"" if late else after)
    upstream.late = after if late else b""


def open_connection(rng):
    upstream = Upstream(rng)
    stream = response_stream.ResponseStream(upstream, names.REQUEST_ID)
    origin = httpcore.Origin(b"http", b"u", 1)
    memory = memory_budget.MemoryBudget(1 << 28)
    return upstream, pooled_connection.PooledConnection(stream, origin, 0.0, memory)


async def exchange(connection, identifier, method):
    """Return the response and whether it leaves the connection open."""
    request = httpcore.Request(
        method, "http://u:1/", headers=[("Host", "u"), (names.REQUEST_ID, identifier)]
    )
    try:
        found, reason = await connection.exchange(
            request, identifier, names.REQUEST_ID, 1.0, lambda: None
        )
    except (
        error.UpstreamError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None, False
    return found, not reason


def judge(found, own, identifier):
    """Return the outcome of a request; the name of a wrong one begins with "wrong"."""
    if found is None:
        return "unknown"
    headers = response_headers.decode(found.status, found.headers, identifier)
    if headers.not_executed:
        return "wrong: not run" if own.ran else "not run"
    if headers.ambiguous:
        return "unknown"
    stamp = found.header(names.SERVER_STAMP)
    is_own = (own.status, own.body) == (found.status, found.body)
    is_right = own.ran and is_own and stamp == b"s." + identifier
    return "answered" if is_right else "wrong: answer"


async def check(count, seed):
    """Return the number of requests with each outcome, and the first wrong seeds."""
    outcomes, wrong = collections.Counter(), []
    for number in range(count):
        rng = random.Random(f"{seed}-{number}")
        upstream, connection = open_connection(rng)
        earlier = []
        for index in range(REQUESTS):
            identifier = b"id-%d" % (0 if rng.random() < 0.1 else index)
            if connection.has_carried(identifier):
                upstream, connection = open_connection(rng)
                earlier.clear()
            method = rng.choice(["GET", "POST", "HEAD"])
            own = build_answer(rng, identifier, method)
            respond(rng, upstream, own, earlier)
            found, is_open = await exchange(connection, identifier, method)
            outcome = judge(found, own, identifier)
            outcomes[outcome] += 1
            if outcome.startswith("wrong"):
                wrong.append((number, index, outcome))
            earlier.append(own.head + own.framed)
            if not is_open or not connection.is_reusable(0.0, 1.0):
                upstream, connection = open_connection(rng)
                earlier.clear()
    return outcomes, wrong[:5]


if __name__ == "__main__":
    print(*trio.run(check, int(sys.argv[1]), sys.argv[2]))
