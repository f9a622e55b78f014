"""Tests of the handling of requests by the gateway daemon."""

import contextlib
import logging
import socket
import time

import pytest
import trio

from tests.gateway import caller
from trial.shared_platform import fleet

pytestmark = pytest.mark.usefixtures("no_overload")


@contextlib.asynccontextmanager
async def open_vm(*upstreams):
    async with fleet.open_fleet() as deployment:
        for name in upstreams or ("u1", "u2"):
            await deployment.add_upstream(name)
        yield deployment, await deployment.add_vm()


@caller.in_trio
async def test_an_upstream_receives_the_organisation_and_not_the_key():
    async with open_vm() as (deployment, vm):
        request_id, response = await caller.send(
            vm, "/view/x?y=1", Rattanlug_Tenant="forged"
        )
        assert response.status == 200
        assert response.body.endswith(request_id.encode())
        assert response.headers["rattanlug-server-stamp"].endswith(request_id)
        (execution,) = caller.executions(deployment, request_id)
        assert execution.organisation == fleet.ORGANISATION
        assert fleet.KEY not in str(execution.headers)
        assert 0 < int(execution.headers["rattanlug-deadline-ms"]) <= 1000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/view/x", "unknown", 401),
        ("/view/x", None, 401),
        ("/none/x", fleet.KEY, 404),
        ("/open/x", None, 200),
    ],
)
@caller.in_trio
async def test_key_and_route_decide_whether_a_request_is_served(path, key, status):
    async with open_vm() as (deployment, vm):
        request_id, response = await caller.send(vm, path, key=key)
        assert response.status == status
        found = caller.executions(deployment, request_id)
        assert len(found) == (status == 200)
        if found:
            assert found[0].organisation is None


@caller.in_trio
async def test_a_withdrawn_key_is_rejected_and_older_versions_are_ignored():
    async with open_vm() as (deployment, vm):
        _, response = await caller.send(vm, "/view/x")
        assert response.status == 200
        deployment.store.put("op", "config", fleet.desired_state(5, tenants=[
            {"name": "other", "api_keys": ["key-2"], "rate_per_s": 0, "burst": 0}
        ]))  # fmt: skip
        await trio.sleep(0.2)
        assert (await caller.send(vm, "/view/x"))[1].status == 401
        deployment.store.put("op", "config", fleet.desired_state(4))
        await trio.sleep(0.2)
        assert (await caller.send(vm, "/view/x"))[1].status == 401
        assert vm.node.desired.version == 5


@caller.in_trio
async def test_keys_are_rejected_when_the_store_has_been_silent_too_long():
    async with open_vm() as (deployment, vm):
        deployment.store.silent = True
        request_id, response = await caller.send(vm, "/view/x")
        assert response.status == 200
        await trio.sleep(vm.node.settings.bounds.key_withdrawal)
        request_id, response = await caller.send(vm, "/view/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert caller.executions(deployment, request_id) == []
        assert (await caller.send(vm, "/open/x", key=None))[1].status == 200


@caller.in_trio
async def test_a_request_to_a_reassigned_address_runs_elsewhere():
    async with open_vm("u1", "u2") as (deployment, vm):
        deployment.upstreams["u1"].name = "taken-over"
        for _ in range(6):
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
            assert response.status == 200
            assert len(caller.executions(deployment, request_id)) == 1


@caller.in_trio
async def test_a_request_that_was_shed_runs_elsewhere():
    async with open_vm("u1", "u2") as (deployment, vm):
        deployment.upstreams["u1"].shed = True
        for _ in range(6):
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
            assert response.status == 200, response.body
            assert len(caller.executions(deployment, request_id)) == 1


# Guards against a rejection, while another upstream is idle, of a request whose first
# choice became cold before the first byte was sent.
@caller.in_trio
async def test_a_request_held_back_from_a_cold_upstream_runs_elsewhere():
    async with open_vm("u1", "u2") as (deployment, vm):
        allows = vm.node.placer.may_send

        def hold_back_from_u1(record, begun_at, now):
            return record.id != "u1" and allows(record, begun_at, now)

        vm.node.placer.may_send = hold_back_from_u1
        for _ in range(6):
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
            assert response.status == 200, response.body
            runs = caller.executions(deployment, request_id)
            assert [each.upstream for each in runs] == ["u2"]


# Guards against an upstream that counts as silent while it runs a request that takes
# long.
@caller.in_trio
async def test_a_request_in_progress_counts_with_the_service_time_of_its_route():
    async with open_vm("u1") as (deployment, vm):
        began, begin = [], vm.node.placer.begin

        def record_begin(record, object_id, now, expected_seconds):
            began.append(expected_seconds)
            return begin(record, object_id, now, expected_seconds)

        vm.node.placer.begin = record_begin
        route = next(
            each for each in vm.node.desired.state.routes if each.name == "view"
        )
        expected = vm.node.placer.times("view", route.target_latency, route.affinity)
        seconds = expected.cold
        _, response = await caller.send(vm, "/view/x")
        assert response.status == 200
        assert began == [seconds]


# Guards against an internal error, whose answer leaves open whether the request ran,
# when an organisation is removed while an upstream sheds one of its requests.
@caller.in_trio
async def test_a_shed_request_of_a_removed_organisation_is_rejected_as_not_run():
    async with open_vm("u1") as (deployment, vm):
        upstream = deployment.upstreams["u1"]
        upstream.shed, upstream.shed_seconds = True, 0.4
        responses = []

        async def claim():
            responses.append((await caller.send(vm, "/claim/x", "POST", b"body"))[1])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim)
            while not vm.requests_in_flight:
                await trio.sleep(0.01)
            deployment.store.put("op", "config", fleet.desired_state(5, tenants=[
                {"name": "other", "api_keys": ["key-2"], "rate_per_s": 0, "burst": 0}
            ]))  # fmt: skip
        assert vm.node.desired.version == 5
        assert responses[0].status == 503, responses[0].body
        assert not vm.node.counters.value("internal_errors")


@caller.in_trio
async def test_only_requests_that_did_not_run_are_reported_as_not_run():
    async with open_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].shed = True
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 503
        assert caller.executions(deployment, request_id) == []
        deployment.upstreams["u1"].shed = False
        deployment.upstreams["u1"].fault = "short"
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 502
        assert len(caller.executions(deployment, request_id)) == 1


@caller.in_trio
async def test_only_idempotent_requests_are_retried_after_a_broken_response():
    async with open_vm("u1", "u2") as (deployment, vm):
        for each in deployment.upstreams.values():
            each.fault = "close"
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 502
        assert len(caller.executions(deployment, request_id)) == 1
        request_id, response = await caller.send(vm, "/view/x")
        assert response.status == 502
        assert len(caller.executions(deployment, request_id)) == 2


@caller.in_trio
async def test_a_stray_response_never_reaches_another_caller():
    async with open_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].fault = "stray"
        for _ in range(20):
            request_id, response = await caller.send(vm, "/view/x")
            assert response.status == 200
            assert response.body.endswith(request_id.encode())


@caller.in_trio
async def test_a_request_is_answered_when_its_route_s_timeout_expires():
    async with open_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].silent = True
        began = trio.current_time()
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 504
        assert trio.current_time() - began < 1.25
        assert len(caller.executions(deployment, request_id)) == 1


@caller.in_trio
async def test_draining_upstreams_and_evacuated_data_centres_receive_no_requests():
    async with open_vm("u1", "u2", "u3") as (deployment, vm):
        deployment.register("u1", sequence=2, state="draining")
        deployment.register("u2", sequence=2, data_centre="north-b")
        await trio.sleep(1.3)

        async def upstream_names():
            found = set()
            for index in range(10):
                cookie = f"Rattanlug-Affinity-Key={index}"
                _, response = await caller.send(vm, "/view/x", Cookie=cookie)
                # On failure, the whole body shows the reason.
                found.add(
                    response.body[:2] if response.status == 200 else response.body
                )
            return found

        assert await upstream_names() <= {b"u2", b"u3"}
        for data_centre, remaining in (("north-a", b"u2"), ("north-b", b"u3")):
            deployment.store.put("op", f"evacuate/{data_centre}", {})
            await trio.sleep(0.3)
            assert await upstream_names() == {remaining}
            deployment.store.remove("op", f"evacuate/{data_centre}")
            await trio.sleep(0.3)


@caller.in_trio
async def test_unreadable_rows_are_ignored_and_the_others_apply():
    async with open_vm("u1") as (deployment, vm):
        deployment.store.put("servers", "junk-1", b"\xff\x00")
        deployment.store.put("servers", "junk-2", {"info": [], "status": 3})
        deployment.store.put("op", "rollout/x", b"not json")
        deployment.store.put("op", "unknown", {"a": 1})
        await trio.sleep(1.2)
        assert vm.node.registry.size == 1
        assert (await caller.send(vm, "/view/x"))[1].status == 200


@caller.in_trio
async def test_an_unreadable_desired_state_is_ignored():
    async with open_vm("u1") as (deployment, vm):
        bad = fleet.desired_state(7)
        del bad["services"][0]["name"]
        deployment.store.put("op", "config", bad)
        await trio.sleep(0.3)
        assert (await caller.send(vm, "/view/x"))[1].status == 200
        deployment.store.put("op", "config", fleet.desired_state(9))
        await trio.sleep(0.3)
        assert vm.node.desired.version == 9


@caller.in_trio
async def test_a_dropped_history_leads_to_a_read_of_the_whole_table():
    async with open_vm("u1") as (deployment, vm):
        deployment.store.drop_history()
        deployment.store.put("op", "config", fleet.desired_state(9))
        await trio.sleep(0.3)
        assert vm.node.desired.version == 9


@caller.in_trio
async def test_only_idempotent_requests_end_when_their_caller_disconnects():
    async with open_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].silent = True
        for path, method, expected in (("/view/x", "GET", 0), ("/claim/x", "POST", 1)):
            with trio.move_on_after(0.2):
                await caller.send(vm, path, method)
            await trio.sleep(0.1)
            assert vm.requests_in_flight == expected


@caller.in_trio
async def test_rejected_requests_leave_the_connection_usable():
    async with open_vm("u1") as (_, vm):
        local = vm.node.settings.callers
        stream = await trio.open_tcp_stream(local.host, local.port)
        head = (
            f"GET /view/x HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
            "Rattanlug-Request-Id: r\r\nAuthorization: Token "
        )
        statuses = []
        for key in ("bad", fleet.KEY, "bad", "bad", fleet.KEY):
            await stream.send_all(f"{head}{key}\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data:
                data += await stream.receive_some(4096)
            statuses.append(data[9:12])
        assert statuses == [b"401", b"200", b"401", b"401", b"200"]


@caller.in_trio
async def test_an_organisation_over_its_rate_receives_a_retry_delay():
    async with open_vm("u1") as (deployment, vm):
        deployment.store.put("op", "config", fleet.desired_state(3, tenants=[
            {"name": "o", "api_keys": [fleet.KEY], "rate_per_s": 1, "burst": 1}
        ]))  # fmt: skip
        await trio.sleep(0.2)
        responses = [(await caller.send(vm, "/view/x"))[1] for _ in range(40)]
        rejected = [each for each in responses if each.status == 429]
        assert rejected
        assert all(float(each.headers["retry-after"]) > 0 for each in rejected)
        # Rate times the window of 5 s plus the burst, with the overage and the slack.
        bound = (1 * 5 + 1) * 1.1 + 20
        assert len(responses) - len(rejected) <= bound


@caller.in_trio
async def test_a_refused_connection_counts_as_not_run():
    async with open_vm("u1") as (deployment, vm):
        deployment.register("u1", address="127.0.0.1:1", sequence=2)
        await trio.sleep(1.2)
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
        assert response.status == 503
        assert caller.executions(deployment, request_id) == []


@caller.in_trio
async def test_a_connect_timeout_counts_as_not_run():
    with contextlib.ExitStack() as stack:
        # A full accept queue drops the SYN packets of further connections.
        full = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        async with open_vm("u1") as (deployment, vm):
            port = full.getsockname()[1]
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.2)
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"body")
            assert response.status == 503
            assert caller.executions(deployment, request_id) == []


@caller.in_trio
async def test_time_in_the_queues_of_a_busy_vm_counts_against_the_deadline():
    async with open_vm("u1") as (deployment, vm):
        local = vm.node.settings.callers
        with socket.create_connection((local.host, local.port)) as connection:
            connection.sendall(caller.encode("/view/x", "late", milliseconds=150))
            time.sleep(0.2)
            await trio.sleep(0.3)
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        assert caller.executions(deployment, "late") == []


@pytest.mark.parametrize(
    ("path", "key", "organisation"),
    [
        ("/view/x", fleet.KEY, fleet.ORGANISATION),
        ("/view/x", "unknown", None),
        ("/open/x", None, None),
    ],
)
@caller.in_trio
async def test_the_log_line_of_a_request_has_its_organisation(
    path, key, organisation, caplog
):
    caplog.set_level(logging.INFO, "rattanlug.decision")
    async with open_vm("u1") as (_, vm):
        request_id, _ = await caller.send(vm, path, key=key)
    (line,) = [
        each.decision
        for each in caplog.records
        if getattr(each, "decision", {}).get("id") == request_id
    ]
    assert line["organisation"] == organisation


# Guards against a request that is answered as not executed because of stray bytes of
# its upstream, and is executed there.
@caller.in_trio
async def test_a_stray_rejection_does_not_stand_for_the_response():
    async with open_vm("u1") as (deployment, vm):
        assert (await caller.send(vm, "/claim/x", "POST", b"b"))[1].status == 200
        deployment.upstreams["u1"].stray_bytes = (
            b"HTTP/1.1 503 Service Unavailable\r\nRattanlug-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        for _ in range(3):
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"b")
            assert len(caller.executions(deployment, request_id)) == 1
            assert response.status == 200


# Guards against a refusal that is cut inside its head and continues with the head of
# the response to a request that ran.
@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 503 Serv",
        b"HTTP/1.1 429 Too Many Requests\r\nRattanlug-Not-Executed: ",
        b"HTTP/1.1 503 X\r\nRattanlug-Not-Executed: 1\r\nRattanlug-Backend-Id: u",
        b"HTTP/1.1 503 X\r\nRattanlug-Not-Executed: 1\r\n\n",
    ],
)
@caller.in_trio
async def test_a_cut_refusal_does_not_refuse_a_request_that_ran(cut):
    async with open_vm("u1", "u2") as (deployment, vm):
        for each in deployment.upstreams.values():
            each.stray_bytes = cut
        for _ in range(4):
            request_id, response = await caller.send(vm, "/claim/x", "POST", b"b")
            assert len(caller.executions(deployment, request_id)) == 1
            assert response.status == 502


# Guards against an upstream's own failure that promises the caller that a request that
# may run once did not run.
@pytest.mark.parametrize("status", [408, 421, 429, 503])
@caller.in_trio
async def test_a_status_of_a_request_that_ran_is_no_promise_to_its_caller(status):
    async with open_vm("u1", "u2") as (deployment, vm):
        for each in deployment.upstreams.values():
            each.status = status
        request_id, response = await caller.send(vm, "/claim/x", "POST", b"b")
        assert len(caller.executions(deployment, request_id)) == 1
        assert response.status == 502
        assert "rattanlug-server-stamp" not in response.headers
        request_id, response = await caller.send(vm, "/view/x")
        assert response.status == status
        assert response.headers["rattanlug-server-stamp"].endswith(request_id)
