"""Responses with a status that no HTTP response has, as callers of a daemon see it."""

import pytest

from tests.daemon import harness
from trial import http_server

NO_STATUSES = [b"000", b"099", b"600", b"999", b"0", b"20", b"2000", b"-20", b"2O0"]


def respond_with(status):
    async def respond(request):
        identifier = request.header("request-id").encode()
        head = b"HTTP/1.1 %b X\r\nRequest-Id: %b\r\nContent-Length: 0\r\n\r\n"
        return http_server.Response(200, before=head % (status, identifier))

    return respond


# Guards against a caller that gets such a response as the one to its request, and an
# operation that is recorded with it or runs a second time.
@pytest.mark.parametrize("status", NO_STATUSES)
def test_a_status_of_no_response_is_unknown_and_runs_at_most_once(status):
    @harness.in_trio
    async def check():
        async with harness.running(upstreams=2) as daemon:
            for item in daemon.upstreams:
                item.behave = respond_with(status)
            headers = [("Idempotency-Key", harness.new_identity())]
            answer = await daemon.ask("POST", "/c/1", headers, b"x")
            assert (answer.status, answer.ran) == (502, "unknown")
            repeat = await daemon.ask("POST", "/c/1", headers, b"x")
            assert (repeat.kind, repeat.ran) == ("outcome_unknown", "unknown")
            assert sum(len(item.requests) for item in daemon.upstreams) == 1
            answer = await daemon.ask("GET", "/v/1")
            assert (answer.status, answer.kind) == (502, "answer_broken")
            assert not daemon.violations()

    check()


@pytest.mark.parametrize("status", [299, 399, 499, 599])
def test_the_last_status_of_each_class_reaches_the_caller(status):
    @harness.in_trio
    async def check():
        async with harness.running() as daemon:
            daemon.upstream.behave = respond_with(b"%d" % status)
            assert (await daemon.ask("GET", "/v/1")).status == status

    check()
