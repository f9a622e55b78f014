"""Tests of what a daemon records about requests that it breaks off."""

import logging

import pytest
import trio

from rattanlug.gateway import node as node_module
from rattanlug.gateway import process_phase, sender
from tests.gateway import caller
from trial.shared_platform import fleet

pytestmark = pytest.mark.usefixtures("no_overload")

_PHASES = process_phase.ProcessPhase


@pytest.mark.parametrize(
    ("now", "leaving", "contact", "expected"),
    [
        (100.0, False, 9.0, _PHASES.STARTING),
        (106.9, False, 9.0, _PHASES.STARTING),
        (107.0, False, 9.0, _PHASES.SERVING),
        (103.9, False, 4.0, _PHASES.STARTING),
        (104.0, False, 4.0, _PHASES.SERVING),
        (100.0, True, 4.0, _PHASES.STOPPING),
        (107.0, True, 9.0, _PHASES.STOPPING),
    ],
)
def test_a_daemon_starts_until_a_stop_before_it_is_over(
    now, leaving, contact, expected
):
    phase = process_phase.process_phase(100.0, leaving, 6.0, contact, now)
    assert phase is expected


# Guards against responses of a daemon in place of an upstream at work of which neither
# log nor counters show how early they were, and whether the VM was being stopped.
@pytest.mark.parametrize("phase", list(_PHASES))
@caller.in_trio
async def test_a_broken_off_request_is_recorded_with_its_phase(
    phase, monkeypatch, caplog
):
    caplog.set_level(logging.INFO, logger="rattanlug.decision")
    monkeypatch.setattr(node_module.Node, "phase", lambda self, now: phase)
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.silent = True
        vm = await deployment.add_vm(bounds={"grace_s": 4})
        await deployment.settle()
        async with trio.open_nursery() as nursery:
            if phase is _PHASES.STOPPING:
                nursery.start_soon(vm.stop)
            request_id, response = await caller.send(
                vm, "/claim/x", "POST", b"b", Rattanlug_Deadline_Ms="600"
            )
            nursery.cancel_scope.cancel()
        assert response.status == 504
    (line,) = [
        each.decision
        for each in caplog.records
        if each.message == "send failed" and each.decision["id"] == request_id
    ]
    assert line["phase"] == phase.value
    assert -0.5 < line["time_left"] < 0.1
    # The time is rounded.
    assert line["early"] is (line["time_left"] > 0.0) or line["time_left"] == 0.0
    assert 0.5 < line["uptime"] < 10.0
    counted = _count_broken_off(vm)
    early = str(line["early"]).lower()
    assert counted == {("deadline_exceeded", early, phase.value): 1}


# Guards against responses of a daemon in place of an upstream's that no line and no
# counter shows: of an upload that stops inside its body, of a broken response, and of
# an error of the daemon itself.
@pytest.mark.parametrize(
    ("cause", "kind", "status", "event"),
    [
        ("stopped upload", "deadline_exceeded", 504, "refused: deadline_exceeded"),
        ("large upload", "request_too_large", 413, "refused: request_too_large"),
        ("broken response", "answer_broken", 502, "refused: answer_broken"),
        ("internal error", "internal_error", 502, "internal error"),
    ],
)
@caller.in_trio
async def test_each_response_in_place_of_an_upstream_s_is_recorded(
    cause, kind, status, event, monkeypatch, caplog
):
    caplog.set_level(logging.INFO, logger="rattanlug.decision")
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        vm = await deployment.add_vm()
        await deployment.settle()
        data = caller.encode("/claim/x", "broken-off", "POST", milliseconds=600)
        if cause == "stopped upload":
            data = data[:-2] + b"Content-Length: 500000\r\n\r\n" + bytes(1000)
        elif cause == "large upload":
            body = b"%x\r\n%b\r\n" % (2 << 20, bytes(2 << 20))
            data = data[:-2] + b"Transfer-Encoding: chunked\r\n\r\n" + body
        elif cause == "broken response":
            added.fault = "close"
        else:
            monkeypatch.setattr(sender.Sender, "_reply", lambda *args: 1 / 0)
        local = vm.node.settings.callers
        async with await trio.open_tcp_stream(local.host, local.port) as stream:
            await stream.send_all(data)
            answer = await stream.receive_some(65536)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
    lines = [
        each
        for each in caplog.records
        if getattr(each, "decision", {}).get("id") == "broken-off"
    ]
    (last,) = [each.decision for each in lines if each.message == event]
    failed = [each.decision for each in lines if each.message == "send failed"]
    assert [each["kind"] for each in failed] == ([kind] if kind in event else [])
    for line in [last, *failed]:
        assert -0.5 < line["time_left"] < 0.7
        assert line["phase"] == "starting"
        assert 0.0 < line["uptime"] < 10.0
    assert _count_broken_off(vm) == {(kind, str(last["early"]).lower(), "starting"): 1}


@caller.in_trio
async def test_a_refused_request_is_not_recorded_as_broken_off():
    async with fleet.open_fleet() as deployment:
        added = await deployment.add_upstream("u1")
        added.shed = True
        vm = await deployment.add_vm()
        await deployment.settle()
        _, response = await caller.send(vm, "/claim/x", "POST", b"b")
        assert response.status == 503
    assert not _count_broken_off(vm)


def _count_broken_off(vm):
    """Return the counts of own responses by kind, whether early, and phase."""
    return {
        (labels["kind"], labels["early"], labels["phase"]): value
        for name, labels, value in vm.node.counters.items()
        if name == "requests_broken_off"
        for labels in [dict(labels)]
    }
