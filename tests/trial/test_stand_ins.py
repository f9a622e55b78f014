"""Tests of the stand-ins, such as that each configured fault occurs."""

import functools

import httpcore
import pytest
import trio

from trial import clock, http_client, http_server
from trial.platform import limits, vm_list
from trial.relay import plan, server
from trial.upstream import behaviour, body
from trial.upstream import server as upstream_server

HOST = "127.0.0.1"
IDENTITY = upstream_server.Identity("u", "s", "v1", 2, 10)
FAST = behaviour.Behaviour(service_ms=1, spread=0)


def _with_upstream(test, initial=FAST):
    async def main():
        stand_in = upstream_server.UpstreamServer(IDENTITY, initial, 1)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(http_server.serve, HOST, 0, stand_in.answer)
            port = listeners[0].socket.getsockname()[1]
            await test(functools.partial(http_client.request, HOST, port))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_response_names_its_request_and_is_recorded():
    """Guards against checks that pass because nothing was recorded."""

    async def test(request):
        headers = {"Request-Id": "r", "Idempotency-Key": "k"}
        response = await request("POST", "/claims?a=b", {"c": 1}, headers=headers)
        fields = body.check_body(response.body)
        assert (fields["request_id"], fields["identity"]) == ("r", "k")
        assert body.check_body(response.body[:-1]) is None
        assert body.check_body(response.body.replace(b"claims", b"claimz")) is None
        record = (await request("GET", "/.record")).json()
        assert record["identities"] == {"k": 1}
        assert [each[2] for each in record["executions"]] == ["r"]

    _with_upstream(test)


def test_request_above_the_slots_is_rejected_and_counted():
    """Guards against slots that are not enforced."""

    async def test(request):
        statuses = []

        async def send():
            statuses.append((await request("GET", "/x")).status)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send)
        assert sorted(statuses) == [200, 200, 503]
        record = (await request("GET", "/.record")).json()
        assert (record["most_in_flight"], record["over_slots"]) == (3, 1)

    _with_upstream(test, FAST._replace(service_ms=100))


def test_closed_connection_cancels_and_frees_the_slot():
    """Guards against slots that stay in use after the caller disconnected."""

    async def test(request):
        with pytest.raises(trio.TooSlowError):
            await request("GET", "/x", timeout=0.1)
        await trio.sleep(0.05)
        record = (await request("GET", "/.record")).json()
        assert record["outcomes"] == {"cancelled": 1}

    _with_upstream(test, FAST._replace(service_ms=5000))


def test_deadline_ends_the_work():
    """Guards against an upstream that executes a request beyond its deadline."""

    async def test(request):
        response = await request("GET", "/x", headers={"Request-Timeout": "50"})
        assert (response.status, response.headers["rattanlug-ran"]) == (504, "unknown")

    _with_upstream(test, FAST._replace(service_ms=5000))


@pytest.mark.parametrize("answer", ["short", "late", "duplicate"])
def test_configured_response_fault_occurs(answer):
    """Guards against a response fault that is configured but does not occur."""

    async def test(request):
        await request("POST", "/.control", {"answer": answer, "answer_count": 1})
        headers = {"Request-Timeout": "50"}
        if answer == "short":
            with pytest.raises(httpcore.RemoteProtocolError):
                await request("GET", "/x", headers=headers)
        else:
            began = clock.now()
            assert (await request("GET", "/x", headers=headers)).status == 200
            assert (clock.now() - began > 1) == (answer == "late")
        assert (await request("GET", "/x")).status == 200

    _with_upstream(test)


def test_duplicate_response_is_sent_twice():
    """Guards against a second response that the stand-in never sends."""

    async def test(request):
        await request("POST", "/.control", {"answer": "duplicate", "answer_count": 1})
        host, port = request.args
        stream = await trio.open_tcp_stream(host, port)
        await stream.send_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        data = b"".join([each async for each in stream])
        assert data.count(b"HTTP/1.1 200") == 2

    _with_upstream(test)


def test_fault_occurs_only_where_configured():
    """Guards against a fault that occurs on all routes or on none."""
    bad = FAST._replace(fault="errors", fault_route="/claims", fault_after_s=0.1)

    async def test(request):
        assert (await request("GET", "/claims")).status == 200
        await trio.sleep(0.12)
        assert (await request("GET", "/listings")).status == 200
        assert (await request("GET", "/claims")).status == 500

    _with_upstream(test, bad)


def test_fault_under_load_occurs_only_under_load():
    """Guards against a fault under load that occurs on a single request."""
    bad = FAST._replace(fault="errors", fault_min_in_flight=2, service_ms=50)

    async def test(request):
        assert (await request("GET", "/x")).status == 200
        statuses = []

        async def send():
            statuses.append((await request("GET", "/x")).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(send)
        assert sorted(statuses) == [200, 500]

    _with_upstream(test, bad)


def test_load_report_lags_and_draining_rejects_later(monkeypatch):
    """Guards against a load report that is fresher than a real upstream's."""
    monkeypatch.setattr(upstream_server, "DRAIN_GRACE_S", 0.2)

    async def test(request):
        await trio.sleep(0.01)
        await request("POST", "/.control", {"state": "draining"})
        assert (await request("GET", "/.load")).json()["state"] == "ready"
        assert (await request("GET", "/x")).status == 200
        await trio.sleep(upstream_server.LOAD_REPORT_LAG_S + 0.05)
        assert (await request("GET", "/.load")).json()["state"] == "draining"
        rejected = await request("GET", "/x")
        assert (rejected.status, rejected.headers["rattanlug-ran"]) == (503, "no")

    _with_upstream(test)


def test_unknown_behaviour_is_rejected():
    """Guards against a misspelt fault that silently never occurs."""
    with pytest.raises(ValueError, match="faults"):
        behaviour.update(FAST, {"faults": "errors"})
    with pytest.raises(ValueError, match="accepted"):
        behaviour.update(FAST, {"fault": "error"})


def test_limit_holds_in_any_second():
    """Guards against a limit that counts from each full second."""
    limit = limits.RateLimit(10)
    accepted = [i / 20 for i in range(60) if limit.accept(i / 20)]
    for begin in accepted:
        assert sum(begin <= each < begin + 1 for each in accepted) <= 10
    assert limit.rejected > 0


def test_vm_list_lags():
    """Guards against a VM list that is fresher than the platform's."""
    vms = vm_list.VmList(2.0)
    vms.change("a", {"state": "live"}, 0.0)
    vms.change("a", None, 5.0)
    assert vms.read(1.9) == []
    assert vms.read(6.9) == [{"vm": "a", "state": "live"}]
    assert vms.read(7.0) == []


def _with_relay(test, delay_s=0.05):
    async def answer(request):
        return http_server.Response(200)

    async def main():
        scope = trio.CancelScope()

        async def serve_target(task_status=trio.TASK_STATUS_IGNORED):
            with scope:
                await http_server.serve(HOST, 0, answer, task_status=task_status)

        async with trio.open_nursery() as nursery:
            target = await nursery.start(serve_target)
            port = target[0].socket.getsockname()[1]
            free = (await trio.open_tcp_listeners(0, host=HOST))[0]
            control = free.socket.getsockname()[1]
            await free.aclose()
            settings = plan.RelayPlan(
                HOST,
                control,
                {"127.0.1": "near", "127.0.2": "far"},
                [],
                0.0,
                {"near": 0.0, "far": delay_s},
                0.0,
                [plan.Forward("127.0.0.2", HOST, port, "here")],
            )
            nursery.start_soon(server.run_server, settings)

            async def cut(*links):
                data = {"cut": links}
                await http_client.request(HOST, control, "POST", "/.control", data)

            async def request(source, timeout=2.0):
                began = clock.now()
                await http_client.request(
                    "127.0.0.2", port, "GET", "/", source=source, timeout=timeout
                )
                return clock.now() - began

            while True:
                try:
                    await request("127.0.1.1")
                    break
                except httpcore.ConnectError:
                    await trio.sleep(0.01)
            await test(request, cut, scope.cancel)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_relay_adds_the_delay_of_the_source_data_centre():
    """Guards against a delay that ignores the source or the handshake."""

    async def test(request, cut, stop_target):
        assert await request("127.0.1.1") < 0.05
        assert 0.2 <= await request("127.0.2.1") < 0.3

    _with_relay(test)


def test_relay_cuts_only_the_given_link():
    """Guards against a partition that cuts too many links, or too few.

    A link is a pair of a source and a target data centre.
    """

    async def test(request, cut, stop_target):
        await cut(["far", "here"])
        await request("127.0.1.1")
        with pytest.raises(trio.TooSlowError):
            await request("127.0.2.1", timeout=0.4)
        await cut()
        await request("127.0.2.1")

    _with_relay(test)


def test_relay_refuses_connections_to_a_closed_target():
    """Guards against a relay that accepts and then breaks such connections."""

    async def test(request, cut, stop_target):
        stop_target()
        await trio.sleep(0.2)
        with pytest.raises(httpcore.NetworkError):
            await request("127.0.1.1")
        await trio.sleep(0.2)
        with pytest.raises(httpcore.ConnectError):
            await request("127.0.1.1")

    _with_relay(test)
