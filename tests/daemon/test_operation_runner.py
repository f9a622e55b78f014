"""Tests of the operation runner against a store that does not answer."""

import pytest
import trio
from trio import testing

from rattanlug.daemon import operation_runner
from rattanlug.errors import executed, kind
from rattanlug.idempotency import (
    operation,
    outcome,
    record,
    recorded_answer,
    send_result,
    state,
)
from rattanlug.invariants import violations
from rattanlug.table_service import error as platform_error
from rattanlug.table_service import group_commit

KEY = "urdina/1"
DEADLINE_S = 1.5


class _Store:
    """Fake store that responds to the first ``answered`` writes only."""

    def __init__(self, answered: int):
        self._left = answered
        self.written = []

    async def commit(self, writes):
        self.written += [each.value["state"] for each in writes]
        if not self._left:
            await trio.sleep_forever()
        self._left -= 1
        return [len(self.written)] * len(writes)

    async def get(self, table, key, *, timeout):
        await trio.sleep(timeout)
        raise platform_error.PlatformError("no answer", False)


def _perform(answered: int):
    """Return the reply, the seconds until it, and how often the request was sent."""
    store = _Store(answered)
    sent = 0
    found = []

    async def send():
        nonlocal sent
        sent += 1
        answer = recorded_answer.RecordedAnswer(200, (), b"")
        return send_result.SendResult(outcome.Outcome.ANSWERED, answer)

    async def main():
        commits = group_commit.GroupCommit(store)
        runner = operation_runner.OperationRunner(store, commits, trio.current_time)
        claim = record.OperationRecord(state.State.INTENT, "d", "vm", 1, "attempt")
        deadline = trio.current_time() + DEADLINE_S
        steps = operation.Operation(KEY, claim, deadline, violations.Violations())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(commits.run)
            await nursery.start(runner.run)
            began = trio.current_time()
            found.append(await runner.start(KEY, steps, send, deadline).receive())
            found.append(trio.current_time() - began)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    return *found, sent


def test_operation_is_rejected_before_the_deadline_when_the_store_does_not_respond():
    """Guards against callers that are not told that their operation did not run."""
    refused, seconds, sent = _perform(answered=0)
    assert refused.error_kind is kind.ErrorKind.PLATFORM_UNAVAILABLE
    assert refused.executed is executed.Executed.NO
    assert sent == 0
    assert seconds < DEADLINE_S - 0.3


def test_response_is_sent_before_the_store_confirms_it():
    """Guards against callers that time out although their operation ran."""
    answered, seconds, sent = _perform(answered=1)
    assert answered.answer.status == 200
    assert sent == 1
    assert seconds == pytest.approx(0.45 * DEADLINE_S, abs=0.05)
