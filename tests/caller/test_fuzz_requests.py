"""Random requests in random pieces, with a stop at a random moment."""

import random

import pytest
import trio

from tests.caller import test_fast_path
from tests.gateway import caller

_CONNECTIONS = 6


def make_request(rng, identifier):
    """Return the bytes of a valid request whose response names the identifier."""
    path = f"/r{identifier}".encode()
    host = b"Host: x\r\n" + rng.choice([b"", b"X: a\tb\xff\r\n", b"X-Y:z \r\n"])
    body = bytes(rng.choices(b"ab\r\nGET /", k=rng.choice([0, 1, 10, 60])))
    form = rng.choice(["get", "length", "chunked", "continue", "absolute"])
    if form == "get":
        return b"GET " + path + b" HTTP/1.1\r\n" + host + b"\r\n"
    if form == "absolute":
        return b"GET http://x" + path + b" HTTP/1.1\r\n" + host + b"\r\n"
    post = b"POST " + path + b" HTTP/1.1\r\n" + host
    if form == "chunked":
        middle = rng.randrange(len(body) + 1)
        parts = [each for each in (body[:middle], body[middle:]) if each]
        chunks = b"".join(b"%x;e=1\r\n%b\r\n" % (len(each), each) for each in parts)
        end = rng.choice([b"0\r\n\r\n", b"0\r\nTrailer: 1\r\n\r\n"])
        return post + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end
    if form == "continue":
        post += b"Expect: 100-continue\r\n"
    return post + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Exchange:
    """Requests of one connection, and how many of them were sent completely."""

    def __init__(self, rng, served, first):
        self.rng = rng
        self.served = served
        self.names = [b"/r%d" % (first + index) for index in range(8)]
        self.requests = [make_request(rng, first + index) for index in range(8)]
        self.data = b""

    async def run(self):
        stream = await test_fast_path.connect(self.served)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, stream)
            try:
                while data := await stream.receive_some():
                    self.data += data
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()

    async def _send(self, stream):
        data = b"".join(self.requests)
        while data:
            size = self.rng.choice([1, 7, 40, 200, len(data)])
            piece, data = data[:size], data[size:]
            try:
                await stream.send_all(piece)
            except trio.BrokenResourceError:
                return
            await trio.sleep(self.rng.choice([0.0, 0.001, 0.004]))

    def answered(self):
        """Return the names in the responses; the responses are complete."""
        names, data = [], self.data
        while data:
            head, separator, data = data.partition(b"\r\n\r\n")
            assert separator
            if head.startswith(b"HTTP/1.1 100"):
                continue
            assert head.startswith(b"HTTP/1.1 200"), head
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            assert len(data) >= length
            names.append(data[:length].split(b" ")[1].replace(b"http://x", b""))
            data = data[length:]
        return names


# Guards against requests that are lost or whose responses are crossed, between the fast
# path and the library and around a shutdown.
@pytest.mark.parametrize("ignores_disconnect", [False, True])
@pytest.mark.parametrize("seed", range(20))
@caller.in_trio
async def test_random_requests_get_one_response_each_in_order(seed, ignores_disconnect):
    rng = random.Random(seed)
    stops = seed % 2
    async with test_fast_path.serving(ignores_disconnect=ignores_disconnect) as served:
        exchanges = [Exchange(rng, served, 8 * each) for each in range(_CONNECTIONS)]
        async with trio.open_nursery() as nursery:
            for each in exchanges:
                nursery.start_soon(each.run)
            if stops:
                await trio.sleep(rng.uniform(0.0, 0.1))
                served.closing = True
                served.stop.set()
            else:
                while any(each.data.count(b"HTTP/1.1 200") < 8 for each in exchanges):
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        for each in exchanges:
            names = each.answered()
            assert names == each.names[: len(names)]
            if not stops:
                assert len(names) == 8
        answered = sum(len(each.answered()) for each in exchanges)
        # What was passed to the application was answered, once.
        assert len(served.requests) == answered
