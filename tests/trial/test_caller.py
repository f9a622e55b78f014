"""Tests of the caller process."""

import functools
import json
import random
import uuid

import httpcore
import pytest
import trio

from trial import clock, deployment, http_server, load_mix
from trial.caller import caller, identity, load, response_check, settings
from trial.upstream import body

HOST = "127.0.0.1"


def _settings(vms, kind="view", **values):
    method = "POST" if kind == "once" else "GET"
    default = settings.CallerSettings(
        1,
        clock.now(),
        0.05,
        60.0,
        1.0,
        {"here": HOST},
        {},
        [settings.CallerKey("urdina/main", "urdina", "key", 1.0)],
        [settings.CallerRoute("r", method, "/r", kind, 1.0)],
        vms,
    )
    return default._replace(**values)


def _complete_response(request):
    request_id = request.header("request-id")
    content = body.build_body(
        {
            "request_id": request_id,
            "identity": request.header("idempotency-key") or "",
            "method": request.method,
            "target": f"{request.path}?{request.query}",
            "body_digest": response_check.hashlib.sha256(request.body).hexdigest(),
        },
        100,
    )
    return http_server.Response(200, (("Request-Id", request_id),), content)


def _reject(kind, ran):
    data = {"kind": kind, "detail": "", "ran": ran}
    response = http_server.json_response(data, 503)
    return response._replace(headers=(("Rattanlug-Ran", ran),))


def _run(handlers, kind="view"):
    """Send a short load to VMs with these handlers; return the first outcome.

    A handler of None is a VM that refuses connections.
    """
    received = []

    async def main():
        async with trio.open_nursery() as nursery:
            vms = []

            async def serve(index, request):
                if request.path.startswith("/.rattanlug/lookup"):
                    listed = [{"vm": v.vm, "host": v.host, "port": v.port} for v in vms]
                    return http_server.json_response({"vms": listed})
                received.append(request)
                return handlers[index](request)

            for index, handler in enumerate(handlers):
                if handler is None:
                    listeners = await trio.open_tcp_listeners(0, host=HOST)
                    port = listeners[0].socket.getsockname()[1]
                    await listeners[0].aclose()
                else:
                    listeners = await nursery.start(
                        http_server.serve, HOST, 0, functools.partial(serve, index)
                    )
                    port = listeners[0].socket.getsockname()[1]
                vms.append(settings.CallerVm(f"vm{index}", "here", HOST, port))
            report = await caller.Caller(_settings(vms, kind)).run()
            nursery.cancel_scope.cancel()
        return report

    report = trio.run(main)
    return report.outcomes[0], received


def test_refused_connection_is_retried_at_the_next_vm():
    """Guards against counting a stopped VM as a failed request."""
    outcome, _ = _run([None, _complete_response])
    assert outcome.result == "ok"
    assert [each.kind for each in outcome.attempts] == ["refused_connection", ""]


def test_unexecuted_request_is_retried_unless_rate_limited():
    """Guards against a caller that evades its rate limit by retrying."""
    outcome, _ = _run([lambda _: _reject("leaving", "no"), _complete_response])
    assert outcome.result == "ok"
    outcome, _ = _run([lambda _: _reject("rate_limited", "no"), _complete_response])
    assert (outcome.result, len(outcome.attempts)) == ("rate_limited", 1)


def test_operation_is_retried_with_the_same_identity():
    """Guards against a caller that causes duplicate executions itself."""
    cut = http_server.Response(200, (), b"x" * 10, "short")
    outcome, received = _run([lambda _: cut, _complete_response], "once")
    own = [r for r in received if r.header("idempotency-key") == outcome.identity]
    assert outcome.result == "ok"
    assert [each.kind for each in outcome.attempts] == ["cut", ""]
    assert len({each.header("request-id") for each in own}) == len(own) == 2


@pytest.mark.parametrize(
    "damage",
    [
        lambda r: r._replace(body=r.body[:-70] + r.body[-69:]),
        lambda r: r._replace(headers=(("Request-Id", "another"),)),
        lambda r: r._replace(body=body.build_body({"request_id": "another"}, 10)),
        lambda r: r._replace(body=b""),
    ],
)
def test_wrong_responses_are_detected(damage):
    """Guards against a truncated or misrouted response that counts as a success."""
    outcome, _ = _run([lambda request: damage(_complete_response(request))])
    assert outcome.result == "wrong_answer"


def test_recorded_response_of_an_earlier_attempt_is_accepted():
    """Guards against treating a replayed response as a misrouted one."""
    sent = response_check.SentRequest("GET", "/r?", b"", {"first", "second"}, "op")
    fields = {"request_id": "first", "identity": "op", "method": "GET"}
    fields |= {
        "target": "/r?",
        "body_digest": response_check.hashlib.sha256(b"").hexdigest(),
    }
    response = httpcore.Response(
        200, headers=[("Request-Id", "first")], content=body.build_body(fields, 10)
    )
    response.read()
    assert response_check.check_response(sent, response).fault == ""


def test_response_whose_header_and_body_disagree_is_wrong():
    """Guards against trusting one of two contradictory execution states."""
    sent = response_check.SentRequest("GET", "/r?", b"", {"first"}, "")
    content = json.dumps({"kind": "leaving", "detail": "", "ran": "no"}).encode()
    response = httpcore.Response(
        503, headers=[("Rattanlug-Ran", "yes")], content=content
    )
    response.read()
    assert response_check.check_response(sent, response).fault


def test_identity_is_a_current_uuid7():
    """Guards against identities that a daemon rejects as expired."""
    made = uuid.UUID(identity.new_identity(1_700_000_000.123, random.Random(1)))
    assert (made.version, made.variant) == (7, uuid.RFC_4122)
    assert made.int >> 80 == 1_700_000_000_123


def test_load_is_the_same_for_the_same_seed():
    """Guards against trials that cannot be reproduced."""
    plan = deployment.DEPLOYMENTS["nool"]
    places = deployment.assign_places(plan, 10, True)
    names = {f"{each.name}/main": each.name for each in plan.organisations}
    names[f"{plan.organisations[0].name}/old"] = "old"

    def build(seed):
        return load.plan_load(
            load_mix.build_settings(
                plan, places, names, seed=seed, start=0.0, seconds=20.0, rate=60.0
            )
        )

    assert build(1) == build(1) != build(2)
    assert 1000 < len(build(1)) < 1400
    kinds = {each.route.kind for each in build(1)}
    assert kinds == {"view", "once", "open"}
