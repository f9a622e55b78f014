"""Tests that a retry after a crash at any step isn't executed a second time."""

import pytest

from rattanlug.errors import executed, kind
from rattanlug.idempotency import (
    await_answer,
    operation,
    outcome,
    record,
    recorded_answer,
    refuse,
    reply,
    send_request,
    send_result,
    state,
    store_result,
    store_status,
)
from rattanlug.invariants import violations

ANSWER = recorded_answer.RecordedAnswer(201, (), b"order 7")


def _operation(attempt, digest="d", deadline=10.0):
    claim = record.OperationRecord(state.State.INTENT, digest, "vm", 1, attempt)
    return operation.Operation("k", claim, deadline, violations.Violations())


class Store:
    """One row, and the number of executions upstream."""

    def __init__(self):
        self.revision, self.value, self.executions = 0, None, 0

    def perform(self, step):
        if isinstance(step, send_request.SendRequest):
            self.executions += 1
            return send_result.SendResult(outcome.Outcome.ANSWERED, ANSWER)
        if not hasattr(step, "value"):
            return None
        if step.expected != self.revision:
            status = store_status.StoreStatus.CONFLICT
            return store_result.StoreResult(status, self.revision, self.value)
        self.revision, self.value = self.revision + 1, step.value
        return store_result.StoreResult(store_status.StoreStatus.OK, self.revision)

    def run(self, steps, max_steps=99):
        step, done = steps.start(0.0), []
        while step is not None and len(done) < max_steps:
            done.append(step)
            step = steps.resume(self.perform(step), 0.0)
        return done


@pytest.mark.parametrize("steps", range(5))
def test_a_retry_after_a_crash_is_never_executed_again(steps):
    store = Store()
    first = store.run(_operation("a"), max_steps=steps)
    last = store.run(_operation("b"))[-1]
    assert store.executions == 1 or steps == 1 and store.executions == 0
    if steps >= 3 or steps == 0:
        assert last == reply.Reply(ANSWER, replayed=steps > 0)
    else:
        assert last == refuse.Refuse(
            kind.ErrorKind.OUTCOME_UNKNOWN, executed.Executed.UNKNOWN
        )
    assert len(first) == min(steps, 4)


def test_another_body_with_the_same_identity_is_rejected():
    store = Store()
    store.run(_operation("a"))
    last = store.run(_operation("b", digest="other"))[-1]
    assert last == refuse.Refuse(kind.ErrorKind.IDENTITY_REUSED, executed.Executed.NO)


def test_nothing_is_sent_after_the_deadline():
    store = Store()
    done = store.run(_operation("a", deadline=0.0))
    assert done[-1] == refuse.Refuse(
        kind.ErrorKind.DEADLINE_EXCEEDED, executed.Executed.NO
    )
    assert store.executions == 0 and store.value.state is state.State.NOT_RUN


def test_a_late_response_is_recorded():
    store, steps = Store(), _operation("a")
    steps.resume(store.perform(steps.start(0.0)), 0.0)
    unknown = send_result.SendResult(outcome.Outcome.UNKNOWN)
    assert isinstance(steps.resume(unknown, 1.0), refuse.Refuse)
    assert isinstance(steps.resume(None, 1.0), await_answer.AwaitAnswer)
    answered = send_result.SendResult(outcome.Outcome.ANSWERED, ANSWER)
    store.perform(steps.resume(answered, 2.0))
    assert store.value.state is state.State.DONE and store.value.answer == ANSWER


def test_a_request_with_a_too_large_response_is_not_executed_again():
    store = Store()
    body = bytes(operation.MAX_RECORDED_BODY_BYTES + 1)
    steps = _operation("a")
    steps.resume(store.perform(steps.start(0.0)), 0.0)
    large = send_result.SendResult(outcome.Outcome.ANSWERED, ANSWER._replace(body=body))
    store.perform(steps.resume(large, 0.0))
    last = store.run(_operation("b"))[-1]
    assert last == refuse.Refuse(kind.ErrorKind.ANSWER_TOO_LARGE, executed.Executed.YES)
