"""State machine of one request on a ``once`` route.

Requests on such a route are executed at most once per identity.
"""

from collections.abc import Generator

from rattanlug.errors import error_response, executed, kind
from rattanlug.idempotency import (
    action,
    await_answer,
    decision,
    outcome,
    read_record,
    record,
    recorded_answer,
    refuse,
    reply,
    send_request,
    send_result,
    state,
    store_result,
    store_status,
    write_record,
)
from rattanlug.invariants import invariant, violations

Step = (
    read_record.ReadRecord
    | write_record.WriteRecord
    | send_request.SendRequest
    | reply.Reply
    | refuse.Refuse
    | await_answer.AwaitAnswer
)
Result = store_result.StoreResult | send_result.SendResult | None

# Larger response bodies are not kept in the record, since a row of the table service
# also contains the headers and is written in a transaction with other rows.
MAX_RECORDED_BODY_BYTES = 256 * 1024
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0
# If the store is down for longer, the record may remain an intent. Retries then get
# outcome_unknown, which is safe.
MAX_BACKGROUND_WRITE_S = 600.0
# A claim is written again if another attempt's record was set to not_run meanwhile. The
# limit prevents an endless loop of two competing callers.
MAX_CLAIMS = 3


class Operation:
    """Sequence of steps of one attempt; the caller of this class performs them.

    An attempt is one request with the operation's identity. Before it sends the request
    to an upstream, it claims the operation: it writes its intent to the record.

    ``start`` returns the first step. ``resume`` takes the result of a step and returns
    the next one, ``None`` at the end. Steps after ``Reply`` or ``Refuse`` only update
    the record; it is safe to skip them.

    Parameters
    ----------
    key : str
        Key of the record, from ``record.record_key``.
    claim : record.OperationRecord
        Intent of this attempt, with a unique token.
    deadline : float
        Time after which the request is not sent, on the clock of ``now``.
    violations : violations.Violations
    remembered : record.OperationRecord, optional
        ``done`` record of this identity that the VM has in memory.
    """

    def __init__(
        self,
        key: str,
        claim: record.OperationRecord,
        deadline: float,
        violations: violations.Violations,
        remembered: record.OperationRecord | None = None,
    ):
        self._key = key
        self._claim = claim
        self._deadline = deadline
        self._violations = violations
        self._remembered_record = remembered
        self._sends = 0
        self._now = 0.0
        self._done: record.OperationRecord | None = None
        self._steps = self._run()

    @property
    def done_record(self) -> record.OperationRecord | None:
        """Final record to keep in memory, once the upstream has responded."""
        return self._done

    def start(self, now: float) -> Step | None:
        """Return the first step."""
        self._now = now
        return next(self._steps, None)

    def resume(self, result: Result, now: float) -> Step | None:
        """Take the result of a step and return the next one, ``None`` at the end."""
        self._now = now
        try:
            return self._steps.send(result)
        except StopIteration:
            return None

    def _run(self) -> Generator[Step, Result, None]:
        found, revision = self._remembered_record, 0
        decided = self._decide(found, revision)
        claims = 0
        while decided.action is action.Action.CLAIM and claims < MAX_CLAIMS:
            claims += 1
            written = yield from self._write_claim(decided.expected)
            if written.status is store_status.StoreStatus.OK:
                decided = self._decide(self._claim, written.revision)
            elif written.status is store_status.StoreStatus.CONFLICT:
                decided = self._decide(written.value, written.revision)
            else:
                yield self._refuse_not_run(kind.ErrorKind.PLATFORM_UNAVAILABLE)
                if written.status is store_status.StoreStatus.LOST:
                    yield from self._write_in_background(
                        self._not_run(), decided.expected
                    )
                return
        if decided.action is action.Action.CLAIM:
            yield self._refuse_not_run(kind.ErrorKind.PLATFORM_UNAVAILABLE)
        elif decided.action is action.Action.REPLAY:
            yield reply.Reply(decided.answer, replayed=True)
        elif decided.action is action.Action.REFUSE:
            was_executed = error_response.response_for(decided.error_kind).executed
            yield refuse.Refuse(decided.error_kind, was_executed)
        else:
            yield from self._execute(decided.expected)

    def _decide(
        self, found: record.OperationRecord | None, revision: int
    ) -> decision.Decision:
        return decision.decide(found, revision, self._claim.attempt, self._claim.digest)

    def _write_claim(
        self, expected: int
    ) -> Generator[Step, Result, store_result.StoreResult]:
        """Write the claim, and read it back if the store's response was lost."""
        written = yield write_record.WriteRecord(self._key, expected, self._claim)
        if written.status is not store_status.StoreStatus.LOST:
            return written
        found = yield read_record.ReadRecord(self._key)
        if found.status is not store_status.StoreStatus.OK:
            return store_result.StoreResult(store_status.StoreStatus.LOST)
        if found.value is not None and found.value.attempt == self._claim.attempt:
            return found
        if found.revision != expected:
            return found._replace(status=store_status.StoreStatus.CONFLICT)
        # The row is unchanged, but the claim may still take effect later.
        return store_result.StoreResult(store_status.StoreStatus.LOST)

    def _execute(self, revision: int) -> Generator[Step, Result, None]:
        if self._now >= self._deadline:
            yield from self._finish(
                self._not_run(),
                revision,
                self._refuse_not_run(kind.ErrorKind.DEADLINE_EXCEEDED),
            )
            return
        self._sends += 1
        self._violations.check(invariant.Invariant.AT_MOST_ONCE, self._sends == 1)
        sent = yield send_request.SendRequest()
        if sent.outcome is outcome.Outcome.ANSWERED:
            self._done = self._as_done_record(sent.answer)
            yield from self._finish(self._done, revision, reply.Reply(sent.answer))
        elif sent.outcome is outcome.Outcome.NOT_RUN:
            self._sends -= 1
            yield from self._finish(
                self._not_run(), revision, self._refuse_not_run(sent.error_kind)
            )
        else:
            # The record remains an intent, so that no attempt sends the request again.
            yield refuse.Refuse(sent.error_kind, executed.Executed.UNKNOWN)
            late_result = yield await_answer.AwaitAnswer()
            if late_result.outcome is outcome.Outcome.ANSWERED:
                self._done = self._as_done_record(late_result.answer)
                yield from self._write_in_background(self._done, revision)
            elif late_result.outcome is outcome.Outcome.NOT_RUN:
                yield from self._write_in_background(self._not_run(), revision)

    def _finish(
        self, value: record.OperationRecord, revision: int, response_step: Step
    ) -> Generator[Step, Result, None]:
        """Write the final record, respond, and retry the write if it failed."""
        written = yield write_record.WriteRecord(self._key, revision, value)
        yield response_step
        if written.status in (
            store_status.StoreStatus.FAILED,
            store_status.StoreStatus.LOST,
        ):
            yield from self._write_in_background(value, revision)

    def _write_in_background(
        self, value: record.OperationRecord, expected: int
    ) -> Generator[Step, Result, None]:
        """Retry writing a final record until it or another one is stored.

        A ``not_run`` record is written even if the row is absent: a claim that is still
        in flight then meets a conflict and has no effect.
        """
        delay = INITIAL_RETRY_DELAY_S
        end = self._now + MAX_BACKGROUND_WRITE_S
        while self._now < end:
            written = yield write_record.WriteRecord(self._key, expected, value, delay)
            if written.status is store_status.StoreStatus.OK:
                return
            if written.status is store_status.StoreStatus.CONFLICT:
                is_own_intent = (
                    written.value is not None
                    and written.value.attempt == self._claim.attempt
                    and written.value.state is state.State.INTENT
                )
                if not is_own_intent:
                    return
                expected, delay = written.revision, 0.0
                continue
            delay = min(max(2 * delay, INITIAL_RETRY_DELAY_S), MAX_RETRY_DELAY_S)

    def _not_run(self) -> record.OperationRecord:
        return self._claim._replace(state=state.State.NOT_RUN)

    def _as_done_record(self, answer: recorded_answer.RecordedAnswer):
        kept = answer if len(answer.body) <= MAX_RECORDED_BODY_BYTES else None
        return self._claim._replace(state=state.State.DONE, answer=kept)

    def _refuse_not_run(self, error_kind: kind.ErrorKind) -> refuse.Refuse:
        self._violations.check(invariant.Invariant.NOT_RUN_IS_TRUE, self._sends == 0)
        return refuse.Refuse(error_kind, executed.Executed.NO)
