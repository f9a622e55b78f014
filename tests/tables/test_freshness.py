"""A copy never claims to be fresher than it is, along any chain of followers.

Withdrawn keys rest on it: a VM accepts keys while its copy's age is below the bound.
"""

import heapq
import itertools
import random

import pytest

from rattanlug.tables import follow_messages, source_choice, store_read, table_set

TABLE = "op"
VMS = 5


class Fleet:
    """VMs that read a store or follow each other, with delays, losses and pauses.

    Each VM counts time from an origin of its own.
    """

    def __init__(self, seed, confirms_from_answer=False):
        self._rng = random.Random(seed)
        self._mutant = confirms_from_answer
        self._events = []
        self._order = itertools.count()
        self._origin = [self._rng.uniform(0.0, 1000.0) for _ in range(VMS)]
        self._tables = [table_set.TableSet([TABLE]) for _ in range(VMS)]
        self._choices = [source_choice.SourceChoice() for _ in range(VMS)]
        self._committed = []
        self._stale_until = 0.0
        self.claims = 0
        self.followed = 0

    def play(self, seconds=30.0):
        """Play; return the greatest time by which a copy was too old for its claim."""
        for vm in range(VMS):
            self._push(self._rng.random(), self._ask, vm)
        for at in sorted(self._rng.uniform(0.0, seconds) for _ in range(25)):
            self._push(at, self._commit)
        self._push(self._rng.uniform(0.0, seconds), self._go_stale)
        worst = 0.0
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > seconds:
                break
            action(now, *arguments)
            worst = max(worst, self._check(now))
        return worst

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _delay(self):
        # Some answers wait in a queue, or for a process that is paused.
        return self._rng.choice((0.001, 0.05, 0.3, self._rng.uniform(0.0, 4.0)))

    def _commit(self, now):
        self._committed.append(now)

    def _go_stale(self, now):
        # The store answers as of some seconds ago, as after it dropped its history.
        self._stale_until = now + 5.0

    def _ask(self, now, vm):
        before = [str(each) for each in range(vm)]
        source = self._choices[vm].choose(before, now)
        if source is not None and self._rng.random() < 0.3:
            self._choices[vm].record_failure(source, now)
            source = None
        local = now + self._origin[vm]
        if source is None:
            self._push(now + self._delay(), self._read, vm, local)
        else:
            self.followed += 1
            self._push(now + self._delay(), self._serve, vm, int(source), local)
        self._push(now + self._rng.uniform(0.2, 1.5), self._ask, vm)

    def _read(self, now, vm, asked_at):
        moment = now
        if now < self._stale_until and self._rng.random() < 0.7:
            moment -= 3.0
        version = sum(each <= moment for each in self._committed)
        read = store_read.StoreRead([], version, 0.0, asked_at)
        self._push(now + self._delay(), self._take, vm, read, True)

    def _serve(self, now, vm, source, asked_at):
        copies = self._tables[source]
        request = follow_messages.FollowRequest(
            {TABLE: self._tables[vm].copy(TABLE).version}, 0.0
        )
        answer = copies.answer(request, now + self._origin[source])
        for each in answer.tables:
            delay = self._delay()
            # The mutant counts from when the answer arrives.
            base = now + delay + self._origin[vm] if self._mutant else asked_at
            read = store_read.StoreRead(
                list(each.rows), each.version, 0.0, base - each.age
            )
            self._push(now + delay, self._take, vm, read, each.whole)

    def _take(self, now, vm, read, whole):
        if self._rng.random() < 0.9:
            self._tables[vm].apply_read(TABLE, read, whole, now + self._origin[vm])

    def _check(self, now):
        worst = 0.0
        for tables, origin in zip(self._tables, self._origin, strict=True):
            copy = tables.copy(TABLE)
            if copy.version < 0:
                continue
            self.claims += 1
            confirmed = copy.confirmed_at - origin
            known = sum(each <= confirmed for each in self._committed)
            if copy.version < known:
                worst = max(worst, confirmed - self._committed[copy.version])
        return worst


# A stale answer of the store to a VM that has seen nothing newer can't be told from a
# fresh one; it is outdated by this much at most in these runs.
STALE_SECONDS = 3.0


@pytest.mark.parametrize("seed", range(300))
def test_every_claim_of_freshness_is_true(seed):
    fleet = Fleet(seed)
    fleet._go_stale = lambda now: None
    assert fleet.play() == 0.0
    assert fleet.claims > 100
    assert fleet.followed > 10


@pytest.mark.parametrize("seed", range(100))
def test_a_stale_store_deceives_by_no_more_than_it_is_stale(seed):
    assert Fleet(seed).play() <= STALE_SECONDS


def test_counting_from_the_answer_instead_of_the_question_is_found():
    found = 0
    for seed in range(50):
        fleet = Fleet(seed, confirms_from_answer=True)
        fleet._go_stale = lambda now: None
        found += fleet.play() > 0.0
    assert found > 10
