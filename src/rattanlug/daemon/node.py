"""Wiring of one daemon: builds its parts and connects them."""

from __future__ import annotations

import collections
import random

from rattanlug.coordination import contact, evidence
from rattanlug.daemon import (
    active_configuration,
    clock,
    configuration_store,
    configuration_sync,
    lookup_access,
    operation_runner,
    proxy,
    push,
    quota_access,
    service_state,
    slot_access,
    slot_loans,
    steering,
    version_choice,
)
from rattanlug.invariants import invariant, violations
from rattanlug.keys import freshness
from rattanlug.logs import state_log
from rattanlug.membership import member, member_state, view
from rattanlug.metrics import counters, histograms
from rattanlug.model import configuration
from rattanlug.peer import client as peer_client
from rattanlug.peer import codec, gossip_exchange
from rattanlug.routing import link_budget, slot_ledger
from rattanlug.seats import holder, share_history
from rattanlug.settings import daemon_settings
from rattanlug.slo import recorder
from rattanlug.table_service import client as platform_client
from rattanlug.table_service import group_commit
from rattanlug.upstream import client as upstream_client

_MILLISECONDS_PER_SECOND = 1000
_MIN_FAILED_STATUS = 500
_OPEN_ORGANISATION = "-"
# A version that was stored this long ago has been accepted or has lapsed on every VM;
# the bound leaves room for differences between wall clocks.
_SETTLED_AFTER_SECONDS = 60.0
# A VM that gets no seat within this time after its start serves without one.
_MAX_SEAT_WAIT_SECONDS = 15.0
# Longer than the 11 s without contact that a takeover of a seat needs.
_CONTACT_RETENTION_SECONDS = 60.0
# Documented bound on the age of keys, checked at run time; decisions use a slightly
# smaller bound.
_MAX_KEY_AGE_SECONDS = 10.0


class Node:
    """Builds the parts of a daemon and connects them.

    Parameters
    ----------
    settings : daemon_settings.DaemonSettings
    """

    def __init__(self, settings: daemon_settings.DaemonSettings) -> None:
        now = clock.now()
        self._settings = settings
        self._incarnation = int(clock.wall_now() * _MILLISECONDS_PER_SECOND)
        self._rng = random.Random(f"{settings.vm}:{self._incarnation}")
        self._started_at = now
        self._next_seat_request = now
        self._contacts: dict[tuple[str, int], float] = {}
        self._slot_terms: tuple[tuple[str, int], ...] = ()
        self._state = service_state.ServiceState.STARTING
        self._build_shared(now)
        self._build_traffic(now)
        self._lookups = lookup_access.LookupAccess(
            self._active, self._members, settings.data_centre
        )
        self._active.observe(self._configuration_changed)

    @property
    def settings(self) -> daemon_settings.DaemonSettings:
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
    def state(self) -> service_state.ServiceState:
        """State that readiness and health responses report."""
        return self._state

    @property
    def counters(self) -> counters.Counters:
        """Counters of this daemon."""
        return self._counters

    @property
    def peer_counters(self) -> collections.Counter:
        """Counters of the peer protocol."""
        return self._peer_counters

    @property
    def histograms(self) -> histograms.Histograms:
        """Latency histograms of this daemon."""
        return self._histograms

    @property
    def violations(self) -> violations.Violations:
        """Counts of violated invariants."""
        return self._violations

    @property
    def active(self) -> active_configuration.ActiveConfiguration:
        """Configuration in force."""
        return self._active

    @property
    def evidence(self) -> evidence.PlatformEvidence:
        """Age of the newest read of the store's head that this VM knows of."""
        return self._evidence

    @property
    def contact(self) -> contact.MajorityContact:
        """Age of the information from each data centre."""
        return self._contact

    @property
    def lookups(self) -> lookup_access.LookupAccess:
        """Resolves a client's address to VMs."""
        return self._lookups

    @property
    def members(self) -> view.MembershipView:
        """Membership as this VM knows it."""
        return self._members

    @property
    def exchange(self) -> gossip_exchange.GossipExchange:
        """Membership part of gossip messages."""
        return self._exchange

    @property
    def seats(self) -> holder.SeatHolder:
        """Seats that this VM holds."""
        return self._seats

    @property
    def slots(self) -> slot_access.SlotAccess:
        """Assigns slots of upstreams to requests."""
        return self._slots

    @property
    def slot_loans(self) -> slot_loans.SlotLoans:
        """Slots borrowed from other VMs."""
        return self._slot_loans

    @property
    def quotas(self) -> quota_access.QuotaAccess:
        """Enforces the rates of organisations."""
        return self._quotas

    @property
    def versions(self) -> version_choice.VersionChoice:
        """Chooses the version of the service for each request."""
        return self._versions

    @property
    def steering(self) -> steering.Steering:
        """Steers the moves while this VM holds the lease."""
        return self._steering

    @property
    def platform(self) -> platform_client.PlatformClient:
        """Client of the platform."""
        return self._platform

    @property
    def commits(self) -> group_commit.GroupCommit:
        """Commits single writes to the platform in shared transactions."""
        return self._commits

    @property
    def peers(self) -> peer_client.PeerClient:
        """Client of other daemons."""
        return self._peers

    @property
    def upstreams(self) -> upstream_client.UpstreamClient:
        """Client of upstreams."""
        return self._upstreams

    @property
    def operations(self) -> operation_runner.OperationRunner:
        """Operations on ``once`` routes."""
        return self._operations

    @property
    def sync(self) -> configuration_sync.ConfigurationSync:
        """Reads and proposes configuration versions."""
        return self._sync

    @property
    def proxy(self) -> proxy.Proxy:
        """Serves requests on configured routes."""
        return self._proxy

    @property
    def recorder(self) -> recorder.Recorder:
        """Counts for service-level objectives."""
        return self._recorder

    def keyed_routes_allowed(self, now: float) -> bool:
        """Tell whether keys are fresh enough to serve keyed routes."""
        return freshness.keyed_routes_allowed(
            self._evidence.age(now), self._contact.in_contact(now)
        )

    def key_freshness_holds(self, now: float) -> bool:
        """Tell whether the documented bound on the age of keys holds."""
        age = self._evidence.age(now)
        return age <= _MAX_KEY_AGE_SECONDS or self._contact.in_contact(now)

    def quota_seats(self, now: float) -> tuple:
        """Return the seats whose tokens may be spent or lent."""
        if not self.keyed_routes_allowed(now):
            return ()
        return self._seats.usable_seats(now)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges."""
        now = clock.now()
        ledger = self._slots.ledger
        values = {
            "configuration_version": self._active.configuration.version,
            "evidence_age_seconds": min(self._evidence.age(now), 1e9),
            "majority_contact": float(self._contact.in_contact(now)),
            "live_members": self._members.live_count,
            "seats": len(self._seats.usable_seats(now)),
            "slots_in_use": ledger.in_use,
            "slots_lent": ledger.lent,
            "slots_borrowed": ledger.borrowed,
            "operations_active": self._operations.active,
            "store_transactions": self._commits.transactions,
        }
        values.update({name: float(v) for name, v in self._peer_counters.items()})
        return values

    def advance(self, now: float) -> None:
        """Bring the state, slots and link shares of this daemon up to date."""
        self._record_contacts(now)
        self._update_slots(now)
        self._update_state(now)
        self._lookups.advance(now)

    def silent_for(self, vm: str, incarnation: int, now: float) -> float:
        """Return for how long this VM has been up without contact from another.

        Parameters
        ----------
        vm : str
        incarnation : int
            A restarted VM counts as another one, since its previous process may only
            be paused.
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds.
        """
        self._record_contacts(now)
        contacted_at = self._contacts.get((vm, incarnation), self._started_at)
        return now - max(contacted_at, self._started_at)

    def _record_contacts(self, now: float) -> None:
        for record in self._members.live_members(now, self._settings.data_centre):
            self._contacts[record.vm, record.incarnation] = record.last_contact
        expiry = now - _CONTACT_RETENTION_SECONDS
        for identity in [k for k, at in self._contacts.items() if at < expiry]:
            del self._contacts[identity]

    def may_request_seat(self, now: float, interval: float) -> bool:
        """Return whether to request a seat now, at most once in an interval."""
        if now < self._next_seat_request:
            return False
        self._next_seat_request = now + interval
        return True

    def leave(self) -> None:
        """Begin a planned stop, from which on look-ups omit this VM."""
        self._change_state(service_state.ServiceState.LEAVING)
        self._members.set_own(clock.now(), state=member_state.MemberState.LEAVING)

    def _build_shared(self, now: float) -> None:
        settings = self._settings
        self._counters = counters.Counters()
        self._peer_counters: collections.Counter = collections.Counter()
        self._histograms = histograms.Histograms()
        self._violations = violations.Violations()
        self._active = active_configuration.ActiveConfiguration(settings.data_centre)
        self._evidence = evidence.PlatformEvidence()
        self._contact = contact.MajorityContact(settings.data_centre)
        advertised = settings.peer_advertised or settings.peer
        own = member.Member(
            settings.vm,
            settings.data_centre,
            tuple(settings.caller),
            tuple(advertised),
            self._incarnation,
            protocol_version=codec.PROTOCOL_VERSION,
        )
        self._members = view.MembershipView(own, now)
        self._members.set_bootstrap_addresses([tuple(seed) for seed in settings.seeds])
        self._exchange = gossip_exchange.GossipExchange(self._members, self._rng)
        host = settings.caller.host
        self._platform = platform_client.PlatformClient(settings.platform, host)
        self._commits = group_commit.GroupCommit(self._platform)
        self._peers = peer_client.PeerClient(settings.vm, host, self._peer_counters)
        self._upstreams = upstream_client.UpstreamClient(host)
        self._seats = holder.SeatHolder(
            settings.vm, self._incarnation, settings.data_centre
        )
        self._sync = configuration_sync.ConfigurationSync(
            self._active,
            configuration_store.ConfigurationStore(self._platform),
            self._contact.in_contact,
            push.Push(self._members, self._peers, self._contact, clock.now),
            lambda version: self._contact.accepted_version() >= version,
            clock.now,
            clock.wall_now,
        )

    def _build_traffic(self, now: float) -> None:
        settings = self._settings
        ledger = slot_ledger.SlotLedger(
            slot_loans.loan_prefix(settings.vm, self._incarnation)
        )
        self._links = link_budget.LinkBudget({}, now)
        self._slots = slot_access.SlotAccess(
            ledger, clock.now, self._rng, self._refresh_slots
        )
        self._slot_loans = slot_loans.SlotLoans(
            settings.vm,
            self._incarnation,
            self._active,
            self._members,
            self._peers,
            ledger,
            self._links.allows,
            clock.now,
        )
        self._quotas = quota_access.QuotaAccess(
            self.quota_seats, self._violations, clock.now
        )
        self._versions = version_choice.VersionChoice(
            settings.vm, clock.now, clock.wall_now, self._rng, self._quotas.try_shift
        )
        self._steering = steering.Steering(
            settings.vm,
            self._incarnation,
            self._platform,
            self._versions,
            self._active.route_count,
            clock.now,
            clock.wall_now,
        )
        self._operations = operation_runner.OperationRunner(
            self._platform, self._commits, clock.now
        )
        self._recorder = recorder.Recorder(settings.vm, now)
        self._proxy = proxy.Proxy(
            vm=settings.vm,
            incarnation=self._incarnation,
            active=self._active,
            freshness=self,
            admission=self._quotas,
            versions=self._versions,
            slots=self._slots,
            borrow=self._slot_loans.borrow,
            links=self._links,
            operations=self._operations,
            upstreams=self._upstreams,
            all_violations=self._violations,
            all_counters=self._counters,
            all_histograms=self._histograms,
            on_finished=self._record,
            clock=clock.now,
            wall_clock=clock.wall_now,
        )

    def _record(
        self, organisation: str, route: str, status: int, latency: float
    ) -> None:
        self._recorder.record(
            organisation or _OPEN_ORGANISATION,
            route,
            status < _MIN_FAILED_STATUS,
            latency,
            clock.now(),
        )

    def _configuration_changed(
        self, current: configuration.Configuration, now: float
    ) -> None:
        self._violations.check(
            invariant.Invariant.CONFIGURATION_IN_FORCE,
            current.version > self._members.own.config_version,
        )
        self._evidence.apply(current.version)
        self._contact.apply(current.version, current.data_centres)
        self._members.set_own(now, config_version=current.version)
        self._seats.apply(self._active.plan, self._accepted_at(current.version, now))
        self._seats.accept(self._contact.accepted_version(), now)
        self._slots.configure(current, now)
        self._quotas.configure(current, now)
        self._versions.configure(current)
        self._lookups.configure(current)
        self._recorder.set_objectives(current.objectives)

    def _accepted_at(self, version: int, now: float) -> float | None:
        """Return when a version was accepted, or None if only peers can tell."""
        if version == 1:
            # There is no earlier plan that another VM might still follow.
            return now - share_history.SETTLING_S
        stored = self._sync.newest
        age = clock.wall_now() - stored.at
        return now - age if age >= _SETTLED_AFTER_SECONDS else None

    def _refresh_slots(self, now: float) -> None:
        if self._usable_terms(now) != self._slot_terms:
            self._update_slots(now)

    def _usable_terms(self, now: float) -> tuple[tuple[str, int], ...]:
        return tuple((item.seat, item.term) for item in self._seats.usable_seats(now))

    def _update_slots(self, now: float) -> None:
        self._slot_terms = self._usable_terms(now)
        owned: dict[str, set[int]] = {}
        for item in self._seats.usable_slots(now):
            owned.setdefault(item.upstream, set()).add(item.index)
        self._slots.ledger.set_owned(owned, now, now)
        seats = len(self._seats.usable_seats(now))
        current = self._active.configuration
        self._links.set_rates(
            link_budget.link_rates(current, self._active.region, seats), now
        )

    def _update_state(self, now: float) -> None:
        if self._state is service_state.ServiceState.LEAVING:
            return
        fresh = self.keyed_routes_allowed(now)
        if self._state is service_state.ServiceState.STARTING:
            if self._may_start(now, fresh):
                self._change_state(service_state.ServiceState.SERVING)
                self._members.set_own(now, state=member_state.MemberState.SERVING)
            return
        self._change_state(
            service_state.ServiceState.SERVING
            if fresh
            else service_state.ServiceState.CUT_OFF
        )

    def _may_start(self, now: float, fresh: bool) -> bool:
        if not fresh or not self._active.configuration.version:
            return False
        waited = now - self._started_at >= _MAX_SEAT_WAIT_SECONDS
        return waited or bool(self._seats.usable_seats(now))

    def _change_state(self, new: service_state.ServiceState) -> None:
        if new is not self._state:
            state_log.log_change("service_state", self._state.value, new.value)
            self._state = new
