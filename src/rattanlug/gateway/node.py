"""State and components of the gateway daemon of one VM."""

from __future__ import annotations

import math
import random

from rattanlug.canary import outcome_window, record_codec, version_choice
from rattanlug.daemon import clock
from rattanlug.desired import freshness, holder
from rattanlug.discovery import upstream_registry
from rattanlug.fleet import data_centre_digest, digest, peer_table
from rattanlug.gateway import (
    decision_log,
    loop_lag,
    loop_utilisation,
    process_phase,
    reading_gate,
)
from rattanlug.logs import state_log
from rattanlug.metrics import counters, histograms
from rattanlug.placement import placer
from rattanlug.platform import names, operator_table, store_client
from rattanlug.rate_limits import limiter_table
from rattanlug.retries import service_retry_budget
from rattanlug.settings import gateway_settings
from rattanlug.tables import store_era, table_set
from rattanlug.upstream import connection_pools, deadline_backend, memory_budget

_MILLISECONDS = 1000
# A VM counts as alive until it has been silent for this fraction of ``bounds.contact``,
# the time within which look-ups must stop naming a silent VM.
ALIVE_CONTACT_FRACTION = 0.85
# The demand in a VM's last digest counts for this time, which is longer than the VM may
# accept keys without access to the store.
DEMAND_RETENTION_SECONDS = 7.0
# If most VMs fall silent at once, this VM is more likely cut off from the network than
# the last one running; the demand of the silent VMs then counts for this time.
CUT_OFF_RETENTION_SECONDS = 25.0
# A VM that has been silent for longer can't be its data centre's reporter, the VM that
# sends the digest of the whole data centre to the other data centres. The time allows
# one digest of the VM to be lost.
REPORTER_MAX_SILENCE_SECONDS = 2.3
# A single stall of this length makes no response late and is no reason to reject
# requests. A process that has used up its CPU quota, for instance, is stalled for the
# rest of a 0.1 s period.
TOLERATED_STALL_SECONDS = 0.15
# VMs whose last digest is at most this old share the fleet's rates and retry budgets.
RECENT_CONTACT_SECONDS = 12.0
# Digests of a VM that is leaving may arrive this much earlier than it ends.
LEAVING_MARGIN_SECONDS = 1.0


class Node:
    """Creates the components and connects them.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    """

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        self._settings = settings
        self._started_at = clock.now()
        # Infinite until the ports, which an earlier process may hold, are open.
        self._serves_since = math.inf
        self._incarnation = int(clock.wall_now() * _MILLISECONDS)
        self._rng = random.Random(f"{settings.vm}:{self._incarnation}")
        self._counters = counters.Counters()
        self._histograms = histograms.Histograms()
        self._log = decision_log.DecisionLog(self._counters)
        self._desired = holder.StateHolder()
        self._operators = operator_table.OperatorTable()
        self._registry = upstream_registry.UpstreamRegistry(settings.heartbeat)
        self._peers = peer_table.PeerTable(settings.vm, settings.data_centre)
        self._limiters = limiter_table.LimiterTable(settings.bounds)
        self._lag = loop_lag.LoopLag()
        self._utilisation = loop_utilisation.LoopUtilisation(
            lambda seconds: self._histograms.record("loop_turn", seconds)
        )
        self._outcomes = outcome_window.OutcomeWindow()
        self._versions = version_choice.VersionChoice(self._rng)
        self._store_era = store_era.StoreEra()
        self._store = store_client.StoreClient(
            settings.store.address,
            settings.host,
            clock.now,
            self._counters,
            self._histograms,
            deadline_backend.DeadlineBackend(clock.now),
            self._store_era,
        )
        self._memory = memory_budget.MemoryBudget(settings.memory_bytes)
        self._pools = connection_pools.ConnectionPools(
            settings.host,
            names.REQUEST_ID,
            clock.now,
            self._counters,
            self._memory,
            reading_gate.ReadingGate(self._utilisation).take_turn,
        )
        self._placer = placer.Placer(
            settings.data_centre,
            settings.region,
            settings.region_of,
            self._registry,
            settings.bounds,
            self.vm_count,
            self.possible_senders,
            self._rng,
            started_at=math.inf,
        )
        self._retry_budgets: dict[str, service_retry_budget.ServiceRetryBudget] = {}
        # VMs that registered in the store, by data centre.
        self._registered_vms: dict[str, set[str]] = {}
        self._tables = table_set.TableSet(
            (names.OPERATOR_TABLE, names.UPSTREAM_TABLE, record_codec.TABLE)
        )
        self._follows_rollouts = False
        self._upstreams_read = False
        self._store_outcome = "unknown"
        self._leaving = False
        self._ends_at = math.inf
        self._sequence = 0

    @property
    def settings(self) -> gateway_settings.GatewaySettings:
        """Settings of this daemon."""
        return self._settings

    @property
    def incarnation(self) -> int:
        """Number that increases with each start of the daemon."""
        return self._incarnation

    @property
    def rng(self) -> random.Random:
        """Random generator for choices that must differ between VMs."""
        return self._rng

    @property
    def counters(self) -> counters.Counters:
        """Counters of this daemon."""
        return self._counters

    @property
    def histograms(self) -> histograms.Histograms:
        """Latency histograms of this daemon."""
        return self._histograms

    @property
    def log(self) -> decision_log.DecisionLog:
        """Rate-limited log of decisions."""
        return self._log

    @property
    def lag(self) -> loop_lag.LoopLag:
        """Lag of the event loop."""
        return self._lag

    @property
    def utilisation(self) -> loop_utilisation.LoopUtilisation:
        """Utilisation of the event loop."""
        return self._utilisation

    @property
    def desired(self) -> holder.StateHolder:
        """Active desired state and its age."""
        return self._desired

    @property
    def operators(self) -> operator_table.OperatorTable:
        """Desired state, rollout orders and evacuations written by operators."""
        return self._operators

    @property
    def registry(self) -> upstream_registry.UpstreamRegistry:
        """Registered upstreams."""
        return self._registry

    @property
    def peers(self) -> peer_table.PeerTable:
        """Digests of the other VMs."""
        return self._peers

    @property
    def limiters(self) -> limiter_table.LimiterTable:
        """Rate limiters of the organisations."""
        return self._limiters

    @property
    def outcomes(self) -> outcome_window.OutcomeWindow:
        """Recent outcomes of requests, by version, for rollouts."""
        return self._outcomes

    @property
    def versions(self) -> version_choice.VersionChoice:
        """Choice of the versions that may serve a request."""
        return self._versions

    @property
    def store(self) -> store_client.StoreClient:
        """Client of the platform's store."""
        return self._store

    @property
    def store_era(self) -> store_era.StoreEra:
        """Latest known era of the store."""
        return self._store_era

    @property
    def tables(self) -> table_set.TableSet:
        """Copies of the store's tables."""
        return self._tables

    @property
    def follows_rollouts(self) -> bool:
        """Whether the rollout records are kept up to date."""
        return self._follows_rollouts

    @property
    def pools(self) -> connection_pools.ConnectionPools:
        """Connection pools of the upstreams."""
        return self._pools

    @property
    def memory(self) -> memory_budget.MemoryBudget:
        """Limit on the memory for the bodies of requests and responses."""
        return self._memory

    @property
    def placer(self) -> placer.Placer:
        """Choice of an upstream."""
        return self._placer

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving

    @property
    def ends_at(self) -> float:
        """Time by which the process ends, monotonic seconds; infinite by default."""
        return self._ends_at

    @property
    def knows_upstreams(self) -> bool:
        """Whether the upstreams have been read since the start."""
        return self._upstreams_read

    @property
    def ready(self) -> bool:
        """Whether this VM serves requests."""
        return (
            not self._leaving
            and self._desired.state is not None
            and self._upstreams_read
        )

    def phase(self, now: float) -> process_phase.ProcessPhase:
        """Return the phase of this daemon between its start and its end."""
        bounds = self._settings.bounds
        return process_phase.process_phase(
            self._serves_since, self._leaving, bounds.stop, bounds.contact, now
        )

    def uptime(self, now: float) -> float:
        """Return the time since the start of this daemon, seconds."""
        return now - self._started_at

    def begin_serving(self, now: float) -> None:
        """Record that all ports are open, so that no earlier process of the VM serves.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._serves_since = now
        self._placer.start(now)

    def set_follow_rollouts(self, enabled: bool) -> None:
        """Set whether the rollout records are kept up to date."""
        self._follows_rollouts = enabled

    def follow_candidates(self, now: float) -> dict[str, str]:
        """Return the hosts of the VMs whose tables this one may follow, by VM.

        These are the live VMs of the region whose names sort before this one's.
        """
        settings = self._settings
        limit = ALIVE_CONTACT_FRACTION * settings.bounds.contact
        return {
            each.vm: each.host
            for each in self._peers.recent_digests(limit, now)
            if each.vm < settings.vm
            and not each.leaving
            and settings.region_of.get(each.data_centre) == settings.region
        }

    def processing_delay(self, arrived_at: float, now: float) -> float:
        """Return by how much this VM is late in processing requests, seconds.

        Parameters
        ----------
        arrived_at : float
            Earliest possible arrival time of the current request, monotonic seconds.
        now : float
            Monotonic seconds.
        """
        waited_for = max(self._utilisation.iteration_seconds(now), now - arrived_at)
        return max(self._lag.seconds(now), waited_for - TOLERATED_STALL_SECONDS)

    def overloaded(self, now: float) -> bool:
        """Tell whether look-ups should name VMs of other data centres too."""
        return self._utilisation.is_busy or self._lag.overloaded(now)

    def reload(self, settings: gateway_settings.GatewaySettings) -> list[str]:
        """Replace the settings; return the names of those that changed."""
        before = self._settings._asdict()
        changed = [
            name for name, value in settings._asdict().items() if before[name] != value
        ]
        self._settings = settings
        all_bounds = settings.bounds
        self._limiters.set_bounds(all_bounds)
        self._placer.set_bounds(all_bounds)
        for each in self._retry_budgets.values():
            each.set_limits(
                all_bounds.retry_ratio, all_bounds.retry_slack, all_bounds.retry_window
            )
        return changed

    def leave(self, ends_at: float) -> None:
        """Begin a graceful shutdown.

        Parameters
        ----------
        ends_at : float
            Time by which the process ends, monotonic seconds.
        """
        self._leaving = True
        self._ends_at = ends_at

    def record_upstreams_read(self) -> None:
        """Record that the upstreams have been read."""
        self._upstreams_read = True

    def record_store_outcome(self, outcome: str, reason: str) -> None:
        """Record the outcome of a call to the store, and log a change."""
        state_log.log_change("store", self._store_outcome, outcome, reason=reason)
        self._store_outcome = outcome

    def record_registered_vm(self, data_centre: str, vm: str) -> None:
        """Record a VM that registered in the store."""
        self._registered_vms.setdefault(data_centre, set()).add(vm)
        self._peers.record_registration(vm, data_centre, clock.now())

    def keys_usable(self, now: float) -> bool:
        """Tell whether the known keys are fresh enough to accept requests."""
        if not self._settings.bounds.strict_withdrawal:
            return self._desired.state is not None
        return freshness.keys_usable(
            self._desired.age(now), self._settings.bounds.key_withdrawal
        )

    def retry_budget(self, service: str) -> service_retry_budget.ServiceRetryBudget:
        """Return the retry budget of a service."""
        found = self._retry_budgets.get(service)
        if found is None:
            all_bounds = self._settings.bounds
            found = service_retry_budget.ServiceRetryBudget(
                all_bounds.retry_ratio, all_bounds.retry_slack, all_bounds.retry_window
            )
            self._retry_budgets[service] = found
        return found

    def peer_demand(self, now: float) -> tuple[list[dict[str, float]], int]:
        """Return the demands at other VMs and the number of these VMs.

        Each demand is in requests per second, by organisation.
        """
        retention_seconds = DEMAND_RETENTION_SECONDS
        recent_vms = len(self._peers.recent_digests(retention_seconds, now))
        earlier_vms = len(self._peers.recent_digests(CUT_OFF_RETENTION_SECONDS, now))
        if 2 * recent_vms < earlier_vms:
            retention_seconds, recent_vms = CUT_OFF_RETENTION_SECONDS, earlier_vms
        digests = self._peers.aggregate_digests(retention_seconds, now)
        return [each.demand for each in digests], recent_vms

    def fleet_size(self, now: float) -> int:
        """Return the number of VMs that share the fleet's rates and retry budgets."""
        recent_vms = len(self._peers.recent_digests(RECENT_CONTACT_SECONDS, now)) + 1
        return max(recent_vms, sum(len(each) for each in self._registered_vms.values()))

    def vm_count(self, scope: str) -> int:
        """Return the number of VMs in a data centre or region; "" means the fleet."""
        now = clock.now()
        if not scope:
            return self.fleet_size(now)
        region_of = self._settings.region_of
        recent_vms = sum(
            scope in (each.data_centre, region_of.get(each.data_centre))
            for each in self._peers.recent_digests(RECENT_CONTACT_SECONDS, now)
        )
        return recent_vms + (
            scope in (self._settings.data_centre, self._settings.region)
        )

    def possible_senders(self, data_centre: str, now: float) -> float:
        """Return how many VMs may send to upstreams; "" means the whole fleet.

        The number is infinite until the registered VMs have been read from the store.

        Parameters
        ----------
        data_centre : str
            Data centre of the VMs.
        now : float
            Monotonic seconds.
        """
        if not self._registered_vms:
            return math.inf
        settings = self._settings
        leaving_seconds = settings.bounds.stop + LEAVING_MARGIN_SECONDS
        others = self._peers.possible_vms(data_centre, leaving_seconds, now)
        return others + (data_centre in ("", settings.data_centre))

    def make_digest(self, now: float) -> digest.Digest:
        """Make this VM's digest, with the next sequence number."""
        self._sequence += 1
        settings = self._settings
        return digest.Digest(
            vm=settings.vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            data_centre=settings.data_centre,
            host=settings.host,
            port=settings.callers.port,
            leaving=self._leaving,
            state_version=self._desired.version,
            demand=self._limiters.report(now),
            outcomes=self._outcomes.counts(now),
            reverted=tuple(sorted(self._versions.reverted)),
            overloaded=self.overloaded(now),
            store_era=self._versions.era,
        )

    def make_data_centre_digest(
        self, own: digest.Digest, now: float
    ) -> digest.Digest | None:
        """Make the data centre's digest, or return None if another VM reports."""
        live = self._peers.local_members(REPORTER_MAX_SILENCE_SECONDS, now)
        if not data_centre_digest.is_reporter(own.vm, own.leaving, live):
            return None
        data_centre = self._settings.data_centre
        others = [
            each
            for each in self._peers.recent_digests(DEMAND_RETENTION_SECONDS, now)
            if each.data_centre == data_centre
        ]
        members = self._peers.local_members(
            ALIVE_CONTACT_FRACTION * self._settings.bounds.contact, now
        )
        return data_centre_digest.aggregate(own, others, members)

    def live_vms(self, now: float) -> list[digest.Digest]:
        """Return the digests of VMs that are considered alive, this VM's first."""
        limit = ALIVE_CONTACT_FRACTION * self._settings.bounds.contact
        own = digest.Digest(
            self._settings.vm,
            self._incarnation,
            self._sequence,
            self._settings.data_centre,
            self._settings.host,
            self._settings.callers.port,
            not self.ready,
            self._desired.version,
            {},
            (),
            (),
            self.overloaded(now),
        )
        return [own, *self._peers.recent_digests(limit, now)]

    def has_others(self, now: float) -> bool:
        """Tell whether another live VM takes requests."""
        limit = ALIVE_CONTACT_FRACTION * self._settings.bounds.contact
        return not all(each.leaving for each in self._peers.recent_digests(limit, now))

    def longest_timeout(self, service: str | None = None) -> float:
        """Return the longest timeout of the routes of one or all services, seconds."""
        state = self._desired.state
        routes = state.routes if state else ()
        return max(
            (
                each.timeout
                for each in routes
                if service is None
                or any(entry.service == service for entry in each.weighted_services)
            ),
            default=1.0,
        )
