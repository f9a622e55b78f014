"""Assigns a slot of an upstream to each request."""

import random
from collections.abc import Awaitable, Callable

import trio

from rattanlug.errors import error, kind
from rattanlug.model import configuration, drain, upstream
from rattanlug.routing import (
    fair_queue,
    load_report,
    policy,
    registry,
    selection,
    slot_hold,
    slot_ledger,
    slot_loan,
    upstream_state,
)

Borrow = Callable[[str, str, float], Awaitable[slot_hold.SlotHold | None]]
ReturnToLender = Callable[[slot_loan.SlotLoan], Awaitable[None]]

_RETURN_INTERVAL_SECONDS = 0.1


class SlotAccess:
    """Own slots, borrowed slots and the queue of requests that wait for one.

    Parameters
    ----------
    ledger : slot_ledger.SlotLedger
    clock : callable
        Returns the present time in seconds.
    rng : random.Random
    refresh : callable, optional
        ``refresh(now)`` removes the slots of lapsed seats from the ledger. It is
        called before each decision, since seats lapse while the process is paused.
    """

    def __init__(
        self,
        ledger: slot_ledger.SlotLedger,
        clock: Callable[[], float],
        rng: random.Random,
        refresh: Callable[[float], None] = lambda now: None,
    ) -> None:
        self._refresh = refresh
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._policy: registry.Policy = policy.create()
        self._states: dict[str, upstream_state.UpstreamState] = {}
        self._queues: dict[tuple[str, str], fair_queue.FairQueue] = {}
        self._local_upstreams: dict[tuple[str, str], tuple[upstream.Upstream, ...]] = {}
        # Numbers of waiting requests are unique within one queue only.
        self._waiting: dict[
            tuple[str, str, int], tuple[trio.Event, list[slot_hold.SlotHold]]
        ] = {}

    @property
    def ledger(self) -> slot_ledger.SlotLedger:
        """Slots that this VM owns, uses, lends and borrows."""
        return self._ledger

    def state(self, name: str) -> upstream_state.UpstreamState | None:
        """Return the state of an upstream, or None when it is not configured."""
        return self._states.get(name)

    def configure(self, current: configuration.Configuration, now: float) -> None:
        """Apply the upstreams and drain rules of a new configuration."""
        drained = {(rule.target, rule.name) for rule in current.drains}
        known = bool(self._states)
        self._local_upstreams.clear()
        for name in self._states.keys() - current.upstreams.keys():
            del self._states[name]
        for key in [key for key, queue in self._queues.items() if not len(queue)]:
            del self._queues[key]
        for item in current.upstreams.values():
            state = self._states.get(item.name)
            if state is None:
                # Upstreams that are added later start cold. Those of the first
                # configuration count as warm: nothing is known about them.
                state = upstream_state.UpstreamState(now, cold=known)
                self._states[item.name] = state
            leaving = (drain.DrainTarget.UPSTREAM, item.name) in drained or (
                drain.DrainTarget.DATA_CENTRE,
                item.data_centre,
            ) in drained
            state.set_leaving(upstream_state.LeavingSource.RULE, leaving, now)

    def receive_report(
        self, name: str, report: load_report.LoadReport, asked_at: float
    ) -> None:
        """Record a load report of an upstream."""
        state = self._states.get(name)
        if state is not None:
            state.receive_report(report, asked_at)

    def try_acquire_own(
        self, upstreams: tuple[upstream.Upstream, ...], excluded: frozenset[str]
    ) -> slot_hold.SlotHold | None:
        """Acquire an own slot of the upstream that the policy prefers.

        Parameters
        ----------
        upstreams : tuple of upstream.Upstream
        excluded : frozenset of str
            Upstreams that this request must not use again.

        Returns
        -------
        slot_hold.SlotHold or None
        """
        name = self._pick(upstreams, excluded)
        return self._ledger.acquire([name], self._clock()) if name else None

    def lend(
        self,
        service: str,
        version: str,
        upstreams: tuple[upstream.Upstream, ...],
        lasts: float,
    ) -> slot_loan.SlotLoan | None:
        """Lend an own slot unless requests of this VM wait for one."""
        if len(self._queue(service, version)):
            return None
        name = self._pick(upstreams, frozenset())
        if name is None:
            return None
        now = self._clock()
        return self._ledger.lend(service, version, [name], now, now + lasts)

    async def acquire(
        self,
        service: str,
        version: str,
        upstreams: tuple[upstream.Upstream, ...],
        organisation: str,
        weight: float,
        deadline: float,
        borrow: Borrow,
        excluded: frozenset[str] = frozenset(),
    ) -> slot_hold.SlotHold:
        """Acquire an own slot, borrow one, or wait for one.

        Parameters
        ----------
        service, version : str
        upstreams : tuple of upstream.Upstream
            Upstreams of the own data centre.
        organisation : str
        weight : float
            Rate of the organisation; above 0.
        deadline : float
            Seconds.
        borrow : callable
            ``await borrow(service, version, deadline)`` asks other VMs.
        excluded : frozenset of str
            Upstreams that this request must not use again.

        Returns
        -------
        slot_hold.SlotHold

        Raises
        ------
        error.RefusedError
            ``no_capacity``.
        """
        self._local_upstreams[service, version] = upstreams
        queue = self._queue(service, version)
        if not len(queue):
            hold = self.try_acquire_own(upstreams, excluded)
            if hold is not None:
                return hold
        hold = await borrow(service, version, deadline)
        if hold is None:
            hold = await self._wait(
                queue, service, version, organisation, weight, deadline
            )
        if hold is None:
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                f"no upstream of {service} version {version} has a free slot",
            )
        return hold

    def release(self, hold: slot_hold.SlotHold, *, answered: bool) -> None:
        """Release a slot."""
        self._ledger.release(hold, self._clock(), answered=answered)

    def assign_free_slots(
        self, service: str, version: str, upstreams: tuple[upstream.Upstream, ...]
    ) -> None:
        """Assign free own slots to the requests that wait for them."""
        queue = self._queue(service, version)
        while len(queue):
            name = self._pick(upstreams, frozenset())
            if name is None:
                return
            now = self._clock()
            item = queue.take(now)
            if item is None:
                return
            event, holds = self._waiting[service, version, item.number]
            hold = self._ledger.acquire([name], now)
            if hold is not None:
                holds.append(hold)
            event.set()

    def assign_slots_of(self, name: str) -> None:
        """Assign free slots of an upstream to waiting requests."""
        for (service, version), upstreams in self._local_upstreams.items():
            if any(item.name == name for item in upstreams):
                self.assign_free_slots(service, version, upstreams)

    async def run_returns(self, return_to_lender: ReturnToLender) -> None:
        """Return borrowed slots to their lenders until cancelled."""
        while True:
            for loan in self._ledger.due_returns(self._clock()):
                await return_to_lender(loan)
            await trio.sleep(_RETURN_INTERVAL_SECONDS)

    async def _wait(
        self,
        queue: fair_queue.FairQueue,
        service: str,
        version: str,
        organisation: str,
        weight: float,
        deadline: float,
    ) -> slot_hold.SlotHold | None:
        now = self._clock()
        item = queue.put(organisation, weight, now, deadline)
        if item is None:
            return None
        event = trio.Event()
        holds: list[slot_hold.SlotHold] = []
        number = (service, version, item.number)
        self._waiting[number] = (event, holds)
        try:
            with trio.move_on_after(max(0.0, item.expires_at - now)):
                await event.wait()
            return holds.pop() if holds else None
        finally:
            del self._waiting[number]
            queue.remove(item)
            for hold in holds:
                # The request timed out or was cancelled before it woke up.
                self.release(hold, answered=True)

    def _pick(
        self, upstreams: tuple[upstream.Upstream, ...], excluded: frozenset[str]
    ) -> str | None:
        """Return the preferred upstream; suspects are used only if no other is free."""
        now = self._clock()
        self._refresh(now)
        usable = [
            item
            for item in upstreams
            if item.name in self._states and item.name not in excluded
        ]
        for include_suspects in (False, True):
            name = selection.select(
                usable,
                self._ledger,
                self._states,
                self._policy,
                now,
                self._rng,
                include_suspects=include_suspects,
            )
            if name is not None:
                return name
        return None

    def _queue(self, service: str, version: str) -> fair_queue.FairQueue:
        return self._queues.setdefault((service, version), fair_queue.FairQueue())
