"""Tests that nothing of failed attempts stays in memory."""

import pytest
import trio

from tests import reference_cycles
from tests.daemon import harness
from trial import http_server

_BODY = bytes(100_000)
_FAILURES = {
    "closed": http_server.Response(200, (), _BODY, fault="close"),
    "cut": http_server.Response(200, (), _BODY, fault="short"),
    "refused": http_server.Response(503, (("Rattanlug-Ran", "no"),), _BODY),
}


async def fail_requests(response):
    """Return the errors that failed requests leave in reference cycles."""

    async def fail(request):
        return response

    async with harness.running(upstreams=3) as daemon, daemon.connect() as client:
        # The retry budget is a tenth of the requests.
        for _ in range(40):
            assert (await client.ask("GET", "/v/0")).status == 200
        for each in daemon.upstreams:
            each.behave = fail
        with reference_cycles.found() as errors:
            for _ in range(3):
                answer = await client.ask("GET", "/v/1")
                assert answer.status in (502, 503, 504)
            await trio.sleep(0.1)
        return errors


# Guards against received bodies that stay in memory, in reference cycles of an error
# with its traceback, until the next run of the collector.
@pytest.mark.parametrize("name", _FAILURES)
def test_failed_attempts_leave_no_reference_cycle(name):
    @harness.in_trio
    async def run():
        assert await fail_requests(_FAILURES[name]) == []

    run()
