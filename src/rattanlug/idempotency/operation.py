"""One request on a ``once`` route, as a sequence of steps."""

from collections.abc import Generator

from rattanlug.errors import error_response, executed, kind
from rattanlug.idempotency import (
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
    verdict,
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

# Answers above this size are not kept in the record, since one row of the table
# service also carries the headers and is written in a transaction with others.
MAX_RECORDED_BODY_BYTES = 256 * 1024
FIRST_RETRY_DELAY_S = 0.5
LAST_RETRY_DELAY_S = 8.0
# The record may stay an intent when the store is down for longer: repeats are then
# answered with outcome_unknown, which is safe.
FOLLOW_UP_LIMIT_S = 600.0
# A claim that loses to a record which another attempt has just marked not_run is
# repeated; the bound keeps two racing callers from looping.
MAX_CLAIMS = 3


class Operation:
    """Steps of one attempt.

    ``start`` returns the first step and ``resume`` takes the result of a step and
    returns the next one, ``None`` at the end. Steps after ``Reply`` or ``Refuse``
    bring the record up to date and may be dropped at any point without harm.

    Parameters
    ----------
    key : str
        Key of the record, from ``record.record_key``.
    claim : record.OperationRecord
        Intent of this attempt, with a token that was never used before.
    deadline : float
        Moment after which nothing is sent, on the clock of ``now``.
    violations : violations.Violations
    remembered : record.OperationRecord, optional
        ``done`` record of this identity that the VM holds in memory.
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
        self._remembered = remembered
        self._sends = 0
        self._now = 0.0
        self._done: record.OperationRecord | None = None
        self._steps = self._run()

    @property
    def done_record(self) -> record.OperationRecord | None:
        """Final record to remember once the upstream has answered."""
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
        found, revision = self._remembered, 0
        choice = self._decide(found, revision)
        claims = 0
        while choice.verdict is verdict.Verdict.CLAIM and claims < MAX_CLAIMS:
            claims += 1
            written = yield from self._write_claim(choice.expected)
            if written.status is store_status.StoreStatus.OK:
                choice = self._decide(self._claim, written.revision)
            elif written.status is store_status.StoreStatus.CONFLICT:
                choice = self._decide(written.value, written.revision)
            else:
                yield self._refuse_not_run(kind.ErrorKind.PLATFORM_UNAVAILABLE)
                if written.status is store_status.StoreStatus.LOST:
                    yield from self._mark(self._not_run(), choice.expected)
                return
        if choice.verdict is verdict.Verdict.CLAIM:
            yield self._refuse_not_run(kind.ErrorKind.PLATFORM_UNAVAILABLE)
        elif choice.verdict is verdict.Verdict.REPLAY:
            yield reply.Reply(choice.answer, replayed=True)
        elif choice.verdict is verdict.Verdict.REFUSE:
            stated = error_response.response_for(choice.error_kind).executed
            yield refuse.Refuse(choice.error_kind, stated)
        else:
            yield from self._execute(choice.expected)

    def _decide(
        self, found: record.OperationRecord | None, revision: int
    ) -> decision.Decision:
        return decision.decide(found, revision, self._claim.attempt, self._claim.digest)

    def _write_claim(
        self, expected: int
    ) -> Generator[Step, Result, store_result.StoreResult]:
        """Write the claim, and look for it when the answer was lost."""
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
        # The row is as it was before: the claim may still take effect later.
        return store_result.StoreResult(store_status.StoreStatus.LOST)

    def _execute(self, revision: int) -> Generator[Step, Result, None]:
        if self._now >= self._deadline:
            yield from self._close(
                self._not_run(),
                revision,
                self._refuse_not_run(kind.ErrorKind.DEADLINE_EXCEEDED),
            )
            return
        self._sends += 1
        self._violations.check(invariant.Invariant.AT_MOST_ONCE, self._sends == 1)
        sent = yield send_request.SendRequest()
        if sent.outcome is outcome.Outcome.ANSWERED:
            self._done = self._finished(sent.answer)
            yield from self._close(self._done, revision, reply.Reply(sent.answer))
        elif sent.outcome is outcome.Outcome.NOT_RUN:
            self._sends -= 1
            yield from self._close(
                self._not_run(), revision, self._refuse_not_run(sent.error_kind)
            )
        else:
            # The record stays an intent: nobody may send this operation again.
            yield refuse.Refuse(sent.error_kind, executed.Executed.UNKNOWN)
            late = yield await_answer.AwaitAnswer()
            if late.outcome is outcome.Outcome.ANSWERED:
                self._done = self._finished(late.answer)
                yield from self._mark(self._done, revision)
            elif late.outcome is outcome.Outcome.NOT_RUN:
                yield from self._mark(self._not_run(), revision)

    def _close(
        self, value: record.OperationRecord, revision: int, last: Step
    ) -> Generator[Step, Result, None]:
        """Write the final record, answer, and repeat the write when it failed."""
        written = yield write_record.WriteRecord(self._key, revision, value)
        yield last
        if written.status in (
            store_status.StoreStatus.FAILED,
            store_status.StoreStatus.LOST,
        ):
            yield from self._mark(value, revision)

    def _mark(
        self, value: record.OperationRecord, expected: int
    ) -> Generator[Step, Result, None]:
        """Write a final record in the background until it or another one stands.

        A ``not_run`` record is written even when the row is absent: a claim that
        is still under way then finds the row taken and has no effect.
        """
        delay = FIRST_RETRY_DELAY_S
        end = self._now + FOLLOW_UP_LIMIT_S
        while self._now < end:
            written = yield write_record.WriteRecord(self._key, expected, value, delay)
            if written.status is store_status.StoreStatus.OK:
                return
            if written.status is store_status.StoreStatus.CONFLICT:
                own = (
                    written.value is not None
                    and written.value.attempt == self._claim.attempt
                    and written.value.state is state.State.INTENT
                )
                if not own:
                    return
                expected, delay = written.revision, 0.0
                continue
            delay = min(max(2 * delay, FIRST_RETRY_DELAY_S), LAST_RETRY_DELAY_S)

    def _not_run(self) -> record.OperationRecord:
        return self._claim._replace(state=state.State.NOT_RUN)

    def _finished(self, answer: recorded_answer.RecordedAnswer):
        kept = answer if len(answer.body) <= MAX_RECORDED_BODY_BYTES else None
        return self._claim._replace(state=state.State.DONE, answer=kept)

    def _refuse_not_run(self, error_kind: kind.ErrorKind) -> refuse.Refuse:
        self._violations.check(invariant.Invariant.NOT_RUN_IS_TRUE, self._sends == 0)
        return refuse.Refuse(error_kind, executed.Executed.NO)
