"""Tests that a slot is used by one request at a time, and not too early."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from rattanlug.routing import slot_ledger

UPSTREAMS = ("a", "b")
OWNED = st.fixed_dictionaries(
    {name: st.sets(st.integers(0, 3), max_size=4) for name in UPSTREAMS}
)


class Ledger(stateful.RuleBasedStateMachine):
    """Compares the ledger with a model of which slots are still in use."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ledger = slot_ledger.SlotLedger("vm")
        self.owned = {}
        self.usable = {}
        self.holds = []
        self.users = {}  # Slot to the time by which its request has certainly ended.

    def _check_acquired(self, upstream, number):
        assert number in self.owned.get(upstream, ()), "acquired a slot not owned"
        assert self.usable[upstream, number] <= self.now, "acquired a slot too early"
        assert self.users.get((upstream, number), 0.0) <= self.now, "slot used twice"

    @stateful.rule(owned=OWNED, delay=st.sampled_from([0.0, 2.0, 12.0]))
    def set_owned(self, owned, delay):
        for name, numbers in owned.items():
            for number in numbers - set(self.owned.get(name, ())):
                self.usable[name, number] = self.now + delay
        self.owned = owned
        self.ledger.set_owned(owned, self.now, self.now + delay)

    @stateful.rule(order=st.permutations(UPSTREAMS))
    def acquire(self, order):
        hold = self.ledger.acquire(order, self.now)
        if hold is None:
            assert all(self.ledger.free(name, self.now) == 0 for name in order)
            return
        self._check_acquired(hold.upstream, hold.number)
        self.users[hold.upstream, hold.number] = float("inf")
        self.holds.append(hold)

    @stateful.precondition(lambda self: self.holds)
    @stateful.rule(data=st.data(), answered=st.booleans())
    def release(self, data, answered):
        hold = data.draw(st.sampled_from(self.holds))
        self.ledger.release(hold, self.now, answered=answered)
        slot = hold.upstream, hold.number
        if self.users[slot] == float("inf"):
            self.users[slot] = self.now + (0.0 if answered else 1.0)
            self.holds.remove(hold)

    @stateful.precondition(lambda self: not self.holds)
    @stateful.rule()
    def free_slots_are_found(self):
        for name, numbers in self.owned.items():
            usable = [
                number
                for number in numbers
                if self.usable[name, number] <= self.now
                and self.users.get((name, number), 0.0) <= self.now
            ]
            assert self.ledger.free(name, self.now) == len(usable)

    @stateful.rule(order=st.permutations(UPSTREAMS), remaining=st.floats(0.1, 5.0))
    def lend(self, order, remaining):
        deadline = self.now + remaining
        loan = self.ledger.lend("s", "v1", order, self.now, deadline)
        if loan is not None:
            self._check_acquired(loan.upstream, loan.number)
            self.users[loan.upstream, loan.number] = deadline + 1.0
            self.loans = [*getattr(self, "loans", ()), loan]

    @stateful.precondition(lambda self: getattr(self, "loans", ()))
    @stateful.rule(data=st.data())
    def reclaim(self, data):
        loan = data.draw(st.sampled_from(self.loans))
        slot = loan.upstream, loan.number
        if self.ledger.reclaim(loan.loan_id, self.now):
            assert self.users[slot] > self.now
            self.users[slot] = self.now

    @stateful.rule(step=st.floats(0.01, 8.0))
    def wait(self, step):
        self.now += step

    @stateful.invariant()
    def never_above_owned(self):
        users = collections.Counter(
            name for (name, _), until in self.users.items() if until > self.now
        )
        for name in UPSTREAMS:
            # A slot that is no longer owned stays in use until its request ends.
            slots = set(self.owned.get(name, ())) | {
                number
                for (upstream, number), until in self.users.items()
                if upstream == name and until > self.now
            }
            assert users[name] + self.ledger.free(name, self.now) <= len(slots)


TestLedger = Ledger.TestCase
TestLedger.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, database=None
)


def test_borrowed_slot_is_returned_one_second_after_an_abandoned_request():
    """Guards against reuse of a slot while the upstream still processes a request."""
    lender = slot_ledger.SlotLedger("lender")
    lender.set_owned({"a": [0]}, 0.0, 0.0)
    loan = lender.lend("s", "v1", ["a"], 0.0, 2.0)
    borrower = slot_ledger.SlotLedger("borrower")
    hold = borrower.acquire_borrowed(loan, 100.0, 100.1)
    borrower.release(hold, 101.0, answered=False)
    assert borrower.due_returns(101.9) == []
    assert borrower.due_returns(102.0) == [loan]
    assert borrower.due_returns(103.0) == []


def test_borrowed_slot_is_not_used_after_its_deadline():
    """Guards against use of a slot after the loan expired at the lender.

    This happens if the lender's response was delayed.
    """
    lender = slot_ledger.SlotLedger("lender")
    lender.set_owned({"a": [0]}, 0.0, 0.0)
    loan = lender.lend("s", "v1", ["a"], 0.0, 2.0)
    borrower = slot_ledger.SlotLedger("borrower")
    assert borrower.acquire_borrowed(loan, 0.0, 2.0) is None
    assert borrower.due_returns(2.0) == [loan]


def test_slot_is_busy_until_its_request_or_loan_has_ended():
    """Guards against the release of a seat while its slots are in use."""
    ledger = slot_ledger.SlotLedger("vm")
    ledger.set_owned({"u": [0, 1]}, 0.0, 0.0)
    hold = ledger.acquire(["u"], 0.0)
    loan = ledger.lend("s", "v1", ["u"], 0.0, 5.0)
    ledger.set_owned({}, 0.1, 0.1)
    assert ledger.is_busy("u", 0) and ledger.is_busy("u", 1)
    ledger.release(hold, 0.2)
    ledger.reclaim(loan.loan_id, 0.3)
    assert not ledger.is_busy("u", 0) and not ledger.is_busy("u", 1)
