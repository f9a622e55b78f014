"""Tests of group commit."""

import pytest
import trio

from rattanlug.table_service import error, group_commit, row, write


class _Platform:
    """Fake platform with rows in memory, a delay and a list of failures."""

    def __init__(self, failures=()):
        self.rows = {}
        self.batches = []
        self.failures = list(failures)

    async def commit(self, writes):
        self.batches.append([each.key for each in writes])
        await trio.sleep(0.05)
        if self.failures:
            raise self.failures.pop(0)
        for index, each in enumerate(writes):
            revision, value = self.rows.get(each.key, (0, None))
            if revision != each.expected:
                raise error.ConflictError(index, row.Row(each.key, revision, value))
        for each in writes:
            self.rows[each.key] = (each.expected + 1, each.value)
        return [each.expected + 1 for each in writes]


def _commit_all(platform, writes, timeout=2.0):
    """Commit all writes concurrently; return the outcomes by position."""
    outcomes = {}

    async def commit(group, index, wanted):
        try:
            outcomes[index] = await group.commit(wanted, timeout=timeout)
        except (error.PlatformError, error.ConflictError) as exc:
            outcomes[index] = exc

    async def main():
        group = group_commit.GroupCommit(platform)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.run)
            async with trio.open_nursery() as commits:
                for index, wanted in enumerate(writes):
                    commits.start_soon(commit, group, index, wanted)
            nursery.cancel_scope.cancel()

    trio.run(main)
    return outcomes


def test_waiting_writes_share_a_transaction():
    """Guards against one transaction per write under load."""
    platform = _Platform()
    outcomes = _commit_all(
        platform, [write.Write("t", str(i), 0, i) for i in range(40)]
    )
    assert outcomes == dict.fromkeys(range(40), 1)
    assert len(platform.batches) <= 2 * group_commit.MAX_TRANSACTIONS


def test_conflict_fails_one_write_and_keeps_the_others():
    """Guards against losing the writes that share a transaction with a conflict."""
    platform = _Platform()
    platform.rows = {"3": (7, "old"), "5": (8, "old")}
    outcomes = _commit_all(platform, [write.Write("t", str(i), 0, i) for i in range(9)])
    conflicts = {i: each for i, each in outcomes.items() if each != 1}
    assert sorted(conflicts) == [3, 5]
    assert conflicts[3].row == ("3", 7, "old")
    assert sorted(platform.rows) == [str(i) for i in range(9)]


def test_writes_of_one_row_go_in_different_transactions():
    """Guards against a transaction that the platform must refuse as ambiguous."""
    platform = _Platform()
    outcomes = _commit_all(platform, [write.Write("t", "k", 0, i) for i in range(3)])
    assert all(batch == ["k"] for batch in platform.batches)
    assert sorted(isinstance(each, int) for each in outcomes.values()) == [0, 0, 1]


@pytest.mark.parametrize("maybe_applied", [True, False])
def test_every_write_of_a_failed_transaction_reports_whether_it_applied(maybe_applied):
    """Guards against a write that waits forever or reports a wrong outcome."""
    failure = error.PlatformError("down", maybe_applied)
    platform = _Platform([failure] * group_commit.MAX_TRANSACTIONS * 2)
    outcomes = _commit_all(platform, [write.Write("t", str(i), 0, i) for i in range(6)])
    assert {each.maybe_applied for each in outcomes.values()} == {maybe_applied}


def test_writes_of_a_rejected_transaction_are_retried_one_by_one():
    """Guards against an oversized write that makes the others fail."""
    refused = error.PlatformError("too large", False, 413)
    platform = _Platform([refused])
    writes = [write.Write("t", str(i), 0, i) for i in range(3)]

    async def main():
        group = group_commit.GroupCommit(platform)
        pending = [group_commit._PendingWrite(each) for each in writes]
        await group._send(pending)
        return [each.revision for each in pending]

    assert trio.run(main) == [1, 1, 1]


def test_timeout_tells_whether_the_write_was_sent():
    """Guards against a write that is sent after it was reported as not sent."""
    platform = _Platform()
    writes = [write.Write("t", "k", 0, i) for i in range(8)]
    outcomes = _commit_all(platform, writes, timeout=0.02)
    sent = [each.maybe_applied for each in outcomes.values()]
    assert sent.count(True) == sum(len(batch) for batch in platform.batches)
    assert False in sent
