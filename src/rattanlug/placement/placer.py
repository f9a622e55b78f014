"""Selects an upstream for each request.

The selection is built for many requests for few objects, in data centres with unequal
numbers of upstreams. Requests for an object go to the upstream that has it cached
("warm") as long as its queue is short. They go to another data centre when a better
response is expected from there. The upstream that preferably serves an object is its
home; see `home_selector`. An upstream is cold while it warms up after its start, and a
service time is cold if the upstream doesn't have the object cached.

Values, bonuses and penalties are relative to the value of a response within the target
latency; see `valuation`.
"""

import math
import random
from collections.abc import Callable, Iterator, Mapping, Sequence

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

# Value of sending a request to the object's home, so that other VMs find the object
# cached there.
HOME_BONUS = 0.1
# Additional value if the home is in this VM's data centre and has free slots. It makes
# later requests for the object local, even if the object is currently cached only in
# another region.
LOCAL_HOME_BONUS = 0.35
# Value of sending the first requests to a new upstream.
NEW_UPSTREAM_BONUS = 0.4
# Responses after which an upstream is no longer new.
NEW_UPSTREAM_RESPONSES = 2
# Penalty on the upstreams of a region whose share of the requests grows too fast. It is
# larger than the usual difference between the values of two upstreams, and smaller than
# the loss from a rejected request.
REGION_SHIFT_PENALTY = 0.6
# The number of VMs is cached for this time; VMs start and stop within seconds.
SENDER_COUNT_TTL_SECONDS = 0.5
# Ratio of requests to slots at which an upstream receives no more requests.
FULL_RATIO = 3.0
# With an upstream of at least this value, further data centres aren't considered.
SUFFICIENT_VALUE = 0.85
# Below this value, a request is rejected instead of sent.
MIN_VALUE = 0.0
# Upstreams of another data centre that are considered besides those that may have the
# object cached; two random ones suffice to find a short queue.
REMOTE_SAMPLE_SIZE = 2


class Placer:
    """Tracks the load of all upstreams and selects the upstream of each request.

    Parameters
    ----------
    data_centre, region : str
        Location of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    registry : upstream_registry.UpstreamRegistry
    all_bounds : bounds.Bounds
        Limits of the deployment.
    senders : callable
        Takes the name of a data centre or region, or an empty string for all; returns
        the number of VMs there.
    possible_senders : callable
        Takes the name of a data centre, or an empty string for all, and the time on the
        VM's monotonic clock, seconds; returns how many VMs there may be sending,
        including silent ones.
    rng : random.Random
    started_at : float, optional
        Time at which this process began to serve, on the VM's monotonic clock, seconds;
        infinite until `start`.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        region_of: Mapping[str, str],
        registry: upstream_registry.UpstreamRegistry,
        all_bounds: bounds.Bounds,
        senders: Callable[[str], int],
        possible_senders: Callable[[str, float], float],
        rng: random.Random,
        started_at: float = -math.inf,
    ) -> None:
        self._data_centre = data_centre
        self._region = region
        self._region_of = region_of
        self._registry = registry
        self._bounds = all_bounds
        self._senders = senders
        self._possible_senders = possible_senders
        self._rng = rng
        self._started_at = started_at
        # Incarnation and load of each upstream, by id.
        self._upstreams: dict[str, tuple[int, upstream_load.UpstreamLoad]] = {}
        # Kept for upstreams whose registration is missing for a moment, too.
        self._cold_budgets: dict[str, cold_budget.ColdBudget] = {}
        self._times: dict[str, service_times.ServiceTimes] = {}
        self._groups = candidate_groups.CandidateGroups(registry, region_of)
        self._home_selector = home_selector.HomeSelector(
            region, region_of, lambda now: self._count_senders(data_centre, now)
        )
        self._startup_load = startup_load.StartupLoad()
        self._warm_estimator = warm_estimator.WarmEstimator(region, region_of)
        self._services: Mapping[str, service.Service] = {}
        self._region_shift = region_shift.RegionShiftLimiter(all_bounds.region_shift)
        self._round_trips = round_trips.RoundTrips(data_centre, region_of)
        # Number of VMs by data centre or region, and when they were counted.
        self._sender_counts: dict[str, tuple[int, float]] = {}

    @property
    def round_trips(self) -> round_trips.RoundTrips:
        """Round-trip times to the other data centres."""
        return self._round_trips

    def start(self, now: float) -> None:
        """Record that this process begins to serve, and no earlier one of the VM does.

        The earlier process may have used up the limits of cold upstreams until now.
        """
        self._started_at = now

    def set_bounds(self, all_bounds: bounds.Bounds) -> None:
        """Replace the limits of the deployment."""
        self._bounds = all_bounds
        self._region_shift.set_bound(all_bounds.region_shift)

    def configure(self, services: Mapping[str, service.Service]) -> None:
        """Apply the services of a new version of the desired state."""
        self._services = services

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose upstreams receive no new requests."""
        if data_centres != self._groups.evacuated:
            self._groups.evacuate(data_centres)
            self._home_selector.clear()

    def upstreams_changed(self, now: float) -> None:
        """Clear caches and remove the state of upstreams that are gone."""
        self._groups.clear()
        self._home_selector.clear()
        for upstream_id, (incarnation, load) in list(self._upstreams.items()):
            record = self._registry.record(upstream_id)
            gone = record is None or record.incarnation != incarnation
            if gone and not load.in_flight:
                del self._upstreams[upstream_id]
        for upstream_id, budget in list(self._cold_budgets.items()):
            if self._registry.record(upstream_id) is None and budget.is_unused(now):
                del self._cold_budgets[upstream_id]

    def load(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> upstream_load.UpstreamLoad:
        """Return the load of an upstream."""
        entry = self._upstreams.get(record.id)
        if entry is not None and entry[0] == record.incarnation:
            return entry[1]
        load = upstream_load.UpstreamLoad(record.slots, now)
        self._upstreams[record.id] = (record.incarnation, load)
        return load

    def times(
        self, route: str, target_latency: float, affinity: bool
    ) -> service_times.ServiceTimes:
        """Return the service times of a route.

        The first call for a route sets its target latency, seconds, and whether
        upstreams are faster with cached objects.
        """
        times = self._times.get(route)
        if times is None:
            times = service_times.ServiceTimes(target_latency, affinity)
            self._times[route] = times
        return times

    def choose(
        self,
        request: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        now: float,
    ) -> placement.Placement | None:
        """Return the best upstream for a request, or None to reject it.

        Parameters
        ----------
        request : placement_request.PlacementRequest
        times : service_times.ServiceTimes
            Service times of the request's route.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        groups = self._groups.find(request)
        self._startup_load.update(
            self._with_regions(groups),
            lambda record: self.load(record, now).in_flight,
            lambda: max(0, self._count_senders(self._region, now) - 1),
            now,
        )
        remote_data_centre = None
        if request.object_id is not None:
            self._warm_estimator.record_request(request.service, request.object_id)
            remote_data_centre = self._warm_estimator.remote_data_centre(
                request.object_id, list(groups)
            )
        home_of = self._home_selector.homes(request, times, groups, now)
        allowed = self._region_shift.allowed_regions(now)
        best: placement.Placement | None = None
        # The VM's own data centre comes first: with a good upstream there, the others
        # needn't be considered.
        for data_centre in sorted(groups, key=self._is_remote):
            if best is not None and best.value >= SUFFICIENT_VALUE:
                break
            candidate = self._best_in(
                request, times, data_centre, groups, remote_data_centre, home_of, now
            )
            if candidate is None:
                continue
            if not allowed(self._region_of.get(data_centre, "")):
                candidate = candidate._replace(
                    value=candidate.value - REGION_SHIFT_PENALTY
                )
            if best is None or candidate.value > best.value:
                best = candidate
        return best

    def _with_regions(
        self, groups: candidate_groups.Groups
    ) -> Iterator[tuple[str, upstream_record.UpstreamRecord]]:
        for data_centre, group in groups.items():
            region = self._region_of.get(data_centre, "")
            for record in group:
                yield region, record

    def _is_remote(self, data_centre: str) -> bool:
        return data_centre != self._data_centre

    def _best_in(
        self,
        request: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        data_centre: str,
        groups: candidate_groups.Groups,
        remote_data_centre: str | None,
        home_of: home_selector.HomeOf,
        now: float,
    ) -> placement.Placement | None:
        group = groups[data_centre]
        home = home_of(data_centre)
        best: placement.Placement | None = None
        for record in self._candidates(request, data_centre, group, home, now):
            candidate = self._evaluate(
                request, times, record, home, len(group), remote_data_centre, now
            )
            if candidate is None or candidate.value < MIN_VALUE:
                continue
            if best is None or candidate.value > best.value:
                best = candidate
        return best

    def begin(
        self,
        record: upstream_record.UpstreamRecord,
        object_id: str | None,
        now: float,
        expected_seconds: float = 0.0,
    ) -> int:
        """Record that a request is sent; return the token for `UpstreamLoad.end`.

        Parameters
        ----------
        record : upstream_record.UpstreamRecord
        object_id : str or None
        now : float
            Time on the VM's monotonic clock, seconds.
        expected_seconds : float
            Expected service time without the object in the upstream's cache.
        """
        load = self.load(record, now)
        self._cold_budget(record).count(now)
        self._region_shift.count(self._region_of.get(record.data_centre, ""), now)
        if object_id is not None:
            load.objects.touch(object_id)
        return load.begin(now, expected_seconds)

    def may_send(
        self, record: upstream_record.UpstreamRecord, begun_at: float, now: float
    ) -> bool:
        """Tell whether a request whose connection is open now may still be sent.

        Meanwhile, the upstream may have become cold, or its limit may have been used up
        by other requests. From now on, the request counts as sent now.

        Parameters
        ----------
        record : upstream_record.UpstreamRecord
        begun_at : float
            Time that was passed to `begin`, seconds.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        budget = self._cold_budget(record)
        budget.uncount(begun_at)
        if not self._cold_budget_allows(record, now):
            return False
        budget.count(now)
        return True

    def record_warm_hit(
        self, service_name: str, chosen: placement.Placement, hit: bool
    ) -> None:
        """Record whether the upstream had the object of a request cached."""
        self._warm_estimator.record(service_name, chosen.ground, hit)

    def _cold_budget(
        self, record: upstream_record.UpstreamRecord
    ) -> cold_budget.ColdBudget:
        budget = self._cold_budgets.get(record.id)
        if budget is None:
            budget = self._cold_budgets[record.id] = cold_budget.ColdBudget()
        return budget

    def _candidates(
        self,
        request: placement_request.PlacementRequest,
        data_centre: str,
        group: Sequence[upstream_record.UpstreamRecord],
        home: str | None,
        now: float,
    ) -> Sequence[upstream_record.UpstreamRecord]:
        """Return the upstreams of a data centre that are evaluated for a request."""
        if data_centre == self._data_centre or len(group) <= REMOTE_SAMPLE_SIZE:
            return group
        sample = self._rng.sample(group, REMOTE_SAMPLE_SIZE)
        object_id = request.object_id
        if object_id is None:
            return sample
        likely_cached = [
            each
            for each in group
            if each.id == home or object_id in self.load(each, now).objects
        ]
        return likely_cached + [each for each in sample if each not in likely_cached]

    def _evaluate(
        self,
        request: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        record: upstream_record.UpstreamRecord,
        home: str | None,
        group_size: int,
        remote_data_centre: str | None,
        now: float,
    ) -> placement.Placement | None:
        """Return an upstream with its value, or None if it can't take a request."""
        load = self.load(record, now)
        region = self._region_of.get(record.data_centre, "")
        busy = load.busy(now, self._startup_load.unreported(region))
        if busy >= FULL_RATIO * record.slots or load.is_paused(now):
            return None
        if not self._cold_budget_allows(record, now):
            return None
        slowdown = load.slowdown(now)
        delay = self._round_trips.estimate(record.data_centre)
        delay += _queueing_delay(load, busy, times, slowdown, now)
        ground = self._ground(
            request, record, load, home, group_size, remote_data_centre
        )
        hit_probability = self._warm_estimator.probability(ground)
        is_local = record.data_centre == self._data_centre
        value = 0.0
        if not is_local:
            same_region = self._region_of.get(record.data_centre) == self._region
            value -= valuation.transfer_cost(request.kilobytes, same_region)
        seconds = delay
        success_share = 1.0 - load.failure_share(now)
        slot_cost = valuation.slot_second_cost(busy, record.slots)
        for probability, service_seconds in (
            (hit_probability, times.warm),
            (1.0 - hit_probability, times.cold),
        ):
            if probability <= 0.0:
                continue
            service_seconds *= slowdown
            gain = valuation.response_value(
                delay + service_seconds, request.time_to_target, request.time_left
            )
            value += probability * (success_share * gain - slot_cost * service_seconds)
            seconds += probability * service_seconds
        if record.id == home and ground is not warm_estimator.Ground.NONE:
            value += HOME_BONUS
            is_near_home = ground is warm_estimator.Ground.HOME_NEAR
            if is_near_home and is_local and busy < record.slots:
                value += LOCAL_HOME_BONUS
        if is_local and load.answers < NEW_UPSTREAM_RESPONSES and load.in_flight == 0:
            value += NEW_UPSTREAM_BONUS
        return placement.Placement(
            record, value, seconds, busy, hit_probability, ground
        )

    def _count_senders(self, location: str, now: float) -> int:
        """Return the cached number of VMs of a data centre or region."""
        entry = self._sender_counts.get(location)
        if entry is None or now - entry[1] >= SENDER_COUNT_TTL_SECONDS:
            entry = (self._senders(location), now)
            self._sender_counts[location] = entry
        return entry[0]

    def _ground(
        self,
        request: placement_request.PlacementRequest,
        record: upstream_record.UpstreamRecord,
        load: upstream_load.UpstreamLoad,
        home: str | None,
        group_size: int,
        remote_data_centre: str | None,
    ) -> warm_estimator.Ground:
        if request.object_id is None:
            return warm_estimator.Ground.NONE
        cache_size = self._warm_estimator.cache_size(request.service)
        return self._warm_estimator.ground(
            request.service,
            request.object_id,
            record.data_centre,
            group_size,
            record.id == home,
            load.objects.is_among_latest(request.object_id, cache_size),
            remote_data_centre,
        )

    def _cold_budget_allows(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> bool:
        """Tell whether an upstream's warm-up permits one more request.

        A cold upstream receives requests only from the VMs of its data centre, if there
        may be any there.
        """
        if self._registry.cold_seconds(record.id, now) <= 0.0:
            return True
        settings = self._services.get(record.service)
        if settings is None or settings.warmup_rate <= 0.0:
            return True
        # Others, such as the earlier process of this VM, may have used up the limit.
        may_send_from = cold_budget.WINDOW_SECONDS + max(
            self._started_at, self._registry.became_cold_at(record.id)
        )
        if now < may_send_from:
            return False
        senders = self._possible_senders(record.data_centre, now)
        if record.data_centre != self._data_centre and senders > 0:
            return False
        bound = (
            settings.warmup_rate * self._bounds.cold_factor + self._bounds.cold_slack
        )
        return self._cold_budget(record).allows(
            bound, senders or self._possible_senders("", now), now
        )


def _queueing_delay(
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
    if silence > upstream_load.OVERDUE_RATIO * times.cold:
        wait += silence
    return wait
