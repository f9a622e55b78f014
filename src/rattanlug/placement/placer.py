"""Chooses an upstream for each request.

Answers the load of many requests for few objects, over data centres with unequal
numbers of upstreams: an object stays with the upstream that has it warm, as long as
its queue is short, and leaves its data centre when that gives a better answer.
"""

import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

from rattanlug.desired import bounds, service
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import (
    candidate_groups,
    cold_budget,
    home_selector,
    placement,
    placement_request,
    region_shift,
    round_trips,
    service_times,
    startup_load,
    upstream_load,
    valuation,
    warm_estimator,
)

# Worth of keeping an object at its home, so that other VMs find it warm there.
HOME_BONUS = 0.1
# Worth of bringing an object to its home in the own data centre while that has free
# slots: the requests to come are spared the way to another region, where the object
# happens to be warm.
LOCAL_HOME_BONUS = 0.35
# Worth of sending the first requests to an upstream that is new.
NEWCOMER_BONUS = 0.4
# Answers after which an upstream is not new any more.
NEWCOMER_ANSWERS = 2
# More than another upstream gains usually, less than a refused request costs.
SHIFT_PENALTY = 0.6
# A silence longer than this multiple of the expected time says that the upstream is
# stuck.
SILENCE_RATIO = 2.0
# VMs come and go in seconds.
COUNT_SECONDS = 0.5
# Requests at an upstream relative to its slots, beyond which it gets no more.
FULL_RATIO = 3.0
# A value of an upstream in the own data centre above which no other is looked at.
GOOD_VALUE = 0.85
# Below this value a request is refused instead of sent.
LEAST_VALUE = 0.0
# Upstreams of another data centre that are considered besides those that may have the
# object warm; two random ones suffice to find a short queue.
SAMPLED_ELSEWHERE = 2


class _Known(NamedTuple):
    load: upstream_load.UpstreamLoad
    cold: cold_budget.ColdBudget


class Placer:
    """Knows the load of all upstreams and chooses among them.

    Parameters
    ----------
    data_centre, region : str
        Of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    registry : upstream_registry.UpstreamRegistry
    all_bounds : bounds.Bounds
    senders : callable
        Number of VMs in a data centre that may send to its upstreams; also takes a
        region, or an empty name for all VMs.
    rng : random.Random
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        region_of: Mapping[str, str],
        registry: upstream_registry.UpstreamRegistry,
        all_bounds: bounds.Bounds,
        senders: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._region = region
        self._region_of = region_of
        self._registry = registry
        self._bounds = all_bounds
        self._senders = senders
        self._rng = rng
        self._known: dict[str, tuple[int, _Known]] = {}
        self._times: dict[str, service_times.ServiceTimes] = {}
        self._groups = candidate_groups.CandidateGroups(registry, region_of)
        self._homes = home_selector.HomeSelector(
            region, region_of, lambda now: self._count_senders(data_centre, now)
        )
        self._start = startup_load.StartupLoad()
        self._warm = warm_estimator.WarmEstimator(region, region_of)
        self._services: Mapping[str, service.Service] = {}
        self._shift = region_shift.RegionShift(all_bounds.region_shift)
        self._round_trips = round_trips.RoundTrips(data_centre, region_of)
        # VMs by place, and when they were counted.
        self._sender_counts: dict[str, tuple[int, float]] = {}

    @property
    def round_trips(self) -> round_trips.RoundTrips:
        """Round trips to other data centres."""
        return self._round_trips

    def configure(self, services: Mapping[str, service.Service]) -> None:
        """Take the services of a new version of the desired state."""
        self._services = services

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take the data centres whose upstreams get no new requests."""
        if data_centres != self._groups.evacuated:
            self._groups.evacuate(data_centres)
            self._homes.clear()

    def upstreams_changed(self) -> None:
        """Drop what belongs to upstreams that are gone."""
        self._groups.clear()
        self._homes.clear()
        for upstream_id, (incarnation, known) in list(self._known.items()):
            record = self._registry.record(upstream_id)
            gone = record is None or record.incarnation != incarnation
            if gone and not known.load.in_flight:
                del self._known[upstream_id]

    def load(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> upstream_load.UpstreamLoad:
        """Return what is known about the load of an upstream."""
        return self._entry(record, now).load

    def times(
        self, route: str, target_latency: float, affinity: bool
    ) -> service_times.ServiceTimes:
        """Return the service times of a route."""
        found = self._times.get(route)
        if found is None:
            found = service_times.ServiceTimes(target_latency, affinity)
            self._times[route] = found
        return found

    def choose(
        self,
        wanted: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        now: float,
    ) -> placement.Placement | None:
        """Return the best upstream for a request, or None to refuse it.

        Parameters
        ----------
        wanted : placement_request.PlacementRequest
        times : service_times.ServiceTimes
            Of the request's route.
        now : float
            Seconds.
        """
        groups = self._groups.find(wanted)
        self._start.update(
            self._with_regions(groups),
            lambda record: self._entry(record, now).load.in_flight,
            lambda: max(0, self._count_senders(self._region, now) - 1),
            now,
        )
        far = None
        if wanted.object_id is not None:
            self._warm.note_request(wanted.service, wanted.object_id)
            far = self._warm.far_data_centre(wanted.object_id, list(groups))
        home_of = self._homes.homes(wanted, times, groups, now)
        allowed = self._shift.allowed_regions(now)
        best: placement.Placement | None = None
        # The own data centre first: a good answer there spares a look at the others.
        for data_centre in sorted(groups, key=self._is_elsewhere):
            if best is not None and best.value >= GOOD_VALUE:
                break
            found = self._best_of(wanted, times, data_centre, groups, far, home_of, now)
            if found is None:
                continue
            if not allowed(self._region_of.get(data_centre, "")):
                found = found._replace(value=found.value - SHIFT_PENALTY)
            if best is None or found.value > best.value:
                best = found
        return best

    def _with_regions(
        self, groups: candidate_groups.Groups
    ) -> Iterator[tuple[str, upstream_record.UpstreamRecord]]:
        for data_centre, group in groups.items():
            region = self._region_of.get(data_centre, "")
            for record in group:
                yield region, record

    def _is_elsewhere(self, data_centre: str) -> bool:
        return data_centre != self._data_centre

    def _best_of(
        self,
        wanted: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        data_centre: str,
        groups: candidate_groups.Groups,
        far: str | None,
        home_of: home_selector.HomeOf,
        now: float,
    ) -> placement.Placement | None:
        group = groups[data_centre]
        home = home_of(data_centre)
        best: placement.Placement | None = None
        for record in self._considered(wanted, data_centre, group, home, now):
            found = self._value(wanted, times, record, home, len(group), far, now)
            if found is None or found.value < LEAST_VALUE:
                continue
            if best is None or found.value > best.value:
                best = found
        return best

    def begin(
        self, record: upstream_record.UpstreamRecord, object_id: str | None, now: float
    ) -> int:
        """Note that a request is sent; return the token that ends it."""
        known = self._entry(record, now)
        known.cold.count(now)
        self._shift.count(self._region_of.get(record.data_centre, ""), now)
        if object_id is not None:
            known.load.objects.touch(object_id)
        return known.load.begin(now)

    def record_warm_hit(
        self, service_name: str, chosen: placement.Placement, hit: bool
    ) -> None:
        """Take whether the object of a request turned out to be warm."""
        self._warm.learn(service_name, chosen.ground, hit)

    def _entry(self, record: upstream_record.UpstreamRecord, now: float) -> _Known:
        found = self._known.get(record.id)
        if found is not None and found[0] == record.incarnation:
            return found[1]
        load = upstream_load.UpstreamLoad(record.slots, now)
        known = _Known(load, cold_budget.ColdBudget())
        self._known[record.id] = (record.incarnation, known)
        return known

    def _considered(
        self,
        wanted: placement_request.PlacementRequest,
        data_centre: str,
        group: Sequence[upstream_record.UpstreamRecord],
        home: str | None,
        now: float,
    ) -> Sequence[upstream_record.UpstreamRecord]:
        if data_centre == self._data_centre or len(group) <= SAMPLED_ELSEWHERE:
            return group
        sample = self._rng.sample(group, SAMPLED_ELSEWHERE)
        object_id = wanted.object_id
        if object_id is None:
            return sample
        warm = [
            each
            for each in group
            if each.id == home or object_id in self._entry(each, now).load.objects
        ]
        return warm + [each for each in sample if each not in warm]

    def _value(
        self,
        wanted: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        record: upstream_record.UpstreamRecord,
        home: str | None,
        group_size: int,
        far: str | None,
        now: float,
    ) -> placement.Placement | None:
        known = self._entry(record, now)
        load = known.load
        region = self._region_of.get(record.data_centre, "")
        busy = load.busy(now, self._start.unreported(region))
        if busy >= FULL_RATIO * record.slots or load.is_paused(now):
            return None
        if not self._cold_allows(record, known, now):
            return None
        slowdown = load.slowdown(now)
        way = self._round_trips.estimate(record.data_centre)
        way += _wait(load, busy, times, slowdown, now)
        ground = self._ground(wanted, record, load, home, group_size, far)
        warm = self._warm.probability(ground)
        same = record.data_centre == self._data_centre
        value = 0.0
        if not same:
            near = self._region_of.get(record.data_centre) == self._region
            value -= valuation.crossing_cost(wanted.kilobytes, near)
        seconds = way
        survival = 1.0 - load.failure_share(now)
        slot_cost = valuation.slot_second_cost(busy, record.slots)
        for probability, work in ((warm, times.warm), (1.0 - warm, times.cold)):
            if probability <= 0.0:
                continue
            work *= slowdown
            worth = valuation.answer_worth(
                way + work, wanted.time_to_target, wanted.time_left
            )
            value += probability * (survival * worth - slot_cost * work)
            seconds += probability * work
        if record.id == home and ground is not warm_estimator.Ground.NONE:
            value += HOME_BONUS
            near = ground is warm_estimator.Ground.HOME_NEAR
            if near and same and busy < record.slots:
                value += LOCAL_HOME_BONUS
        if same and load.answers < NEWCOMER_ANSWERS and load.in_flight == 0:
            value += NEWCOMER_BONUS
        return placement.Placement(record, value, seconds, busy, warm, ground)

    def _count_senders(self, place: str, now: float) -> int:
        """Return the VMs of a data centre or region, counted once in a while."""
        found = self._sender_counts.get(place)
        if found is None or now - found[1] >= COUNT_SECONDS:
            found = (self._senders(place), now)
            self._sender_counts[place] = found
        return found[0]

    def _ground(
        self,
        wanted: placement_request.PlacementRequest,
        record: upstream_record.UpstreamRecord,
        load: upstream_load.UpstreamLoad,
        home: str | None,
        group_size: int,
        far: str | None,
    ) -> warm_estimator.Ground:
        if wanted.object_id is None:
            return warm_estimator.Ground.NONE
        kept = self._warm.kept(wanted.service)
        return self._warm.ground(
            wanted.service,
            wanted.object_id,
            record.data_centre,
            group_size,
            record.id == home,
            load.objects.holds(wanted.object_id, kept),
            far,
        )

    def _cold_allows(
        self, record: upstream_record.UpstreamRecord, known: _Known, now: float
    ) -> bool:
        if self._registry.cold_seconds(record.id, now) <= 0.0:
            return True
        described = self._services.get(record.service)
        if described is None or described.warmup_rate <= 0.0:
            return True
        senders = self._senders(record.data_centre)
        if record.data_centre != self._data_centre and senders > 0:
            return False
        bound = (
            described.warmup_rate * self._bounds.cold_factor + self._bounds.cold_slack
        )
        return known.cold.allows(bound, senders or self._senders(""), now)


def _wait(
    load: upstream_load.UpstreamLoad,
    busy: float,
    times: service_times.ServiceTimes,
    slowdown: float,
    now: float,
) -> float:
    """Return the expected time until a slot is free, seconds."""
    wait = 0.0
    if busy + 1.0 > load.slots:
        typical = 0.5 * (times.warm + times.cold) * slowdown
        wait = (busy + 1.0 - load.slots) * typical / load.slots
    silence = load.silence(now)
    if silence > SILENCE_RATIO * times.cold:
        wait += silence
    return wait
