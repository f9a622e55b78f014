"""A small queueing model of upstreams and VMs, in virtual time.

Arrivals are open-loop: callers send requests independently of the responses.
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
# Round-trip times in seconds.
SAME_DATA_CENTRE, SAME_REGION, OTHER_REGION = 0.0002, 0.002, 0.07


class Site(NamedTuple):
    """Data centre: name, region, number of VMs and upstreams, requests per second."""

    name: str
    region: str
    vms: int
    upstreams: int
    rate: float


class Outcome(NamedTuple):
    """Outcomes of the requests of one data centre's callers."""

    in_time: int
    late: int
    rejected: int

    @property
    def mean_value(self):
        """Mean value of a request; 1 if all responses are in time."""
        total = self.in_time + self.late + self.rejected
        return (self.in_time + 0.2 * self.late) / max(1, total)


class Upstream:
    """Slots with a queue, and an LRU cache of objects."""

    def __init__(self, record, cache_size, cold, warm):
        self.record = record
        self.free = record.slots
        self.queue = collections.deque()
        self.objects = collections.OrderedDict()
        self._cache_size, self._cold, self._warm = cache_size, cold, warm
        self.busy = 0

    def service_time(self, object_id, rng):
        """Return the service time of a request and add its object to the cache."""
        warm = object_id in self.objects
        self.objects[object_id] = None
        self.objects.move_to_end(object_id)
        if len(self.objects) > self._cache_size:
            self.objects.popitem(last=False)
        mean = self._warm if warm else self._cold
        return mean * rng.lognormvariate(0.0, 0.15)


class Model:
    """Simulates the requests of all data centres under one placement policy.

    Parameters
    ----------
    sites : list of Site
    policy : callable
        Takes (placer, request, times, now); returns an upstream record and its
        placement, which may be None; or returns None to reject the request.
    """

    def __init__(
        self, sites, policy, seed=1, cache_size=37, objects=78, cold=0.5, warm=0.15,
        slots=5, target=0.4, timeout=1.0,
    ):  # fmt: skip
        self._rng = random.Random(seed)
        self._policy = policy
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
            each.id: Upstream(each, cache_size, cold, warm) for each in records
        }
        self._vms = {
            each.name: [self._vm(each, number) for number in range(each.vms)]
            for each in sites
        }
        self._events = []
        self._order = itertools.count()
        self.outcomes = {each.name: [0, 0, 0] for each in sites}
        self.regions = collections.Counter()
        # By region of the caller: time and target region of each request.
        self.sends = collections.defaultdict(list)

    def _vm(self, site, number):
        return placer.Placer(
            site.name,
            site.region,
            self._regions,
            self._registry,
            bounds.Bounds(),
            self._senders,
            lambda location, now: self._senders(location),
            random.Random(f"{site.name} {number}"),
        )

    def _senders(self, location):
        return sum(
            each.vms
            for each in self._sites.values()
            if location in (each.name, each.region)
        )

    def run(self, seconds, warm_up=5.0, burst=(0.0, 0.0, 1.0)):
        """Simulate a time; return the outcomes by data centre after the warm-up.

        ``burst`` is its start, its end, and the factor on all rates.
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
        """Return the largest share of a region's requests that changes region.

        Compares consecutive windows, ``window`` seconds long. The second value is the
        time at which the later one begins, seconds.
        """
        sends, greatest = self.sends[region], (0.0, 0.0)
        step, at = 0.1, sends[0][0] + window
        while at + window <= sends[-1][0]:
            shares = []
            for begin in (at - window, at):
                counts = collections.Counter(
                    target for sent, target in sends if begin <= sent < begin + window
                )
                total = sum(counts.values())
                shares.append({target: n / total for target, n in counts.items()})
            before, after = shares
            moved = sum(
                max(0.0, share - before.get(target, 0.0))
                for target, share in after.items()
            )
            greatest = max(greatest, (moved, at))
            at += step
        return greatest

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _round_trip(self, first, second):
        if first == second:
            return SAME_DATA_CENTRE
        return (
            SAME_REGION
            if self._regions[first] == self._regions[second]
            else OTHER_REGION
        )

    def _arrive(self, now, site, counted):
        vm = self._rng.choice(self._vms[site.name])
        object_id = f"{site.region} {self._rng.randrange(self._objects)}"
        times = vm.times("r", self._target, True)
        request = placement_request.PlacementRequest(
            SERVICE, "r", object_id, True, self._target, self._timeout, 1.5, None,
            None, frozenset(),
        )  # fmt: skip
        choice = self._policy(vm, request, times, now)
        if choice is None:
            self.outcomes[site.name][2] += counted
            return
        record, chosen = choice
        self.regions[site.region, self._regions[record.data_centre]] += counted
        self.sends[site.region].append((now, self._regions[record.data_centre]))
        token = vm.begin(record, object_id, now)
        delay = self._round_trip(site.name, record.data_centre) / 2
        job = (vm, record, chosen, token, object_id, now, delay, site, counted, times)
        self._push(now + delay, self._reach_upstream, job)

    def _reach_upstream(self, now, job):
        target = self._upstreams[job[1].id]
        target.busy += 1
        if target.free:
            target.free -= 1
            self._start(now, target, job)
        else:
            target.queue.append(job)

    def _start(self, now, target, job):
        work = target.service_time(job[4], self._rng)
        self._push(now + work, self._finish, target, job)

    def _finish(self, now, target, job):
        target.busy -= 1
        if target.queue:
            self._start(now, target, target.queue.popleft())
        else:
            target.free += 1
        self._push(now + job[6], self._receive_response, job, target.busy)

    def _receive_response(self, now, job, busy):
        vm, record, chosen, token, _, sent, delay, site, counted, times = job
        load = vm.load(record, now)
        load.end(token)
        load.note_answer(now)
        load.note_report(busy, now)
        work = now - sent - 2 * delay
        if chosen is not None and chosen.busy < record.slots:
            hit = times.is_warm(work)
            vm.record_warm_hit(SERVICE, chosen, hit)
            times.learn(work)
        if counted:
            latency = now - sent
            late = latency > self._target
            index = 2 if latency > self._timeout else int(late)
            self.outcomes[site.name][index] += 1


def placer_policy(vm, request, times, now):
    """Return the upstream that the placer under test chooses."""
    chosen = vm.choose(request, times, now)
    return None if chosen is None else (chosen.record, chosen)


def least_busy(vm, request, times, now):
    """Return the least busy upstream of the VM's data centre, as a simple baseline."""
    records = [
        each
        for each in vm._registry.of_service(SERVICE)
        if each.data_centre == vm._data_centre
    ]
    best = min(records, key=lambda each: vm.load(each, now).busy(now))
    return best, None
