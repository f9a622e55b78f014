"""Tests of the listening socket for callers."""

import errno
import os
import socket
import unittest.mock

import pytest
import trio
import trio.testing

from rattanlug.caller import listener
from rattanlug.metrics import counters
from rattanlug.settings import address

HOST = "127.0.0.1"
# Python raises BlockingIOError for these, or calls again.
WAITING = {errno.EAGAIN, errno.EALREADY, errno.EINPROGRESS, errno.EINTR}


def peer(accepted):
    """Return the caller's address, or None if it reset the connection."""
    try:
        return accepted.raw.getpeername()
    except OSError:
        return None


def test_all_queued_connections_are_accepted_without_a_checkpoint():
    """The accept queue must not grow because a loop iteration accepts only one."""

    async def main():
        earliest_ready_at = [5.0]
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: earliest_ready_at[0], counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        callers = [socket.create_connection((HOST, port)) for _ in range(100)]
        other_iterations = []

        async def count_iterations():
            while True:
                other_iterations.append(trio.current_time())
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            first = await tested.accept()
            nursery.start_soon(count_iterations)
            rest = [await tested.accept() for _ in range(99)]
            assert not other_iterations
            nursery.cancel_scope.cancel()
        assert {each.earliest_opened_at for each in [first, *rest]} == {5.0}
        for each in [first, *rest]:
            await trio.aclose_forcefully(each.stream)
        for each in callers:
            each.close()

        # A connection that arrives at an empty queue can't have waited before.
        async with trio.open_nursery() as nursery:

            async def connect_later():
                earliest_ready_at[0] = 9.0
                callers.append(socket.create_connection((HOST, port)))

            nursery.start_soon(connect_later)
            accepted = await tested.accept()
        assert accepted.earliest_opened_at == 9.0
        await trio.aclose_forcefully(accepted.stream)
        callers[-1].close()
        tested.close()

    trio.run(main)


def test_a_connection_reset_in_the_queue_does_not_affect_others():
    async def main():
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: 0.0, counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        reset = socket.create_connection((HOST, port))
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        reset.close()
        kept = socket.create_connection((HOST, port))
        with trio.fail_after(2):
            accepted = [await tested.accept()]
            while peer(accepted[-1]) != kept.getsockname():
                accepted.append(await tested.accept())
        for each in accepted:
            await trio.aclose_forcefully(each.stream)
        kept.close()
        tested.close()

    trio.run(main)


class FailingAccept:
    """Fails with one error a number of times, then accepts."""

    def __init__(self, number, failures):
        self.failures = failures
        self._number = number
        self._accept = socket.socket.accept

    def __call__(self, sock):
        if self.failures:
            self.failures -= 1
            raise OSError(self._number, os.strerror(self._number))
        return self._accept(sock)


# Guards against an error of the operating system that ends the process: an error that
# escapes from a listener ends every task of the daemon.
@pytest.mark.parametrize(
    "number",
    sorted(errno.errorcode.keys() - WAITING),
    ids=lambda number: errno.errorcode[number],
)
def test_no_error_of_accept_ends_the_listener(monkeypatch, number):
    async def main():
        all_counters = counters.Counters()
        tested = listener.Listener(address.Address(HOST, 0), lambda: 0.0, all_counters)
        failing = FailingAccept(number, 3)
        monkeypatch.setattr(
            socket.socket, "accept", lambda sock: failing(sock), raising=False
        )
        caller = socket.create_connection((HOST, tested.socket.getsockname()[1]))
        accepted = await tested.accept()
        assert peer(accepted) == caller.getsockname()
        assert not failing.failures
        counted = {name: value for name, _, value in all_counters.items()}
        assert 3 in (
            counted.get("connections_broken"),
            counted.get("connections_refused"),
        )
        await trio.aclose_forcefully(accepted.stream)
        caller.close()
        tested.close()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against an error that lasts and is repeated without a checkpoint, so that the
# event loop stands still.
@pytest.mark.parametrize("number", [errno.EPERM, errno.ENETDOWN, errno.EMFILE])
def test_an_error_that_lasts_does_not_block_the_loop(monkeypatch, number):
    async def main():
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: 0.0, counters.Counters()
        )
        calls = []

        def fail(sock):
            calls.append(number)
            assert len(calls) < 1000, "the loop stands still"
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(socket.socket, "accept", fail)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tested.accept)
            for _ in range(3):
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        tested.close()

    trio.run(main)


# Guards against an error of the wait for connections that ends the process.
def test_an_error_of_the_wait_does_not_end_the_listener(monkeypatch):
    async def main():
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: 0.0, counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        wait = trio.lowlevel.wait_readable
        errors = [OSError(errno.ENOMEM, "no memory")]
        callers = []

        async def fail_once(sock):
            if errors:
                callers.append(socket.create_connection((HOST, port)))
                raise errors.pop()
            await wait(sock)

        monkeypatch.setattr(trio.lowlevel, "wait_readable", fail_once)
        with trio.fail_after(5):
            accepted = await tested.accept()
        await trio.aclose_forcefully(accepted.stream)
        callers[0].close()
        tested.close()

    trio.run(main)


# Guards against a shutdown that ends with an error of accept, or accepts for ever.
@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EMFILE])
def test_errors_while_the_accept_queue_is_emptied_are_counted(number, monkeypatch):
    all_counters = counters.Counters()
    tested = listener.Listener(address.Address(HOST, 0), lambda: 0.0, all_counters)
    failing = unittest.mock.Mock()
    failing.accept.side_effect = [OSError(number, ""), BlockingIOError]
    with tested.socket:
        monkeypatch.setattr(tested, "_socket", failing)
        assert tested.accept_queued() == []
    is_of_caller = number == errno.ECONNABORTED
    counted = "connections_broken" if is_of_caller else "connections_refused"
    assert all_counters.value(counted) == 1


# Guards against a stop that never ends, and cuts all requests, because an error lasts.
@pytest.mark.parametrize("number", sorted(listener._PEER_ERRORS))
def test_an_error_that_lasts_ends_the_emptying_of_the_queue(number, monkeypatch):
    tested = listener.Listener(
        address.Address(HOST, 0), lambda: 0.0, counters.Counters()
    )
    failing, most = unittest.mock.Mock(), 10 * listener.BACKLOG
    failing.accept.side_effect = [OSError(number, "")] * most + [BlockingIOError]
    with tested.socket:
        monkeypatch.setattr(tested, "_socket", failing)
        assert tested.accept_queued() == []
    assert failing.accept.call_count <= 2 * listener.BACKLOG
