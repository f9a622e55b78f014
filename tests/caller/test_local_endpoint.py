"""Endpoints on local addresses that are in use or not assigned."""

import errno
import socket

import pytest
import trio
import trio.testing

from rattanlug.caller import local_endpoint
from rattanlug.settings import address

LOCAL = address.Address("127.0.0.1", 1)


class Opener:
    """Fails with one error a number of times, then returns an endpoint."""

    def __init__(self, number, failures):
        self.calls = 0
        self._number = number
        self._failures = failures

    def __call__(self):
        self.calls += 1
        if self.calls <= self._failures:
            raise OSError(self._number, "failed")
        return "endpoint"


def open_with(opener, **limits):
    async def main():
        started_at = trio.current_time()
        found = await local_endpoint.open_when_available(opener, LOCAL, **limits)
        return found, trio.current_time() - started_at

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against a daemon that ends at its start because another process has its port,
# or uses up the machine's descriptors or memory for a moment.
@pytest.mark.parametrize(
    "number",
    [
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    ],
    ids=lambda number: errno.errorcode[number],
)
def test_an_unavailable_endpoint_is_tried_again(number):
    opener = Opener(number, 5)
    assert open_with(opener)[0] == "endpoint"
    assert opener.calls == 6


# Guards against a daemon that ends by itself, again and again, because another program
# has one of its ports for longer than a while.
def test_the_wait_lasts_until_the_endpoint_is_available():
    failures = round(600.0 / local_endpoint.RETRY_SECONDS)
    opener = Opener(errno.EADDRINUSE, failures)
    found, waited = open_with(opener)
    assert (found, opener.calls) == ("endpoint", failures + 1)
    assert waited == pytest.approx(600.0)


def test_the_wait_can_be_limited():
    opener = Opener(errno.EADDRINUSE, 10**6)
    with pytest.raises(OSError):
        open_with(opener, max_wait=30.0)
    assert opener.calls <= 30.0 / local_endpoint.RETRY_SECONDS + 2


def test_another_error_is_raised_at_once():
    opener = Opener(errno.EACCES, 10**6)
    with pytest.raises(OSError):
        open_with(opener)
    assert opener.calls == 1


def test_an_available_address_needs_no_wait():
    with socket.socket() as sock:
        found, waited = open_with(lambda: sock.bind(("127.0.0.1", 0)))
    assert (found, waited) == (None, 0.0)
