"""All parts of the entry daemon of one VM."""

from __future__ import annotations

import random

from rattanlug.canary import outcome_window, record_codec, version_choice
from rattanlug.daemon import clock
from rattanlug.desired import freshness, holder
from rattanlug.discovery import upstream_registry
from rattanlug.fleet import data_centre_digest, digest, peer_table
from rattanlug.gateway import decision_log, loop_busy, loop_lag
from rattanlug.logs import state_log
from rattanlug.metrics import counters, histograms
from rattanlug.placement import placer
from rattanlug.platform import names, operator_table, store_client
from rattanlug.rate_limits import limiter_table
from rattanlug.retries import service_retry_budget
from rattanlug.settings import gateway_settings
from rattanlug.tables import table_set
from rattanlug.upstream import connection_pools, memory_budget

_MILLISECONDS = 1000
# Part of the time after which a silent VM has to be gone from look-ups.
ALIVE_SHARE = 0.85
# Demand of a VM counts for this time after its last report: longer than it may accept
# keys without the store.
DEMAND_SECONDS = 7.0
# If most VMs fall silent at once, this VM is more likely cut off than alone; their
# demand then counts for this time.
CUT_OFF_SECONDS = 25.0
# A VM that was not heard for this time does not report for its data centre any more;
# one report may be lost.
LEADER_SECONDS = 2.3
# A single stall this long, such as the rest of a tenth of a second after a processor's
# allotment is used up, makes nothing late and is no reason to refuse.
STALL_SECONDS = 0.15
# VMs that were heard within this time count as senders and as sharers of budgets.
RECENT_SECONDS = 12.0


class Node:
    """Builds the parts and connects them.

    Parameters
    ----------
    settings : gateway_settings.GatewaySettings
    """

    def __init__(self, settings: gateway_settings.GatewaySettings) -> None:
        self._settings = settings
        self._incarnation = int(clock.wall_now() * _MILLISECONDS)
        self._rng = random.Random(f"{settings.vm}:{self._incarnation}")
        self._counters = counters.Counters()
        self._histograms = histograms.Histograms()
        self._log = decision_log.DecisionLog(self._counters)
        self._desired = holder.StateHolder()
        self._operators = operator_table.OperatorTable()
        self._registry = upstream_registry.UpstreamRegistry()
        self._peers = peer_table.PeerTable(settings.vm, settings.data_centre)
        self._limiters = limiter_table.LimiterTable(settings.bounds)
        self._lag = loop_lag.LoopLag()
        self._busy = loop_busy.LoopBusy(
            lambda seconds: self._histograms.record("loop_turn", seconds)
        )
        self._outcomes = outcome_window.OutcomeWindow()
        self._versions = version_choice.VersionChoice(self._rng)
        self._store = store_client.StoreClient(
            settings.store.address,
            settings.host,
            clock.now,
            self._counters,
            self._histograms,
        )
        self._pools = connection_pools.ConnectionPools(
            settings.host,
            names.REQUEST_ID,
            clock.now,
            self._counters,
            memory_budget.MemoryBudget(settings.memory_bytes),
        )
        self._placer = placer.Placer(
            settings.data_centre,
            settings.region,
            settings.region_of,
            self._registry,
            settings.bounds,
            self.senders,
            self._rng,
        )
        self._budgets: dict[str, service_retry_budget.ServiceRetryBudget] = {}
        # Hosts of VMs that registered in the store, by data centre.
        self._registered_vms: dict[str, set[str]] = {}
        self._tables = table_set.TableSet(
            (names.OPERATOR_TABLE, names.UPSTREAM_TABLE, record_codec.TABLE)
        )
        self._follows_moves = False
        self._upstreams_read = False
        self._store_outcome = "unknown"
        self._leaving = False
        self._sequence = 0

    @property
    def settings(self) -> gateway_settings.GatewaySettings:
        """Settings of this daemon."""
        return self._settings

    @property
    def incarnation(self) -> int:
        """Number that rises with each start."""
        return self._incarnation

    @property
    def rng(self) -> random.Random:
        """Generator for choices that have to differ between VMs."""
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
        """Lines for decisions."""
        return self._log

    @property
    def lag(self) -> loop_lag.LoopLag:
        """Delay of the event loop."""
        return self._lag

    @property
    def busy(self) -> loop_busy.LoopBusy:
        """Share of the time in which the event loop is at work."""
        return self._busy

    @property
    def desired(self) -> holder.StateHolder:
        """Desired state in force."""
        return self._desired

    @property
    def operators(self) -> operator_table.OperatorTable:
        """What operators have written."""
        return self._operators

    @property
    def registry(self) -> upstream_registry.UpstreamRegistry:
        """Upstreams that are registered."""
        return self._registry

    @property
    def peers(self) -> peer_table.PeerTable:
        """Reports of the other VMs."""
        return self._peers

    @property
    def limiters(self) -> limiter_table.LimiterTable:
        """Rates of organisations."""
        return self._limiters

    @property
    def outcomes(self) -> outcome_window.OutcomeWindow:
        """Recent outcomes of versions on trial."""
        return self._outcomes

    @property
    def versions(self) -> version_choice.VersionChoice:
        """Versions that may serve a request."""
        return self._versions

    @property
    def store(self) -> store_client.StoreClient:
        """Client of the platform's store."""
        return self._store

    @property
    def tables(self) -> table_set.TableSet:
        """Copies of the store's tables."""
        return self._tables

    @property
    def follows_moves(self) -> bool:
        """Whether the records of moves are kept up to date."""
        return self._follows_moves

    @property
    def pools(self) -> connection_pools.ConnectionPools:
        """Connections to upstreams."""
        return self._pools

    @property
    def placer(self) -> placer.Placer:
        """Choice of an upstream."""
        return self._placer

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._leaving

    @property
    def knows_upstreams(self) -> bool:
        """Whether the upstreams were read since the start."""
        return self._upstreams_read

    @property
    def ready(self) -> bool:
        """Whether this VM serves requests."""
        return (
            not self._leaving
            and self._desired.state is not None
            and self._upstreams_read
        )

    def follow_moves(self, wanted: bool) -> None:
        """Set whether the records of moves are kept up to date."""
        self._follows_moves = wanted

    def region_before(self, now: float) -> dict[str, str]:
        """Return hosts of the region's live VMs that come before this one, by name."""
        settings = self._settings
        limit = ALIVE_SHARE * settings.bounds.contact
        return {
            each.vm: each.host
            for each in self._peers.recent_digests(limit, now)
            if each.vm < settings.vm
            and not each.leaving
            and settings.region_of.get(each.data_centre) == settings.region
        }

    def behind(self, arrived_at: float, now: float) -> float:
        """Return by how much this VM is behind with its work, seconds.

        Parameters
        ----------
        arrived_at : float
            Earliest time at which the present request can have arrived, seconds.
        now : float
            Seconds.
        """
        waited = max(self._busy.turn_seconds(now), now - arrived_at)
        return max(self._lag.seconds(now), waited - STALL_SECONDS)

    def overloaded(self, now: float) -> bool:
        """Tell whether callers should also be told of other VMs."""
        return self._busy.is_busy or self._lag.overloaded(now)

    def reload(self, settings: gateway_settings.GatewaySettings) -> list[str]:
        """Take changed settings; return the names of those that differ."""
        before = self._settings._asdict()
        changed = [
            name for name, value in settings._asdict().items() if before[name] != value
        ]
        self._settings = settings
        return changed

    def leave(self) -> None:
        """Begin a planned stop."""
        self._leaving = True

    def note_upstreams_read(self) -> None:
        """Note that the upstreams are known."""
        self._upstreams_read = True

    def note_store(self, outcome: str, reason: str) -> None:
        """Log when the store is lost or reached again."""
        state_log.log_change("store", self._store_outcome, outcome, reason=reason)
        self._store_outcome = outcome

    def note_registered_vm(self, data_centre: str, vm: str) -> None:
        """Note a VM that registered in the store."""
        self._registered_vms.setdefault(data_centre, set()).add(vm)

    def keys_usable(self, now: float) -> bool:
        """Tell whether keys are known freshly enough to accept one."""
        if not self._settings.bounds.strict_withdrawal:
            return self._desired.state is not None
        return freshness.keys_usable(
            self._desired.age(now), self._settings.bounds.key_withdrawal
        )

    def budget(self, service: str) -> service_retry_budget.ServiceRetryBudget:
        """Return the budget of repeated sends for a service."""
        found = self._budgets.get(service)
        if found is None:
            all_bounds = self._settings.bounds
            found = service_retry_budget.ServiceRetryBudget(
                all_bounds.retry_ratio, all_bounds.retry_slack, all_bounds.retry_window
            )
            self._budgets[service] = found
        return found

    def demand_elsewhere(self, now: float) -> tuple[list[dict[str, float]], int]:
        """Return the demands by organisation at the other VMs, and their number."""
        seconds = DEMAND_SECONDS
        heard = len(self._peers.recent_digests(seconds, now))
        earlier = len(self._peers.recent_digests(CUT_OFF_SECONDS, now))
        if 2 * heard < earlier:
            seconds, heard = CUT_OFF_SECONDS, earlier
        reports = self._peers.aggregate_digests(seconds, now)
        return [each.demand for each in reports], heard

    def fleet_size(self, now: float) -> int:
        """Return the number of VMs that share the fleet's budgets."""
        heard = len(self._peers.recent_digests(RECENT_SECONDS, now)) + 1
        return max(heard, sum(len(each) for each in self._registered_vms.values()))

    def senders(self, place: str) -> int:
        """Return the number of VMs in a data centre or region; "" stands for all."""
        now = clock.now()
        if not place:
            return self.fleet_size(now)
        region_of = self._settings.region_of
        heard = sum(
            place in (each.data_centre, region_of.get(each.data_centre))
            for each in self._peers.recent_digests(RECENT_SECONDS, now)
        )
        return heard + (place in (self._settings.data_centre, self._settings.region))

    def own_digest(self, now: float) -> digest.Digest:
        """Return this VM's report about itself, with the next number."""
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
        )

    def centre_digest(self, own: digest.Digest, now: float) -> digest.Digest | None:
        """Return the report of the data centre if this VM makes it, else None."""
        live = self._peers.local_members(LEADER_SECONDS, now)
        if not data_centre_digest.is_reporter(own.vm, own.leaving, live):
            return None
        centre = self._settings.data_centre
        others = [
            each
            for each in self._peers.recent_digests(DEMAND_SECONDS, now)
            if each.data_centre == centre
        ]
        members = self._peers.local_members(
            ALIVE_SHARE * self._settings.bounds.contact, now
        )
        return data_centre_digest.aggregate(own, others, members)

    def live_vms(self, now: float) -> list[digest.Digest]:
        """Return the reports of VMs that are believed to be alive, own one first."""
        limit = ALIVE_SHARE * self._settings.bounds.contact
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
