"""Which versions of a service may serve a request."""

import math
import random
from collections.abc import Iterable, Mapping

from rattanlug.canary import rollout_order, rollout_record, rollout_state, schedule

# A record that was read longer ago than this may have been taken back since.
STALE_SECONDS = 2.5
# An upstream of a version that no order names is left alone for this time, since its
# order may be on the way.
HOLD_SECONDS = 4.0


class VersionChoice:
    """Applies orders, records and own evidence to each request.

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
        self._settled: dict[str, set[str]] = {}
        self._seen_at: dict[tuple[str, str], float] = {}

    @property
    def reverted(self) -> frozenset[int]:
        """Orders for versions that were found bad."""
        return frozenset(self._reverted)

    @property
    def orders(self) -> Mapping[str, rollout_order.RolloutOrder]:
        """Orders in force, by service."""
        return self._orders

    def set_orders(self, orders: Mapping[str, rollout_order.RolloutOrder]) -> None:
        """Take the operators' orders."""
        self._orders = orders

    def set_store_clock(self, store_now: float, now: float) -> None:
        """Take the store's clock, by which moves are timed."""
        self._store_offset = store_now - now

    def set_records(
        self, records: Iterable[rollout_record.RolloutRecord], read_at: float
    ) -> None:
        """Take the records as they were at a moment, seconds."""
        for each in records:
            known = self._records.get(each.service)
            if known is None or known.row_version <= each.row_version:
                self._records[each.service] = each
            if each.state is rollout_state.RolloutState.ROLLED_BACK:
                self._reverted.add(each.order_version)
        self._read_at = max(self._read_at, read_at)

    def revert(self, order_version: int) -> bool:
        """Stop an order's version here at once; return whether that is new."""
        new = order_version not in self._reverted
        self._reverted.add(order_version)
        return new

    def record(self, service: str) -> rollout_record.RolloutRecord | None:
        """Return the record of the present order of a service, if there is one."""
        record, order = self._records.get(service), self._orders.get(service)
        if record is None or order is None:
            return None
        return record if record.order_version >= order.row_version else None

    def latest_record(self, service: str) -> rollout_record.RolloutRecord | None:
        """Return the last record of a service, also of an earlier order."""
        return self._records.get(service)

    def elapsed(self, record: rollout_record.RolloutRecord, now: float) -> float:
        """Return the time since a move began, seconds."""
        return now + self._store_offset - record.began

    def store_clock(self, now: float) -> float:
        """Return the store's clock at a moment, seconds."""
        return now + self._store_offset

    def update_registered(
        self, service: str, versions: Iterable[str], now: float
    ) -> None:
        """Take the versions of a service's upstreams that are registered now."""
        present = set(versions)
        if not present:
            return
        settled = self._settled.get(service)
        if settled is None:
            record = self._records.get(service)
            target = self._target(service)
            if record is not None:
                settled = set(record.base) & present
            else:
                settled = present - {target}
            self._settled[service] = settled or set(present)
            return
        target = self._target(service)
        for each in present - settled:
            first = self._seen_at.setdefault((service, each), now)
            if each != target and now - first >= HOLD_SECONDS:
                if not self._was_rolled_back(service, each):
                    settled.add(each)

    def allowed(
        self,
        service: str,
        present: Mapping[str, int],
        longest_timeout: float,
        now: float,
    ) -> frozenset[str] | None:
        """Return the versions that may serve a request, None for any.

        Parameters
        ----------
        service : str
        present : Mapping of str to int
            Slots of the upstreams that are registered, by version.
        longest_timeout : float
            Longest time that a request may run, seconds.
        now : float
            Seconds.
        """
        slots, present = present, frozenset(present)
        target = self._target(service)
        settled = self._settled.get(service)
        if target is None:
            return self._only(present, settled)
        order = self._orders[service]
        record = self.record(service)
        base = present - {target}
        if record is not None:
            base = frozenset(record.base) - {target}
        elif settled is not None:
            base = frozenset(settled) - {target}
        if record is not None and record.state is rollout_state.RolloutState.COMPLETE:
            settled_now = self._settled.setdefault(service, set())
            settled_now.add(target)
            return self._or_any(present & {target}, present)
        if order.row_version in self._reverted or record is None:
            return self._or_any(present & base, base)
        elapsed = self.elapsed(record, now)
        wanted = schedule.share(elapsed, record.duration, longest_timeout)
        old_slots = sum(slots[each] for each in present & base)
        has_room = schedule.has_room(slots.get(target, 0), old_slots)
        if now - self._read_at > STALE_SECONDS or not has_room:
            wanted = min(wanted, schedule.TRIAL_SHARE)
        if target in present and self._rng.random() < wanted:
            return frozenset({target})
        return self._or_any(present & base, frozenset({target}))

    def is_canary(self, service: str, version: str) -> bool:
        """Tell whether a version is on trial now."""
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

    def _only(
        self, present: frozenset[str], settled: set[str] | None
    ) -> frozenset[str] | None:
        if settled is None or present <= settled:
            return None
        return self._or_any(present & settled, present)

    def _or_any(
        self, versions: frozenset[str], otherwise: frozenset[str]
    ) -> frozenset[str]:
        return versions or otherwise
