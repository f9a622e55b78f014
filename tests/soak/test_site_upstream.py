"""Checks the upstream stand-in of a site on a real connection."""

import random

import pytest
import trio

from soak import site_upstream, sites
from trial.shared_platform import endless_response

SITE = sites.SITES["txiki-swap"]


async def ask(port, name, path="/view/x", **headers):
    """Send one request; return all that comes until the peer closes or is silent."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    lines = [f"GET {path} HTTP/1.1", f"Rattanlug-Request-Id: {name}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    async with stream:
        await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n")
        data = b""
        with trio.move_on_after(1.5):
            while chunk := await stream.receive_some(4096):
                data += chunk
                if data.endswith(name.encode()):
                    break
    return data


def with_upstream(check):
    async def run():
        stand_in = site_upstream.SiteUpstream(
            "u1", SITE.services[0], SITE.routes, random.Random(1)
        )
        async with trio.open_nursery() as nursery:
            port = await nursery.start(stand_in.run)
            await check(stand_in, port)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_full_upstream_refuses_and_does_not_run_the_request():
    async def check(stand_in, port):
        answers = []

        async def collect(name):
            answers.append(await ask(port, name))

        async with trio.open_nursery() as nursery:
            for index in range(25):
                nursery.start_soon(collect, f"r{index}")
        refused = [each for each in answers if b"Rattanlug-Not-Executed" in each]
        assert len(refused) == 25 - 5 - 15
        assert all(each.startswith(b"HTTP/1.1 503") for each in refused)
        # Those whose callers left while they waited did not run.
        assert len(stand_in.executions) <= 20

    with_upstream(check)


def test_other_instances_are_refused_and_do_not_count():
    async def check(stand_in, port):
        stand_in.turn_cold(reported=True)
        answer = await ask(port, "r1", **{"Rattanlug-Expect-Instance": "u2"})
        assert answer.startswith(b"HTTP/1.1 421")
        assert stand_in.arrivals == []
        assert b"Rattanlug-Cold-Ms" in await ask(port, "p1", path="/healthz")
        await ask(port, "r2")
        assert [each.cold_for is not None for each in stand_in.arrivals] == [True]

    with_upstream(check)


def test_work_stops_at_the_deadline():
    async def check(stand_in, port):
        answer = await ask(port, "r1", **{"Rattanlug-Deadline-Ms": 50})
        assert answer.startswith(b"HTTP/1.1 504")

    with_upstream(check)


@pytest.mark.parametrize("fault", ["close", "cut", "short"])
def test_broken_answers_are_recorded(fault):
    async def check(stand_in, port):
        stand_in.fault = fault
        answer = await ask(port, "r1")
        assert not answer.endswith(b"u1 r1")
        assert stand_in.broken_off == {"r1"}
        assert len(stand_in.executions) == 1

    with_upstream(check)


def test_callers_that_leave_do_not_make_it_break_off():
    async def check(stand_in, port):
        with trio.move_on_after(0.1):
            await ask(port, "r1")
        await trio.sleep(0.1)
        assert stand_in.broken_off == set()

    with_upstream(check)


async def read_some(port, name, size):
    """Send one request; return the first bytes of the response, then close."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        head = f"GET /view/x HTTP/1.1\r\nRattanlug-Request-Id: {name}\r\n\r\n"
        await stream.send_all(head.encode())
        data = b""
        while len(data) < size:
            data += await stream.receive_some(65536)
    return data


@pytest.mark.parametrize("status", endless_response.STATUSES)
@pytest.mark.parametrize("form", endless_response.FORMS)
def test_bytes_are_sent_until_the_caller_closes(form, status):
    async def check(stand_in, port):
        stand_in.slowness = 0.1
        stand_in.endless = site_upstream.Endless(form, status)
        data = await read_some(port, "r1", 1_000_000)
        assert data.startswith(endless_response.FORMS[form].head(status, "r1"))
        assert stand_in.broken_off == stand_in.sent_endlessly == {"r1"}
        assert len(stand_in.executions) == 1
        assert stand_in.endless_bytes > 500_000
        stand_in.endless = None
        assert (await ask(port, "r2")).endswith(b"u1 r2")
        assert stand_in.broken_off == {"r1"}

    with_upstream(check)


class _Iterations(trio.abc.Instrument):
    count = 0

    def before_io_wait(self, timeout):
        self.count += 1


# Guards against a run whose store and callers stall because it sends without end.
def test_few_blocks_are_sent_in_one_iteration_of_the_loop():
    callers, size = 60, 5_000_000

    async def check(stand_in, port):
        stand_in.slowness = 0.1
        stand_in.endless = site_upstream.Endless("one_chunk", 200)
        iterations = _Iterations()
        trio.lowlevel.add_instrument(iterations)
        async with trio.open_nursery() as nursery:
            for index in range(callers):
                nursery.start_soon(read_some, port, f"r{index}", size)
        block = len(endless_response.FORMS["one_chunk"].block)
        assert len(stand_in.sent_endlessly) == callers
        # A block whose reader is slow is sent in parts, at most one for each reader.
        assert stand_in.endless_bytes > callers * (size - 2 * block)
        assert stand_in.endless_bytes <= block * (8 * iterations.count + callers)

    with_upstream(check)
