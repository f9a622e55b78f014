"""Selects the versions of a service that may serve a request."""

import math
import random
from collections.abc import Iterable, Mapping

from rattanlug.canary import rollout_order, rollout_record, rollout_state, schedule

# A rollout whose record was read longer ago may have been rolled back since.
MAX_RECORD_AGE_SECONDS = 2.5
# A version that no order names receives no requests for this time, since its order may
# not have been read yet.
HOLD_SECONDS = 4.0


class VersionChoice:
    """Applies rollout orders, rollout records and detected regressions to requests.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._orders: Mapping[str, rollout_order.RolloutOrder] = {}
        self._records: dict[str, rollout_record.RolloutRecord] = {}
        self._read_at = -math.inf
        self._store_offset = 0.0
        self._reverted: set[int] = set()
        # Versions that may serve requests without a rollout, by service.
        self._stable: dict[str, set[str]] = {}
        self._first_seen_at: dict[tuple[str, str], float] = {}

    @property
    def reverted(self) -> frozenset[int]:
        """Row versions of the orders whose target has regressed."""
        return frozenset(self._reverted)

    @property
    def orders(self) -> Mapping[str, rollout_order.RolloutOrder]:
        """Current orders, by service."""
        return self._orders

    def set_orders(self, orders: Mapping[str, rollout_order.RolloutOrder]) -> None:
        """Set the operators' orders, by service."""
        self._orders = orders

    def set_store_clock(self, store_now: float, now: float) -> None:
        """Set the offset from this VM's clock to the store's clock.

        Rollout records have times of the store's clock.

        Parameters
        ----------
        store_now, now : float
            The same moment on the store's clock and on this VM's clock, seconds.
        """
        self._store_offset = store_now - now

    def set_records(
        self, records: Iterable[rollout_record.RolloutRecord], read_at: float
    ) -> None:
        """Merge rollout records that were read from the store at ``read_at`` seconds.

        An older row version doesn't replace a newer one.
        """
        for each in records:
            current = self._records.get(each.service)
            if current is None or current.row_version <= each.row_version:
                self._records[each.service] = each
            if each.state is rollout_state.RolloutState.ROLLED_BACK:
                self._reverted.add(each.order_version)
        self._read_at = max(self._read_at, read_at)

    def revert(self, order_version: int) -> bool:
        """Send no more requests to an order's target.

        Returns
        -------
        bool
            False if the order was reverted before.
        """
        is_first = order_version not in self._reverted
        self._reverted.add(order_version)
        return is_first

    def record(self, service: str) -> rollout_record.RolloutRecord | None:
        """Return the record of the current order of a service, or None."""
        record, order = self._records.get(service), self._orders.get(service)
        if record is None or order is None:
            return None
        return record if record.order_version >= order.row_version else None

    def latest_record(self, service: str) -> rollout_record.RolloutRecord | None:
        """Return the latest record of a service, which may be of an earlier order."""
        return self._records.get(service)

    def elapsed(self, record: rollout_record.RolloutRecord, now: float) -> float:
        """Return the time since a rollout began, seconds."""
        return now + self._store_offset - record.began

    def store_clock(self, now: float) -> float:
        """Convert a time of this VM's clock to the store's clock, seconds."""
        return now + self._store_offset

    def update_registered(
        self, service: str, versions: Iterable[str], now: float
    ) -> None:
        """Update the stable versions from those that are currently registered."""
        registered = set(versions)
        if not registered:
            return
        stable = self._stable.get(service)
        if stable is None:
            record = self._records.get(service)
            target = self._target(service)
            if record is not None:
                stable = set(record.base) & registered
            else:
                stable = registered - {target}
            self._stable[service] = stable or set(registered)
            return
        target = self._target(service)
        for each in registered - stable:
            first = self._first_seen_at.setdefault((service, each), now)
            if each != target and now - first >= HOLD_SECONDS:
                if not self._was_rolled_back(service, each):
                    stable.add(each)

    def allowed(
        self,
        service: str,
        registered: Mapping[str, int],
        longest_timeout: float,
        now: float,
    ) -> frozenset[str] | None:
        """Return the versions that may serve a request, or None for all.

        During a rollout the target is returned at random with its current share.

        Parameters
        ----------
        service : str
        registered : Mapping of str to int
            Slots of the registered upstreams, by version.
        longest_timeout : float
            Longest time that a request may run, seconds.
        now : float
            Seconds.
        """
        slots, registered = registered, frozenset(registered)
        target = self._target(service)
        stable = self._stable.get(service)
        if target is None:
            return self._only_stable(registered, stable)
        order = self._orders[service]
        record = self.record(service)
        base = registered - {target}
        if record is not None:
            base = frozenset(record.base) - {target}
        elif stable is not None:
            base = frozenset(stable) - {target}
        if record is not None and record.state is rollout_state.RolloutState.COMPLETE:
            current_stable = self._stable.setdefault(service, set())
            current_stable.add(target)
            return self._first_not_empty(registered & {target}, registered)
        if order.row_version in self._reverted or record is None:
            return self._first_not_empty(registered & base, base)
        elapsed = self.elapsed(record, now)
        share = schedule.share(elapsed, record.duration, longest_timeout)
        old_slots = sum(slots[each] for each in registered & base)
        has_room = schedule.has_room(slots.get(target, 0), old_slots)
        if now - self._read_at > MAX_RECORD_AGE_SECONDS or not has_room:
            share = min(share, schedule.CANARY_SHARE)
        if target in registered and self._rng.random() < share:
            return frozenset({target})
        return self._first_not_empty(registered & base, frozenset({target}))

    def is_canary(self, service: str, version: str) -> bool:
        """Tell whether a version is the target of a rollout that hasn't ended."""
        order = self._orders.get(service)
        record = self.record(service)
        return (
            order is not None
            and order.target == version
            and (record is None or record.state is rollout_state.RolloutState.RUNNING)
        )

    def _target(self, service: str) -> str | None:
        order = self._orders.get(service)
        return order.target if order else None

    def _was_rolled_back(self, service: str, version: str) -> bool:
        record = self._records.get(service)
        return (
            record is not None
            and record.target == version
            and record.state is rollout_state.RolloutState.ROLLED_BACK
        )

    def _only_stable(
        self, registered: frozenset[str], stable: set[str] | None
    ) -> frozenset[str] | None:
        if stable is None or registered <= stable:
            return None
        return self._first_not_empty(registered & stable, registered)

    def _first_not_empty(
        self, versions: frozenset[str], fallback: frozenset[str]
    ) -> frozenset[str]:
        return versions or fallback
