"""Guards against a copy that reports a lower age than it has.

A VM accepts keys while its copy's age is below a limit. With an age that is too low,
it would accept a withdrawn key for too long. The age has to be correct along any chain
of followers.
"""

import heapq
import itertools
import random

import pytest

from rattanlug.tables import follow_messages, source_choice, store_read, table_set

TABLE = "op"
VMS = 5


class Fleet:
    """Simulates VMs that read a store or follow each other, with delays and losses.

    The monotonic clock of each VM has its own origin. With ``confirms_on_response``
    the age counts from the arrival of the response instead of from the time at which
    the request was sent, a fault that the check has to detect.
    """

    def __init__(self, seed, confirms_on_response=False):
        self._rng = random.Random(seed)
        self._mutant = confirms_on_response
        self._events = []
        self._order = itertools.count()
        self._origin = [self._rng.uniform(0.0, 1000.0) for _ in range(VMS)]
        self._tables = [table_set.TableSet([TABLE]) for _ in range(VMS)]
        self._choices = [source_choice.SourceChoice() for _ in range(VMS)]
        self._committed = []
        self._stale_until = 0.0
        self.checks = 0
        self.follow_requests = 0

    def run(self, seconds=30.0):
        """Simulate; return the largest time by which a copy was older than its age."""
        for vm in range(VMS):
            self._push(self._rng.random(), self._start_read, vm)
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
        # Some messages wait in a queue or for a paused process.
        return self._rng.choice((0.001, 0.05, 0.3, self._rng.uniform(0.0, 4.0)))

    def _commit(self, now):
        self._committed.append(now)

    def _go_stale(self, now):
        # For 5 s, the store may return its state of 3 s ago, as after it dropped its
        # history.
        self._stale_until = now + 5.0

    def _start_read(self, now, vm):
        predecessors = [str(each) for each in range(vm)]
        source = self._choices[vm].choose(predecessors, now)
        if source is not None and self._rng.random() < 0.3:
            self._choices[vm].record_failure(source, now)
            source = None
        local = now + self._origin[vm]
        if source is None:
            self._push(now + self._delay(), self._read, vm, local)
        else:
            self.follow_requests += 1
            self._push(now + self._delay(), self._serve, vm, int(source), local)
        self._push(now + self._rng.uniform(0.2, 1.5), self._start_read, vm)

    def _read(self, now, vm, requested_at):
        read_at = now
        if now < self._stale_until and self._rng.random() < 0.7:
            read_at -= 3.0
        version = sum(each <= read_at for each in self._committed)
        read = store_read.StoreRead([], version, 0.0, requested_at)
        self._push(now + self._delay(), self._apply, vm, read, True)

    def _serve(self, now, vm, source, requested_at):
        source_tables = self._tables[source]
        request = follow_messages.FollowRequest(
            {TABLE: self._tables[vm].copy(TABLE).version}, 0.0
        )
        response = source_tables.answer(request, now + self._origin[source])
        for each in response.tables:
            delay = self._delay()
            # The mutant counts the age from the arrival of the response.
            base = now + delay + self._origin[vm] if self._mutant else requested_at
            read = store_read.StoreRead(
                list(each.rows), each.version, 0.0, base - each.age
            )
            self._push(now + delay, self._apply, vm, read, each.whole)

    def _apply(self, now, vm, read, whole):
        if self._rng.random() < 0.9:
            self._tables[vm].apply_read(TABLE, read, whole, now + self._origin[vm])

    def _check(self, now):
        worst = 0.0
        for tables, origin in zip(self._tables, self._origin, strict=True):
            copy = tables.copy(TABLE)
            if copy.version < 0:
                continue
            self.checks += 1
            confirmed = copy.confirmed_at - origin
            expected = sum(each <= confirmed for each in self._committed)
            if copy.version < expected:
                worst = max(worst, confirmed - self._committed[copy.version])
        return worst


# A VM that has seen no later transaction can't distinguish a stale response of the
# store from a fresh one. This is the maximum staleness in the simulation.
STALE_SECONDS = 3.0


@pytest.mark.parametrize("seed", range(300))
def test_no_copy_is_older_than_its_age(seed):
    fleet = Fleet(seed)
    fleet._go_stale = lambda now: None
    assert fleet.run() == 0.0
    assert fleet.checks > 100
    assert fleet.follow_requests > 10


@pytest.mark.parametrize("seed", range(100))
def test_with_a_stale_store_the_error_is_at_most_its_staleness(seed):
    assert Fleet(seed).run() <= STALE_SECONDS


def test_counting_the_age_from_the_response_is_detected():
    detected = 0
    for seed in range(50):
        fleet = Fleet(seed, confirms_on_response=True)
        fleet._go_stale = lambda now: None
        detected += fleet.run() > 0.0
    assert detected > 10
