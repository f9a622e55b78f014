"""Tests that a bucket and its borrowers spend at most the seat's share."""

from unittest import mock

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from rattanlug.invariants import violations
from rattanlug.quota import borrowed_tokens, lending_bucket, loan, settlement

_amounts = st.floats(0, 20)


class BucketMachine(stateful.RuleBasedStateMachine):
    """Compares lender and borrower with a single reference bucket.

    The reference bucket has the largest capacity so far. Lender and borrower together
    never spend more than it holds.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.counts = violations.Violations()
        self.bucket = lending_bucket.LendingBucket("s", 1, 101.1, self.counts)
        self.borrowed = borrowed_tokens.BorrowedTokens()
        self.rate, self.capacity, self.level = 0.0, 0.0, 0.0
        self.share = (0.0, 0.0)

    def _spend(self, tokens):
        self.level -= tokens
        assert self.level >= -1e-6

    @stateful.rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now += seconds
        self.level = min(self.capacity, self.level + self.share[0] * seconds)

    @stateful.rule(rate=_amounts, capacity=_amounts)
    def change_share(self, rate, capacity):
        self.bucket.set_share(rate, capacity, self.now)
        self.share = (rate, capacity)
        self.capacity = max(self.capacity, capacity)

    @stateful.rule(tokens=_amounts)
    def take(self, tokens):
        self._spend(self.bucket.take(tokens, self.now))

    @stateful.rule(tokens=_amounts, delay=st.floats(0, 1))
    def lend(self, tokens, delay):
        granted = self.bucket.lend(tokens, self.now)
        if granted is not None:
            self.borrowed.accept(granted, "lender", self.now - delay, self.now)

    @stateful.rule(tokens=_amounts)
    def spend_borrowed(self, tokens):
        self._spend(self.borrowed.take(tokens, self.now))

    @stateful.rule(keep=_amounts, twice=st.booleans())
    def settle(self, keep, twice):
        self.borrowed.return_idle(self.now, keep, borrowed_tokens.IDLE_S)
        for entry in self.borrowed.pop_settlements("lender"):
            self.bucket.settle(entry, self.now)
            if twice:
                self.bucket.settle(entry, self.now)

    @stateful.invariant()
    def fits(self):
        unspent = self.bucket.level(self.now) + self.borrowed.available(self.now)
        assert unspent <= max(self.capacity, self.bucket.outstanding) + 1e-6
        assert not self.counts.total


_SETTINGS = settings(
    max_examples=100, stateful_step_count=30, deadline=None, database=None
)
BucketMachine.TestCase.settings = _SETTINGS
TestBucket = BucketMachine.TestCase


def _bucket(rate=10.0, capacity=10.0):
    bucket = lending_bucket.LendingBucket("s", 2, 1.1, violations.Violations())
    bucket.set_share(rate, capacity, 0.0)
    return bucket


def test_a_new_bucket_is_empty_until_older_loans_have_expired():
    bucket = _bucket()
    assert bucket.level(1.1) == 0
    assert 0 < bucket.level(1.2) <= 1


def test_a_loan_blocks_refill_until_it_expires():
    bucket = _bucket()
    bucket.level(2.0)
    level = bucket.level(2.9)
    granted = bucket.lend(level, 2.9)
    assert granted.tokens == level
    assert bucket.level(3.8) + bucket.outstanding <= 10
    assert bucket.outstanding == level
    bucket.level(2.9 + loan.LENDER_LIFETIME_S)
    assert bucket.outstanding == 0


def test_a_lowered_capacity_applies_at_once_and_counts_outstanding_loans():
    bucket = _bucket()
    for tenth in range(11, 40):
        bucket.level(tenth / 10)
    granted = bucket.lend(8.0, 3.95)
    bucket.set_share(10.0, 5.0, 4.0)
    assert bucket.level(4.0) == 0
    assert bucket.level(4.5) == 0
    bucket.settle(settlement.Settlement("s", 2, granted.number, 0.0), 4.6)
    assert 0 < bucket.level(4.7) <= 5


def test_a_settlement_of_an_earlier_term_is_ignored():
    bucket = _bucket()
    bucket.level(2.0)
    granted = bucket.lend(3.0, 2.0)
    bucket.settle(settlement.Settlement("s", 1, granted.number, 3.0), 2.0)
    assert bucket.outstanding == 3.0


def test_a_paused_vm_gets_no_refill_for_the_pause():
    bucket = _bucket()
    bucket.level(1.2)
    assert bucket.level(60.0) <= 1


def _max_unspent():
    """Lend a full bucket; return the maximum of unspent tokens afterwards."""
    bucket, borrowed = _bucket(), borrowed_tokens.BorrowedTokens()
    for tenth in range(11, 40):
        bucket.level(tenth / 10)
    borrowed.accept(bucket.lend(10.0, 4.0), "lender", 3.95, 4.05)
    times = [4.05 + step / 100 for step in range(200)]
    return max(bucket.level(now) + borrowed.available(now) for now in times)


def test_lent_and_refilled_tokens_never_exceed_the_capacity():
    assert 9 < _max_unspent() <= 10


@pytest.mark.parametrize(
    ("name", "value"),
    [("BORROWER_LIFETIME_S", 5.0), ("LENDER_LIFETIME_S", 0.0)],
)
def test_a_loan_that_outlives_its_expiry_at_the_lender_is_detected(name, value):
    with mock.patch.object(loan, name, value):
        assert _max_unspent() > 10.5
