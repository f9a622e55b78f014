"""A small queueing model of upstreams and entry VMs, in virtual time.

Arrivals are open-loop: callers send at their times whatever the answers are.
"""

import collections
import heapq
import itertools
import random
from typing import NamedTuple

from rattanlug.desired import bounds
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import placement_request, placer

SERVICE = "s"
NEAR, REGION, FAR = 0.0002, 0.002, 0.07


class Site(NamedTuple):
    """Data centres of a deployment: name, region, VMs, upstreams, requests a second."""

    name: str
    region: str
    vms: int
    upstreams: int
    rate: float


class Outcome(NamedTuple):
    """What callers of one data centre saw."""

    in_time: int
    late: int
    refused: int

    @property
    def worth(self):
        """Mean worth of a request."""
        total = self.in_time + self.late + self.refused
        return (self.in_time + 0.2 * self.late) / max(1, total)


class Upstream:
    """Slots with a queue, and memory for the objects handled last."""

    def __init__(self, record, kept, cold, warm):
        self.record = record
        self.free = record.slots
        self.queue = collections.deque()
        self.objects = collections.OrderedDict()
        self._kept, self._cold, self._warm = kept, cold, warm
        self.busy = 0

    def work(self, object_id, rng):
        """Return the time that a request takes, and whether its object was warm."""
        warm = object_id in self.objects
        self.objects[object_id] = None
        self.objects.move_to_end(object_id)
        if len(self.objects) > self._kept:
            self.objects.popitem(last=False)
        mean = self._warm if warm else self._cold
        return mean * rng.lognormvariate(0.0, 0.15)


class Model:
    """Plays requests of all data centres against one policy.

    Parameters
    ----------
    sites : list of Site
    choose : callable
        From (placer, request, times, now) to an upstream record or None.
    """

    def __init__(
        self, sites, choose, seed=1, kept=37, objects=78, cold=0.5, warm=0.15,
        slots=5, target=0.4, timeout=1.0,
    ):  # fmt: skip
        self._rng = random.Random(seed)
        self._choose = choose
        self._sites = {each.name: each for each in sites}
        self._regions = {each.name: each.region for each in sites}
        self._target, self._timeout, self._objects = target, timeout, objects
        self._registry = upstream_registry.UpstreamRegistry()
        records = [
            upstream_record.UpstreamRecord(
                f"{each.name}-{number}", 1, 1, SERVICE, "v1", "h", 1, each.name,
                slots, False, 0.0,
            )
            for each in sites
            for number in range(each.upstreams)
        ]  # fmt: skip
        self._registry.apply(records, 1, 0.0)
        self._upstreams = {
            each.id: Upstream(each, kept, cold, warm) for each in records
        }
        self._vms = {
            each.name: [self._vm(each, number) for number in range(each.vms)]
            for each in sites
        }
        self._events = []
        self._order = itertools.count()
        self.outcomes = {each.name: [0, 0, 0] for each in sites}
        self.regions = collections.Counter()
        # When a request of a region was sent, and to which region.
        self.runs = collections.defaultdict(list)

    def _vm(self, site, number):
        return placer.Placer(
            site.name,
            site.region,
            self._regions,
            self._registry,
            bounds.Bounds(),
            self._senders,
            random.Random(f"{site.name} {number}"),
        )

    def _senders(self, place):
        return sum(
            each.vms
            for each in self._sites.values()
            if place in (each.name, each.region)
        )

    def play(self, seconds, warm_up=5.0, burst=(0.0, 0.0, 1.0)):
        """Play for some seconds; return outcomes by data centre after the warm-up.

        ``burst`` is its beginning, its end, and the factor on all rates.
        """
        for site in self._sites.values():
            at = 0.0
            while at < seconds:
                factor = burst[2] if burst[0] <= at < burst[1] else 1.0
                at += self._rng.expovariate(site.rate * factor)
                self._push(at, self._arrive, site, at >= warm_up)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return {name: Outcome(*counts) for name, counts in self.outcomes.items()}

    def greatest_shift(self, region, window=2.0):
        """Return which part of a region's requests changes region between windows."""
        runs, greatest = self.runs[region], (0.0, 0.0)
        step, at = 0.1, runs[0][0] + window
        while at + window <= runs[-1][0]:
            shares = []
            for begin in (at - window, at):
                found = collections.Counter(
                    ran for sent, ran in runs if begin <= sent < begin + window
                )
                total = sum(found.values())
                shares.append({ran: n / total for ran, n in found.items()})
            before, after = shares
            moved = sum(
                max(0.0, share - before.get(ran, 0.0)) for ran, share in after.items()
            )
            greatest = max(greatest, (moved, at))
            at += step
        return greatest

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _way(self, first, second):
        if first == second:
            return NEAR
        return REGION if self._regions[first] == self._regions[second] else FAR

    def _arrive(self, now, site, counted):
        vm = self._rng.choice(self._vms[site.name])
        object_id = f"{site.region} {self._rng.randrange(self._objects)}"
        times = vm.times("r", self._target, True)
        wanted = placement_request.PlacementRequest(
            SERVICE, "r", object_id, True, self._target, self._timeout, 1.5, None,
            None, frozenset(),
        )  # fmt: skip
        found = self._choose(vm, wanted, times, now)
        if found is None:
            self.outcomes[site.name][2] += counted
            return
        record, chosen = found
        self.regions[site.region, self._regions[record.data_centre]] += counted
        self.runs[site.region].append((now, self._regions[record.data_centre]))
        token = vm.begin(record, object_id, now)
        way = self._way(site.name, record.data_centre) / 2
        job = (vm, record, chosen, token, object_id, now, way, site, counted, times)
        self._push(now + way, self._reach, job)

    def _reach(self, now, job):
        target = self._upstreams[job[1].id]
        target.busy += 1
        if target.free:
            target.free -= 1
            self._start(now, target, job)
        else:
            target.queue.append(job)

    def _start(self, now, target, job):
        work = target.work(job[4], self._rng)
        self._push(now + work, self._finish, target, job)

    def _finish(self, now, target, job):
        target.busy -= 1
        if target.queue:
            self._start(now, target, target.queue.popleft())
        else:
            target.free += 1
        self._push(now + job[6], self._answer, job, target.busy)

    def _answer(self, now, job, busy):
        vm, record, chosen, token, _, sent, way, site, counted, times = job
        load = vm.load(record, now)
        load.end(token)
        load.note_answer(now)
        load.note_report(busy, now)
        work = now - sent - 2 * way
        if chosen is not None and chosen.busy < record.slots:
            hit = times.is_warm(work)
            vm.record_warm_hit(SERVICE, chosen, hit)
            times.learn(work)
        if counted:
            taken = now - sent
            late = taken > self._target
            index = 2 if taken > self._timeout else int(late)
            self.outcomes[site.name][index] += 1


def value(vm, wanted, times, now):
    """Choose as the product does."""
    found = vm.choose(wanted, times, now)
    return None if found is None else (found.record, found)


def least_busy(vm, wanted, times, now):
    """Choose the least busy upstream of the VM's data centre, the plain baseline."""
    records = [
        each
        for each in vm._registry.of_service(SERVICE)
        if each.data_centre == vm._data_centre
    ]
    best = min(records, key=lambda each: vm.load(each, now).busy(now))
    return best, None
