"""Checks the upstream stand-in of a site on a real connection."""

import random

import pytest
import trio

from soak import site_upstream, sites

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
