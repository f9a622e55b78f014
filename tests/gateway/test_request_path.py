"""Tests of the way of a request through the entry daemon."""

import contextlib
import logging
import socket
import time

import pytest
import trio

from rattanlug.gateway import node as node_module
from tests.gateway import caller
from trial.shared_platform import fleet


@pytest.fixture
def idle_vm(monkeypatch):
    """Keep the load of the machine that runs a test from deciding its answers."""
    monkeypatch.setattr(node_module.Node, "behind", lambda self, arrived_at, now: 0.0)


@contextlib.asynccontextmanager
async def one_vm(*upstreams):
    async with fleet.open_fleet() as deployment:
        for name in upstreams or ("u1", "u2"):
            await deployment.add_upstream(name)
        yield deployment, await deployment.add_vm()


@caller.in_trio
async def test_an_upstream_learns_the_organisation_and_not_the_key():
    async with one_vm() as (deployment, vm):
        request_id, answer = await caller.send(
            vm, "/view/x?y=1", Rattanlug_Tenant="forged"
        )
        assert answer.status == 200
        assert answer.body.endswith(request_id.encode())
        assert answer.headers["rattanlug-server-stamp"].endswith(request_id)
        (run,) = caller.runs(deployment, request_id)
        assert run.organisation == fleet.ORGANISATION
        assert fleet.KEY not in str(run.headers)
        assert 0 < int(run.headers["rattanlug-deadline-ms"]) <= 1000


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
async def test_keys_and_routes_decide_who_is_served(path, key, status):
    async with one_vm() as (deployment, vm):
        request_id, answer = await caller.send(vm, path, key=key)
        assert answer.status == status
        found = caller.runs(deployment, request_id)
        assert len(found) == (status == 200)
        if found:
            assert found[0].organisation is None


@caller.in_trio
async def test_a_withdrawn_key_stops_and_versions_do_not_go_back():
    async with one_vm() as (deployment, vm):
        _, answer = await caller.send(vm, "/view/x")
        assert answer.status == 200
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
async def test_keys_are_refused_when_the_store_has_been_silent_too_long():
    async with one_vm() as (deployment, vm):
        deployment.store.silent = True
        request_id, answer = await caller.send(vm, "/view/x")
        assert answer.status == 200
        await trio.sleep(vm.node.settings.bounds.key_withdrawal)
        request_id, answer = await caller.send(vm, "/view/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert caller.runs(deployment, request_id) == []
        assert (await caller.send(vm, "/open/x", key=None))[1].status == 200


@caller.in_trio
async def test_an_address_that_was_taken_over_does_not_run_the_request():
    async with one_vm("u1", "u2") as (deployment, vm):
        deployment.upstreams["u1"].name = "taken-over"
        for _ in range(6):
            request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
            assert answer.status == 200
            assert len(caller.runs(deployment, request_id)) == 1


@pytest.mark.usefixtures("idle_vm")
@caller.in_trio
async def test_a_request_that_was_shed_runs_elsewhere():
    async with one_vm("u1", "u2") as (deployment, vm):
        deployment.upstreams["u1"].shed = True
        for _ in range(6):
            request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
            assert answer.status == 200, answer.body
            assert len(caller.runs(deployment, request_id)) == 1


@caller.in_trio
async def test_not_run_is_said_only_of_requests_that_did_not_run():
    async with one_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].shed = True
        request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 503
        assert caller.runs(deployment, request_id) == []
        deployment.upstreams["u1"].shed = False
        deployment.upstreams["u1"].fault = "short"
        request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 502
        assert len(caller.runs(deployment, request_id)) == 1


@caller.in_trio
async def test_only_what_may_repeat_is_sent_again_after_a_broken_answer():
    async with one_vm("u1", "u2") as (deployment, vm):
        for each in deployment.upstreams.values():
            each.fault = "close"
        request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 502
        assert len(caller.runs(deployment, request_id)) == 1
        request_id, answer = await caller.send(vm, "/view/x")
        assert answer.status == 502
        assert len(caller.runs(deployment, request_id)) == 2


@caller.in_trio
async def test_a_second_answer_never_reaches_another_caller():
    async with one_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].fault = "stray"
        for _ in range(20):
            request_id, answer = await caller.send(vm, "/view/x")
            assert answer.status == 200
            assert answer.body.endswith(request_id.encode())


@caller.in_trio
async def test_a_request_is_answered_when_its_route_s_time_is_over():
    async with one_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].silent = True
        began = trio.current_time()
        request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 504
        assert trio.current_time() - began < 1.25
        assert len(caller.runs(deployment, request_id)) == 1


@pytest.mark.usefixtures("idle_vm")
@caller.in_trio
async def test_a_leaving_upstream_and_an_evacuated_data_centre_get_nothing():
    async with one_vm("u1", "u2", "u3") as (deployment, vm):
        deployment.register("u1", sequence=2, state="draining")
        deployment.register("u2", sequence=2, data_centre="north-b")
        await trio.sleep(1.3)

        async def names():
            found = set()
            for index in range(10):
                cookie = f"Rattanlug-Affinity-Key={index}"
                _, answer = await caller.send(vm, "/view/x", Cookie=cookie)
                # The whole body of a refusal tells its reason.
                found.add(answer.body[:2] if answer.status == 200 else answer.body)
            return found

        assert await names() <= {b"u2", b"u3"}
        for data_centre, left in (("north-a", b"u2"), ("north-b", b"u3")):
            deployment.store.put("op", f"evacuate/{data_centre}", {})
            await trio.sleep(0.3)
            assert await names() == {left}
            deployment.store.remove("op", f"evacuate/{data_centre}")
            await trio.sleep(0.3)


@caller.in_trio
async def test_rows_of_other_writers_name_nothing_and_the_rest_holds():
    async with one_vm("u1") as (deployment, vm):
        deployment.store.put("servers", "junk-1", b"\xff\x00")
        deployment.store.put("servers", "junk-2", {"info": [], "status": 3})
        deployment.store.put("op", "rollout/x", b"not json")
        deployment.store.put("op", "unknown", {"a": 1})
        await trio.sleep(1.2)
        assert vm.node.registry.size == 1
        assert (await caller.send(vm, "/view/x"))[1].status == 200


@caller.in_trio
async def test_a_desired_state_that_cannot_be_read_ends_no_process():
    async with one_vm("u1") as (deployment, vm):
        bad = fleet.desired_state(7)
        del bad["services"][0]["name"]
        deployment.store.put("op", "config", bad)
        await trio.sleep(0.3)
        assert (await caller.send(vm, "/view/x"))[1].status == 200
        deployment.store.put("op", "config", fleet.desired_state(9))
        await trio.sleep(0.3)
        assert vm.node.desired.version == 9


@caller.in_trio
async def test_a_dropped_history_is_made_up_by_reading_everything():
    async with one_vm("u1") as (deployment, vm):
        deployment.store.drop_history()
        deployment.store.put("op", "config", fleet.desired_state(9))
        await trio.sleep(0.3)
        assert vm.node.desired.version == 9


@caller.in_trio
async def test_a_request_of_an_idempotent_route_ends_when_its_caller_leaves():
    async with one_vm("u1") as (deployment, vm):
        deployment.upstreams["u1"].silent = True
        for path, method, expected in (("/view/x", "GET", 0), ("/claim/x", "POST", 1)):
            with trio.move_on_after(0.2):
                await caller.send(vm, path, method)
            await trio.sleep(0.1)
            assert vm.requests_in_flight == expected


@caller.in_trio
async def test_refused_requests_leave_the_connection_usable():
    async with one_vm("u1") as (_, vm):
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
async def test_an_organisation_over_its_rate_is_told_when_to_return():
    async with one_vm("u1") as (deployment, vm):
        deployment.store.put("op", "config", fleet.desired_state(3, tenants=[
            {"name": "o", "api_keys": [fleet.KEY], "rate_per_s": 1, "burst": 1}
        ]))  # fmt: skip
        await trio.sleep(0.2)
        answers = [(await caller.send(vm, "/view/x"))[1] for _ in range(40)]
        refused = [each for each in answers if each.status == 429]
        assert refused
        assert all(float(each.headers["retry-after"]) > 0 for each in refused)
        bound = (1 * 5 + 1) * 1.1 + 20
        assert len(answers) - len(refused) <= bound


@caller.in_trio
async def test_no_connection_to_an_upstream_counts_as_not_run():
    async with one_vm("u1") as (deployment, vm):
        deployment.register("u1", address="127.0.0.1:1", sequence=2)
        await trio.sleep(1.2)
        request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
        assert answer.status == 503
        assert caller.runs(deployment, request_id) == []


@caller.in_trio
async def test_a_connection_that_is_not_opened_in_time_counts_as_not_run():
    with contextlib.ExitStack() as stack:
        # A full queue of connections drops the opening packet of further ones.
        full = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        async with one_vm("u1") as (deployment, vm):
            port = full.getsockname()[1]
            deployment.register("u1", address=f"127.0.0.1:{port}", sequence=2)
            await trio.sleep(1.2)
            request_id, answer = await caller.send(vm, "/claim/x", "POST", b"body")
            assert answer.status == 503
            assert caller.runs(deployment, request_id) == []


@caller.in_trio
async def test_time_in_the_queues_of_a_busy_vm_counts_against_the_deadline():
    async with one_vm("u1") as (deployment, vm):
        local = vm.node.settings.callers
        with socket.create_connection((local.host, local.port)) as connection:
            connection.sendall(caller.encode("/view/x", "late", milliseconds=150))
            time.sleep(0.2)
            await trio.sleep(0.3)
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        assert caller.runs(deployment, "late") == []


@caller.in_trio
async def test_requests_that_arrive_together_beyond_the_processor_are_refused_early():
    # Load pattern: an organisation sends many times its usual to the one VM of a data
    # centre; hundreds of requests wait for the same turn of the event loop.
    async with one_vm("u1", "u2", "u3") as (deployment, vm):
        admitted = []
        admission = vm._path._admission
        admit = admission.admit

        def slow_admit(*arguments):
            admitted.append(trio.current_time())
            time.sleep(0.02)
            return admit(*arguments)

        admission.admit = slow_admit
        local = vm.node.settings.callers
        streams = [
            await trio.open_tcp_stream(local.host, local.port) for _ in range(100)
        ]
        await trio.sleep(0.1)
        for index, stream in enumerate(streams):
            data = caller.encode("/view/x", f"burst-{index}")
            # Without a turn of the event loop between one request and the next.
            assert stream.socket._sock.send(data) == len(data)
        heads = [await stream.receive_some(4096) for stream in streams]
        refused = sum(head.startswith(b"HTTP/1.1 503") for head in heads)
        # Without refusals in the same turn, all 100 are admitted over 2 s.
        assert len(admitted) <= 40
        assert refused >= 60


@caller.in_trio
async def test_a_single_stall_of_the_process_refuses_nothing():
    async with one_vm("u1") as (deployment, vm):
        admission = vm._path._admission
        refuse_early = admission.refuse_early
        lasted = []

        def stalled(*arguments):
            began = time.monotonic()
            time.sleep(0.2)
            answer = refuse_early(*arguments)
            lasted.append(time.monotonic() - began)
            return answer

        vm._callers._local_reply = stalled
        # A machine that holds the test up makes the stall a longer one.
        while not lasted or lasted[-1] > 0.23:
            _, answer = await caller.send(vm, "/view/x")
        assert answer.status == 200, answer.body


@pytest.mark.usefixtures("idle_vm")
@pytest.mark.parametrize(
    ("path", "key", "organisation"),
    [
        ("/view/x", fleet.KEY, fleet.ORGANISATION),
        ("/view/x", "unknown", None),
        ("/open/x", None, None),
    ],
)
@caller.in_trio
async def test_the_line_of_a_request_names_its_organisation(
    path, key, organisation, caplog
):
    caplog.set_level(logging.INFO, "rattanlug.decision")
    async with one_vm("u1") as (_, vm):
        request_id, _ = await caller.send(vm, path, key=key)
    (line,) = [
        each.decision
        for each in caplog.records
        if getattr(each, "decision", {}).get("id") == request_id
    ]
    assert line["organisation"] == organisation
