"""Responses on the connection of a caller."""

import pytest

from tests.daemon import harness
from trial import http_server


@pytest.mark.parametrize(
    "body",
    [b"", b"x", b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 400 \r\n", bytes(1 << 20)],
)
def test_head_and_body_arrive_complete(body):
    # The stream joins head and body into one write; a body may look like a head.
    @harness.in_trio
    async def main():
        async with harness.running() as daemon, daemon.connect() as client:

            async def behave(request):
                return http_server.Response(200, (), body)

            daemon.upstream.behave = behave
            for _ in range(3):
                assert (await client.ask("GET", "/v/1")).body == body
            assert not daemon.entry.counters.value(
                "requests_rejected", reason="malformed"
            )

    main()


@harness.in_trio
async def test_expected_continue_is_sent_before_the_body():
    # The stream must not hold an interim response back to join it with a body.
    async with harness.running() as daemon:
        data = (
            b"POST /c/1 HTTP/1.1\r\nHost: vm\r\nExpect: 100-continue\r\n"
            b"Content-Length: 1\r\n\r\n"
        )
        assert b" 100 " in await daemon.raw(data, 0.5)
