"""Tests of the bounds on memory that grows with the number of operations."""

import trio

from rattanlug.daemon import operation_runner
from rattanlug.errors import executed, kind
from rattanlug.idempotency import operation, record, recorded_answer, state
from rattanlug.invariants import violations


def finished(size):
    answer = recorded_answer.RecordedAnswer(200, (), bytes(size))
    return record.OperationRecord(
        state.State.DONE, "d", "vm", 1, "a", answer=answer, created_at=0.0
    )


def test_cached_responses_are_bounded_by_size():
    # Ten thousand responses of the largest recorded size would take 2.5 GB.
    runner = operation_runner.OperationRunner(None, None, lambda: 0.0)
    size = 256 * 1024
    for n in range(200):
        runner._cache(f"k{n}", finished(size))
        runner._cache(f"k{n}", finished(size))
    kept = sum(runner.cached_record(f"k{n}") is not None for n in range(200))
    assert kept == operation_runner.MAX_CACHED_BYTES // size
    assert runner.cached_record("k199") is not None


def test_operations_beyond_the_limit_are_refused_as_not_run(monkeypatch):
    # Guards against thousands of unfinished operations while the store is down.
    monkeypatch.setattr(operation_runner, "MAX_ACTIVE", 0)

    async def main():
        runner = operation_runner.OperationRunner(None, None, lambda: 0.0)
        steps = operation.Operation("k", finished(1), 1.0, violations.Violations())
        step = await runner.start("k", steps, None, 1.0).receive()
        assert step.error_kind is kind.ErrorKind.PLATFORM_UNAVAILABLE
        assert step.executed is executed.Executed.NO

    trio.run(main)
