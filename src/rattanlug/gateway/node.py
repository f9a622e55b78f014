"""All parts of the entry daemon of one VM."""

import random

from rattanlug.canary import outcome_window, version_choice
from rattanlug.daemon import clock
from rattanlug.desired import freshness, holder
from rattanlug.discovery import upstream_registry
from rattanlug.fleet import digest, peer_table
from rattanlug.gateway import decision_log, loop_lag
from rattanlug.metrics import counters, histograms
from rattanlug.placement import placer
from rattanlug.platform import names, operator_table, store_client
from rattanlug.rate_limits import limiter_table
from rattanlug.retries import service_budget
from rattanlug.settings import vm_settings
from rattanlug.upstream import connection_pools

_MILLISECONDS = 1000
# Part of the time after which a silent VM has to be gone from look-ups.
ALIVE_SHARE = 0.85
# Demand of a VM counts for this time after its last report: longer than it may accept
# keys without the store.
DEMAND_SECONDS = 7.0
# If most VMs fall silent at once, this VM is more likely cut off than alone; their
# demand then counts for this time.
CUT_OFF_SECONDS = 25.0
# VMs that were heard within this time count as senders and as sharers of budgets.
RECENT_SECONDS = 12.0


class Node:
    """Builds the parts and connects them.

    Parameters
    ----------
    settings : vm_settings.VmSettings
    """

    def __init__(self, settings: vm_settings.VmSettings) -> None:
        now = clock.now()
        self.settings = settings
        self.incarnation = int(clock.wall_now() * _MILLISECONDS)
        self.rng = random.Random(f"{settings.vm}:{self.incarnation}")
        self.counters = counters.Counters()
        self.histograms = histograms.Histograms()
        self.log = decision_log.DecisionLog(self.counters)
        self.desired = holder.StateHolder()
        self.operators = operator_table.OperatorTable()
        self.registry = upstream_registry.UpstreamRegistry()
        self.peers = peer_table.PeerTable(settings.vm)
        self.limiters = limiter_table.LimiterTable(settings.bounds)
        self.lag = loop_lag.LoopLag()
        self.outcomes = outcome_window.OutcomeWindow()
        self.versions = version_choice.VersionChoice(self.rng)
        self.store = store_client.StoreClient(
            settings.store.address,
            settings.host,
            clock.now,
            self.counters,
            self.histograms,
        )
        self.pools = connection_pools.ConnectionPools(
            settings.host, names.REQUEST_ID, clock.now, self.counters
        )
        self.placer = placer.Placer(
            settings.data_centre,
            settings.region,
            settings.region_of,
            self.registry,
            settings.bounds,
            self.senders,
            self.rng,
        )
        self._budgets: dict[str, service_budget.ServiceBudget] = {}
        # Hosts of VMs that registered in the store, by data centre.
        self.registered_vms: dict[str, set[str]] = {}
        self.started_at = now
        self.upstreams_read = False
        self.store_outcome = "unknown"
        self.leaving = False
        self._sequence = 0

    @property
    def ready(self) -> bool:
        """Whether this VM serves requests."""
        return (
            not self.leaving and self.desired.state is not None and self.upstreams_read
        )

    def keys_usable(self, now: float) -> bool:
        """Tell whether keys are known freshly enough to accept one."""
        if not self.settings.bounds.strict_withdrawal:
            return self.desired.state is not None
        return freshness.keys_usable(
            self.desired.age(now), self.settings.bounds.key_withdrawal
        )

    def budget(self, service: str) -> service_budget.ServiceBudget:
        """Return the budget of repeated sends for a service."""
        found = self._budgets.get(service)
        if found is None:
            all_bounds = self.settings.bounds
            found = service_budget.ServiceBudget(
                all_bounds.retry_ratio, all_bounds.retry_slack, all_bounds.retry_window
            )
            self._budgets[service] = found
        return found

    def demand_elsewhere(self, now: float) -> list[dict[str, float]]:
        """Return the demands that the other VMs reported, by organisation."""
        heard = self.peers.heard_within(DEMAND_SECONDS, now)
        earlier = self.peers.heard_within(CUT_OFF_SECONDS, now)
        if 2 * len(heard) < len(earlier):
            heard = earlier
        return [each.demand for each in heard]

    def fleet_size(self, now: float) -> int:
        """Return the number of VMs that share the fleet's budgets."""
        heard = len(self.peers.heard_within(RECENT_SECONDS, now)) + 1
        return max(heard, sum(len(each) for each in self.registered_vms.values()))

    def senders(self, data_centre: str) -> int:
        """Return the number of VMs in a data centre; all VMs for an empty name."""
        now = clock.now()
        if not data_centre:
            return self.fleet_size(now)
        heard = sum(
            each.data_centre == data_centre
            for each in self.peers.heard_within(RECENT_SECONDS, now)
        )
        return heard + (data_centre == self.settings.data_centre)

    def own_digest(self, now: float) -> digest.Digest:
        """Return this VM's report about itself, with the next number."""
        self._sequence += 1
        settings = self.settings
        return digest.Digest(
            vm=settings.vm,
            incarnation=self.incarnation,
            sequence=self._sequence,
            data_centre=settings.data_centre,
            host=settings.host,
            port=settings.callers.port,
            leaving=self.leaving,
            state_version=self.desired.version,
            demand=self.limiters.report(now),
            outcomes=self.outcomes.counts(now),
            reverted=tuple(sorted(self.versions.reverted)),
        )

    def live_vms(self, now: float) -> list[digest.Digest]:
        """Return the reports of VMs that are believed to be alive, own one first."""
        limit = ALIVE_SHARE * self.settings.bounds.contact
        own = digest.Digest(
            self.settings.vm,
            self.incarnation,
            self._sequence,
            self.settings.data_centre,
            self.settings.host,
            self.settings.callers.port,
            not self.ready,
            self.desired.version,
            {},
            (),
            (),
        )
        return [own, *self.peers.heard_within(limit, now)]

    def longest_timeout(self, service: str | None = None) -> float:
        """Return the longest timeout of the routes of one or all services, seconds."""
        state = self.desired.state
        routes = state.routes if state else ()
        return max(
            (
                each.timeout
                for each in routes
                if service is None
                or any(part.service == service for part in each.parts)
            ),
            default=1.0,
        )
