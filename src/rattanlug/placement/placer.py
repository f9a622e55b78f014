"""Chooses an upstream for each request.

Answers the load of many requests for few objects, over data centres with unequal
numbers of upstreams: an object stays with the upstream that has it warm, as long as
its queue is short, and leaves its data centre when that gives a better answer.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from rattanlug.desired import service
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import (
    cold_budget,
    demand,
    distances,
    object_homes,
    placement,
    region_shift,
    service_times,
    upstream_load,
    valuation,
    warm_objects,
)
from rattanlug.settings import bounds

# Worth of keeping an object at its home, so that other VMs find it warm there.
HOME_BONUS = 0.05
# Worth of sending the first requests to an upstream that is new.
NEWCOMER_BONUS = 0.4
# Answers after which an upstream is not new any more.
NEWCOMER_ANSWERS = 2
# Costs less than a failed request, more than a better upstream gains.
SHIFT_PENALTY = 0.6
# A silence longer than this multiple of the expected time says that the upstream is
# stuck.
SILENCE_RATIO = 2.0
# Requests at an upstream relative to its slots, beyond which it gets no more.
FULL_RATIO = 3.0
# Below this value a request is refused instead of sent.
LEAST_VALUE = 0.0
# Random part of a value, so that VMs with equal knowledge do not all choose alike.
JITTER = 0.01


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
        Number of VMs in a data centre that may send to its upstreams.
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
        self._known: dict[tuple[str, int], _Known] = {}
        self._times: dict[str, service_times.ServiceTimes] = {}
        self._homes = object_homes.ObjectHomes()
        self._warm = warm_objects.WarmObjects(region, region_of)
        self._services: Mapping[str, service.Service] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._shift = region_shift.RegionShift(all_bounds.region_shift)
        self._distances = distances.Distances(data_centre, region_of)

    @property
    def distances(self) -> distances.Distances:
        """Round trips to other data centres."""
        return self._distances

    def configure(self, services: Mapping[str, service.Service]) -> None:
        """Take the services of a new version of the desired state."""
        self._services = services

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take the data centres whose upstreams get no new requests."""
        self._evacuated = data_centres

    def upstreams_changed(self, now: float) -> None:
        """Drop what belongs to upstreams that are gone."""
        self._homes.clear()
        for identity in list(self._known):
            record = self._registry.record(identity[0])
            known = self._known[identity]
            gone = record is None or record.incarnation != identity[1]
            if gone and not known.load.in_flight:
                del self._known[identity]

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
        wanted: demand.Demand,
        times: service_times.ServiceTimes,
        now: float,
    ) -> placement.Placement | None:
        """Return the best upstream for a request, or None to refuse it.

        Parameters
        ----------
        wanted : demand.Demand
        times : service_times.ServiceTimes
            Of the request's route.
        now : float
            Seconds.
        """
        groups = self._groups(wanted)
        far = None
        if wanted.object_id is not None:
            self._warm.note_request(wanted.service, wanted.object_id)
            far = self._warm.far_data_centre(wanted.object_id, list(groups))
        best: placement.Placement | None = None
        for data_centre, group in groups.items():
            region = self._region_of.get(data_centre, "")
            penalty = 0.0 if self._shift.allows(region, now) else SHIFT_PENALTY
            home = self._home(wanted, data_centre, group)
            for record in group:
                found = self._value(wanted, times, record, home, len(group), far, now)
                if found is None:
                    continue
                if found.value < LEAST_VALUE:
                    continue
                found = found._replace(value=found.value - penalty)
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

    def learn_warmth(
        self, service_name: str, chosen: placement.Placement, hit: bool
    ) -> None:
        """Take whether the object of a request turned out to be warm."""
        self._warm.learn(service_name, chosen.ground, hit)

    def _entry(self, record: upstream_record.UpstreamRecord, now: float) -> _Known:
        identity = (record.id, record.incarnation)
        known = self._known.get(identity)
        if known is None:
            load = upstream_load.UpstreamLoad(record.slots, now)
            known = _Known(load, cold_budget.ColdBudget())
            self._known[identity] = known
        return known

    def _groups(
        self, wanted: demand.Demand
    ) -> dict[str, list[upstream_record.UpstreamRecord]]:
        groups: dict[str, list[upstream_record.UpstreamRecord]] = {}
        for record in self._registry.of_service(wanted.service):
            if record.data_centre in self._evacuated or record.id in wanted.excluded:
                continue
            if wanted.versions is not None and record.version not in wanted.versions:
                continue
            region = self._region_of.get(record.data_centre, "")
            if wanted.home_regions is not None and region not in wanted.home_regions:
                continue
            groups.setdefault(record.data_centre, []).append(record)
        return groups

    def _home(
        self,
        wanted: demand.Demand,
        data_centre: str,
        group: Sequence[upstream_record.UpstreamRecord],
    ) -> str | None:
        if wanted.object_id is None:
            return None
        versions = "" if wanted.versions is None else ",".join(sorted(wanted.versions))
        name = f"{wanted.service} {versions} {','.join(sorted(wanted.excluded))}"
        return self._homes.home(wanted.object_id, name, data_centre, group)

    def _value(
        self,
        wanted: demand.Demand,
        times: service_times.ServiceTimes,
        record: upstream_record.UpstreamRecord,
        home: str | None,
        group_size: int,
        far: str | None,
        now: float,
    ) -> placement.Placement | None:
        known = self._entry(record, now)
        load = known.load
        busy = load.busy(now)
        if busy >= FULL_RATIO * record.slots or load.is_paused(now):
            return None
        if not self._cold_allows(record, known, now):
            return None
        slowdown = load.slowdown(now)
        typical = 0.5 * (times.warm + times.cold) * slowdown
        wait = max(0.0, busy + 1.0 - record.slots) * typical / record.slots
        silence = load.silence(now)
        if silence > SILENCE_RATIO * times.cold:
            wait += silence
        way = self._distances.round_trip(record.data_centre) + wait
        ground = self._ground(wanted, record, load, home, group_size, far)
        warm = self._warm.probability(ground)
        same = record.data_centre == self._data_centre
        value = -valuation.crossing_cost(
            wanted.kilobytes,
            same,
            self._region_of.get(record.data_centre) == self._region,
        )
        seconds = way
        survival = 1.0 - load.failure_share(now)
        for probability, work in ((warm, times.warm), (1.0 - warm, times.cold)):
            if probability <= 0.0:
                continue
            work *= slowdown
            worth = valuation.answer_worth(
                way + work, wanted.target_left, wanted.time_left
            )
            value += probability * (
                survival * worth - valuation.SLOT_SECOND_COST * work
            )
            seconds += probability * work
        if record.id == home and ground is not warm_objects.Ground.NONE:
            value += HOME_BONUS
        if load.answers < NEWCOMER_ANSWERS and load.in_flight == 0 and same:
            value += NEWCOMER_BONUS
        value += JITTER * self._rng.random()
        return placement.Placement(record, value, seconds, busy, warm, ground)

    def _ground(
        self,
        wanted: demand.Demand,
        record: upstream_record.UpstreamRecord,
        load: upstream_load.UpstreamLoad,
        home: str | None,
        group_size: int,
        far: str | None,
    ) -> warm_objects.Ground:
        if wanted.object_id is None:
            return warm_objects.Ground.NONE
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
