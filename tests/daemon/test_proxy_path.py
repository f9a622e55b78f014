"""Tests of requests through a real daemon, with faults injected."""

import collections

import pytest
import trio

from tests.daemon import harness
from trial import http_server


def claim_headers(identity=None, **others):
    headers = [("Idempotency-Key", identity or harness.new_identity())]
    return headers + [(name.replace("_", "-"), value) for name, value in others.items()]


async def wait_until(condition, limit=3.0):
    with trio.fail_after(limit):
        while not condition():
            await trio.sleep(0.01)


@harness.in_trio
async def test_key_is_checked_on_each_request_of_an_open_connection():
    # Guards against a key check that is made only once per connection.
    async with harness.running() as daemon, daemon.connect() as client:
        assert (await client.ask("GET", "/v/1")).status == 200
        await daemon.apply(harness.rules(daemon.ports, key="another"))
        refused = await client.ask("GET", "/v/1")
        assert (refused.status, refused.kind, refused.ran) == (
            401,
            "key_withdrawn",
            "no",
        )
        assert (await client.ask("GET", "/v/1", key="another")).status == 200
        assert len(daemon.upstream.requests) == 2


@harness.in_trio
async def test_no_upstream_sees_the_key():
    async with harness.running() as daemon:
        assert (await daemon.ask("GET", "/v/1")).status == 200
        assert (await daemon.ask("GET", "/o/1")).status == 200
        for path, headers in (
            (f"/v/{harness.KEY}", ()),
            (f"/v/1?k={harness.KEY.replace('-', '%2D')}", ()),
            ("/v/1", [("X-Copy", harness.KEY)]),
            # An open route checks no key, but its request may still contain one.
            ("/o/1", [("X-Copy", harness.KEY)]),
            (f"/o/{harness.KEY}", ()),
        ):
            answer = await daemon.ask("GET", path, headers)
            assert (answer.kind, answer.ran) == ("request_malformed", "no"), path
        assert len(daemon.upstream.requests) == 2
        for request in daemon.upstream.requests:
            assert harness.KEY not in repr(request)


@harness.in_trio
async def test_key_that_becomes_stale_while_the_request_waits_is_rejected():
    # Guards against sending a request whose key was checked seconds before.
    async with harness.running() as daemon:
        freshness = daemon.entry.proxy._freshness = harness.Freshness()
        await harness.set_platform(daemon, mode="slow", delay=0.4)
        answers = []

        async def ask():
            answers.append(await daemon.ask("POST", "/c/1", claim_headers(), b"x"))

        daemon.nursery.start_soon(ask)
        await wait_until(lambda: daemon.entry.operations.active)
        freshness.known = False
        await wait_until(lambda: answers)
        assert (answers[0].kind, answers[0].ran) == ("keys_stale", "no")
        assert not daemon.upstream.requests
        assert not daemon.violations()


async def fill_retry_budget(daemon):
    """Send enough requests for the retry budget, a tenth of them, to allow a retry."""
    async with daemon.connect() as client:
        for _ in range(40):
            assert (await client.ask("GET", "/v/0")).status == 200
    for item in daemon.upstreams:
        item.requests.clear()


async def close(request):
    return http_server.Response(0, fault="close")


@harness.in_trio
async def test_idempotent_request_is_retried_once_on_another_upstream():
    async with harness.running(upstreams=3) as daemon:
        await fill_retry_budget(daemon)
        for item in daemon.upstreams:
            item.behave = close
        answer = await daemon.ask("GET", "/v/1")
        assert (answer.kind, answer.ran) == ("answer_broken", "unknown")
        assert sorted(len(item.requests) for item in daemon.upstreams) == [0, 1, 1]


@harness.in_trio
async def test_failed_retry_does_not_hide_that_the_first_attempt_may_have_run():
    # The retry gets no slot and ends with no_capacity, which says "not run", but the
    # first attempt was sent.
    async with harness.running(upstreams=1) as daemon:
        await fill_retry_budget(daemon)
        daemon.upstream.behave = close
        answer = await daemon.ask("GET", "/v/1")
        assert (answer.status, answer.ran) == (502, "unknown")
        assert len(daemon.upstream.requests) == 1


@harness.in_trio
async def test_once_request_is_not_retried_after_an_unknown_outcome():
    async with harness.running(upstreams=2) as daemon:
        await fill_retry_budget(daemon)
        for item in daemon.upstreams:
            item.behave = close
        identity = harness.new_identity()
        answer = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert answer.ran == "unknown"
        for item in daemon.upstreams:
            item.behave = None
        repeat = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert (repeat.kind, repeat.ran) == ("outcome_unknown", "unknown")
        assert sum(len(item.requests) for item in daemon.upstreams) == 1


@harness.in_trio
async def test_once_request_is_retried_after_the_upstream_said_not_run():
    async with harness.running(upstreams=2) as daemon:
        await fill_retry_budget(daemon)

        async def refuse(request):
            return http_server.Response(503, (("Rattanlug-Ran", "no"),), b"full")

        for item in daemon.upstreams:
            item.behave = refuse
        identity = harness.new_identity()
        answer = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert (answer.status, answer.ran) == (502, "no")
        assert sorted(len(item.requests) for item in daemon.upstreams) == [1, 1]
        for item in daemon.upstreams:
            item.behave = None
        repeat = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert repeat.status == 200


@harness.in_trio
async def test_contradictory_statement_of_the_upstream_counts_as_run():
    async with harness.running(upstreams=2) as daemon:
        both = (("Rattanlug-Ran", "no"), ("Rattanlug-Ran", "yes"))

        async def refuse(request):
            return http_server.Response(503, both, b"")

        for item in daemon.upstreams:
            item.behave = refuse
        answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
        assert (answer.status, answer.ran) == (503, "yes")
        assert sum(len(item.requests) for item in daemon.upstreams) == 1


# Guards against a second run of a request whose success states that it did not run.
@harness.in_trio
async def test_a_success_that_states_not_run_counts_as_run():
    async with harness.running(upstreams=2) as daemon:

        async def serve(request):
            return http_server.Response(200, (("Rattanlug-Ran", "no"),), b"done")

        for item in daemon.upstreams:
            item.behave = serve
        answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
        assert answer.status == 200
        assert sum(len(item.requests) for item in daemon.upstreams) == 1


@harness.in_trio
async def test_operation_is_replayed_and_another_body_is_rejected():
    async with harness.running() as daemon:
        identity = harness.new_identity()
        first = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        again = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert (first.status, first.body) == (again.status, again.body)
        other = await daemon.ask("POST", "/c/1", claim_headers(identity), b"y")
        assert (other.kind, other.ran) == ("identity_reused", "no")
        assert len(daemon.upstream.requests) == 1


@harness.in_trio
async def test_deadline_is_passed_on_and_ends_the_request():
    async with harness.running() as daemon:

        async def hang(request):
            await trio.sleep_forever()

        daemon.upstream.behave = hang
        began = trio.current_time()
        answer = await daemon.ask("GET", "/v/1", [("Request-Timeout", "200")])
        assert (answer.kind, answer.ran) == ("deadline_exceeded", "unknown")
        assert trio.current_time() - began < 0.6
        assert 0 < int(daemon.upstream.requests[0].header("request-timeout")) <= 200
        await wait_until(lambda: daemon.upstream.cancelled)


@harness.in_trio
async def test_malformed_timeout_is_rejected():
    # Python does not convert numbers of thousands of digits.
    async with harness.running() as daemon:
        for text in ("0", "-1", "1.5", "9" * 5000, "x"):
            answer = await daemon.ask("GET", "/v/1", [("Request-Timeout", text)])
            assert (answer.status, answer.kind) == (400, "request_malformed")


@harness.in_trio
async def test_caller_that_disconnects_cancels_an_idempotent_request():
    async with harness.running() as daemon:

        async def hang(request):
            await trio.sleep_forever()

        daemon.upstream.behave = hang
        async with daemon.connect() as client:
            headers = [("Authorization", f"Bearer {harness.KEY}")]
            await client.send("GET", "/v/1", headers)
            await wait_until(lambda: daemon.upstream.requests)
        await wait_until(lambda: daemon.upstream.cancelled)
        # The slot stays taken for the second in which the upstream may still process
        # the request.
        assert daemon.entry.slots.ledger.in_use == 1
        await wait_until(
            lambda: daemon.entry.slots.ledger.free("u0", harness.node.clock.now()) == 8
        )
        assert daemon.entry.slots.state("u0").in_flight == 0


@harness.in_trio
async def test_caller_that_disconnects_while_waiting_for_a_slot_leaks_nothing():
    async with harness.running(slots=1) as daemon:
        release = trio.Event()

        async def hold(request):
            await release.wait()

        daemon.upstream.behave = hold
        headers = [("Authorization", f"Bearer {harness.KEY}")]
        async with daemon.connect() as first, daemon.connect() as second:
            await first.send("GET", "/v/1", headers)
            await wait_until(lambda: daemon.upstream.requests)
            await second.send("GET", "/v/2", headers)
            await wait_until(lambda: daemon.entry.slots._waiting)
            await second.stream.aclose()
            await wait_until(lambda: not daemon.entry.slots._waiting)
            release.set()
            assert (await first.receive()).status == 200
        assert daemon.entry.slots.ledger.free("u0", harness.node.clock.now()) == 1


@harness.in_trio
async def test_operation_continues_after_its_caller_has_disconnected():
    async with harness.running() as daemon:
        release = trio.Event()

        async def hold(request):
            await release.wait()

        daemon.upstream.behave = hold
        identity = harness.new_identity()
        headers = claim_headers(identity, Authorization=f"Bearer {harness.KEY}")
        async with daemon.connect() as client:
            await client.send("POST", "/c/1", headers, b"x")
            await wait_until(lambda: daemon.upstream.requests)
        await trio.sleep(0.05)
        release.set()
        await wait_until(lambda: not daemon.entry.operations.active)
        again = await daemon.ask("POST", "/c/1", claim_headers(identity), b"x")
        assert again.status == 200
        assert len(daemon.upstream.requests) == 1
        assert not daemon.upstream.cancelled


@harness.in_trio
async def test_operations_are_rejected_and_views_served_while_the_store_is_down():
    async with harness.running() as daemon:
        await harness.set_platform(daemon, mode="down")
        answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
        assert (answer.kind, answer.ran) == ("platform_unavailable", "no")
        assert not daemon.upstream.requests
        assert (await daemon.ask("GET", "/v/1")).status == 200


@harness.in_trio
async def test_record_is_read_back_when_the_store_response_is_lost():
    async with harness.running() as daemon:
        real, lost = daemon.entry.commits._platform.commit, []

        async def lose_claim(writes, **kwargs):
            revisions = await real(writes, **kwargs)
            if not lost and writes[0].table == "operations":
                lost.append(writes)
                raise harness.platform_error.PlatformError("lost", True)
            return revisions

        daemon.entry.commits._platform = harness.Commits(lose_claim)
        answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
        assert answer.status == 200
        assert len(daemon.upstream.requests) == 1 and lost


@harness.in_trio
async def test_slow_store_does_not_keep_a_slot_from_other_routes():
    async with harness.running(slots=1) as daemon:
        await harness.set_platform(daemon, mode="slow", delay=0.8)
        answers = []

        async def ask():
            answers.append(await daemon.ask("POST", "/c/1", claim_headers(), b"x"))

        daemon.nursery.start_soon(ask)
        await wait_until(lambda: daemon.entry.operations.active)
        await trio.sleep(0.3)
        assert (await daemon.ask("GET", "/v/1")).status == 200
        await wait_until(lambda: answers)
        assert answers[0].status == 200


@harness.in_trio
async def test_operation_without_capacity_writes_nothing():
    async with harness.running(slots=1) as daemon:

        async def hang(request):
            await trio.sleep_forever()

        daemon.upstream.behave = hang
        async with daemon.connect() as client:
            headers = [("Authorization", f"Bearer {harness.KEY}")]
            await client.send("GET", "/v/1", headers)
            await wait_until(lambda: daemon.upstream.requests)
            before = daemon.entry.commits.transactions
            answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
            assert (answer.kind, answer.ran) == ("no_capacity", "no")
            assert daemon.entry.commits.transactions == before


@harness.in_trio
async def test_service_removed_during_a_write_ends_no_other_request():
    # Guards against a KeyError in one operation that ended the whole daemon.
    async with harness.running() as daemon:
        real = daemon.entry.commits._platform.commit

        async def slow(writes, **kwargs):
            await trio.sleep(0.4)
            return await real(writes, **kwargs)

        daemon.entry.commits._platform = harness.Commits(slow)
        answers = []

        async def ask():
            answers.append(await daemon.ask("POST", "/c/1", claim_headers(), b"x"))

        daemon.nursery.start_soon(ask)
        await wait_until(lambda: daemon.entry.operations.active)
        kept = harness.rules(daemon.ports).splitlines()
        await daemon.apply(
            "\n".join(
                line
                for line in kept
                if line.split()[0] not in ("service", "route", "upstream")
            )
            + "\n"
        )
        await wait_until(lambda: answers)
        assert (answers[0].kind, answers[0].ran) == ("route_unknown", "no")
        assert (await daemon.ask("GET", "/.rattanlug/health")).status == 200


@harness.in_trio
async def test_unexpected_fault_gets_a_response_and_is_counted():
    async with harness.running() as daemon:

        def fail(*args, **kwargs):
            raise ZeroDivisionError

        daemon.entry.versions.choose = fail
        for method, headers in (("GET", ()), ("POST", claim_headers())):
            path = "/v/1" if method == "GET" else "/c/1"
            answer = await daemon.ask(method, path, headers)
            assert (answer.status, answer.ran) == (502, "unknown")
        assert daemon.entry.counters.value("internal_errors") == 2


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (http_server.Response(200, (), b"0123456789", "short"), "answer_broken"),
        (http_server.Response(200, (("Request-Id", "other"),), b"x"), "answer_broken"),
        (http_server.Response(200, (), bytes(9 << 20)), "answer_too_large"),
    ],
)
def test_broken_response_is_not_forwarded(response, kind):
    @harness.in_trio
    async def main():
        async with harness.running() as daemon:

            async def behave(request):
                return response

            daemon.upstream.behave = behave
            answer = await daemon.ask("POST", "/c/1", claim_headers(), b"x")
            assert answer.kind == kind
            daemon.upstream.behave = None
            assert (await daemon.ask("GET", "/v/1")).body == b"own answer to /v/1"

    main()


@harness.in_trio
async def test_second_response_on_a_reused_connection_reaches_no_other_request():
    async with harness.running() as daemon:

        async def duplicate(request):
            return http_server.Response(200, (), b"mine", "duplicate")

        daemon.upstream.behave = duplicate
        assert (await daemon.ask("GET", "/v/1")).body == b"mine"
        daemon.upstream.behave = None
        for n in range(3):
            answer = await daemon.ask("GET", f"/v/{n}")
            assert answer.status == 502 or answer.body == b"own answer to /v/%d" % n


@harness.in_trio
async def test_upstream_that_becomes_leaving_gets_no_waiting_request():
    async with harness.running(slots=1) as daemon:
        await harness.set_platform(daemon, mode="slow", delay=0.1)
        answers = []

        async def ask():
            answers.append(await daemon.ask("POST", "/c/1", claim_headers(), b"x"))

        daemon.nursery.start_soon(ask)
        await wait_until(lambda: daemon.entry.operations.active)
        state = daemon.entry.slots.state("u0")
        source = harness.upstream_state.LeavingSource.RULE
        state.set_leaving(source, True, harness.node.clock.now() - 5)
        await wait_until(lambda: answers)
        assert (answers[0].kind, answers[0].ran) == ("no_capacity", "no")
        assert not daemon.upstream.requests
        assert not daemon.violations()


@harness.in_trio
async def test_slots_of_a_lapsed_seat_are_not_used_before_the_next_round():
    # Guards against a process that resumes after a pause and uses slots that another VM
    # holds by now.
    async with harness.running() as daemon:
        daemon.entry.seats.usable_seats = lambda now: ()
        answer = await daemon.ask("GET", "/v/1")
        assert (answer.kind, answer.ran) == ("no_capacity", "no")


@harness.in_trio
async def test_planned_stop_finishes_requests_and_releases_the_seat():
    async with harness.running(leave_seconds=0.2) as daemon:

        async def slow(request):
            await trio.sleep(0.6)

        daemon.upstream.behave = slow
        answers = collections.deque()

        async def ask(method, path):
            answers.append(await daemon.ask(method, path, claim_headers(), b"x"))

        async with daemon.connect() as idle:
            assert (await idle.ask("GET", "/.rattanlug/health", key=None)).status == 200
            daemon.nursery.start_soon(ask, "GET", "/v/1")
            daemon.nursery.start_soon(ask, "POST", "/c/1")
            await wait_until(lambda: len(daemon.upstream.requests) == 2)
            daemon.stop.set()
            await trio.sleep(0.05)
            found = await daemon.ask("GET", "/.rattanlug/lookup?client=10.0.0.1")
            assert (found.status, found.kind) == (503, "starting")
            assert found.headers["connection"] == "close"
            await trio.sleep(0.2)
            late = await daemon.ask("GET", "/v/2")
            assert (late.kind, late.ran) == ("leaving", "no")
            await wait_until(daemon.finished.is_set, 5.0)
            assert await idle.receive() is None
        assert [item.status for item in answers] == [200, 200]
        assert not daemon.violations()
        assert not daemon.entry.seats.seats
