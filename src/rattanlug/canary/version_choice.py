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

    The target of an order is the new version. The stable versions are those that serve
    requests without a rollout. A reverted order is one whose target has regressed; the
    target receives no more requests.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._orders: Mapping[str, rollout_order.RolloutOrder] = {}
        self._records: dict[str, rollout_record.RolloutRecord] = {}
        self._read_at = -math.inf
        # Store's clock minus this VM's clock, seconds.
        self._store_offset = 0.0
        # Era of the orders; row versions are given out again in the next one.
        self._era = 0
        # Eras and row versions of the reverted orders.
        self._reverted: set[tuple[int, int]] = set()
        # Services whose record the store lacks since its return from a copy.
        self._lost: set[str] = set()
        # Versions that may serve requests without a rollout, by service.
        self._stable: dict[str, set[str]] = {}
        self._first_seen_at: dict[tuple[str, str], float] = {}

    @property
    def reverted(self) -> frozenset[int]:
        """Row versions, in the era, of the orders whose target has regressed."""
        return frozenset(version for era, version in self._reverted if era == self._era)

    @property
    def era(self) -> int:
        """Era of the store that the row versions of the orders belong to."""
        return self._era

    @property
    def lost(self) -> list[rollout_record.RolloutRecord]:
        """Records in force that must be written to the store again."""
        return [self._records[each] for each in sorted(self._lost)]

    @property
    def orders(self) -> Mapping[str, rollout_order.RolloutOrder]:
        """Current orders, by service."""
        return self._orders

    def set_orders(
        self, orders: Mapping[str, rollout_order.RolloutOrder], era: int = 0
    ) -> None:
        """Set the operators' orders, by service, as of an era of the store.

        An order that has the same content in the next era is the same order.
        """
        for service, order in orders.items():
            before = self._orders.get(service)
            if before is not None and before.era < order.era:
                if (before.target, before.duration) == (order.target, order.duration):
                    self._move_to_era(before, order)
        self._orders = dict(orders)
        self._era = max(self._era, era)
        current = {(each.era, each.row_version) for each in orders.values()}
        self._reverted = {
            each for each in self._reverted if each[0] == self._era or each in current
        }

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
        self,
        records: Iterable[rollout_record.RolloutRecord],
        read_at: float,
        era: int = 0,
        whole: bool = False,
    ) -> None:
        """Merge rollout records that were read from the store.

        An older row version doesn't replace a newer one. After a return of the store
        from a copy, records that it lacks or has in an earlier state stay in force.

        Parameters
        ----------
        records : iterable of rollout_record.RolloutRecord
        read_at : float
            Time of the read on this VM's clock, seconds.
        era : int
            Era of the store at the read.
        whole : bool
            Whether these are all records of the store.
        """
        for each in records:
            self._merge(each)
            if each.state is rollout_state.RolloutState.ROLLED_BACK:
                self._reverted.add((self._order_era(each), each.order_version))
        if whole:
            for known in list(self._records.values()):
                if known.row_era < era:
                    self._keep(known, 0, era)
        self._read_at = max(self._read_at, read_at)

    def revert(self, order_version: int, era: int | None = None) -> bool:
        """Send no more requests to an order's target.

        Parameters
        ----------
        order_version : int
        era : int, optional
            Era that the version belongs to; that of the orders by default.

        Returns
        -------
        bool
            False if the order was reverted before, or is of another era.
        """
        found = (self._era, order_version)
        if found in self._reverted or era not in (None, self._era):
            return False
        self._reverted.add(found)
        return True

    def is_reverted(self, order: rollout_order.RolloutOrder) -> bool:
        """Tell whether the target of an order has regressed."""
        return (order.era, order.row_version) in self._reverted

    def record(self, service: str) -> rollout_record.RolloutRecord | None:
        """Return the record of the current order of a service, or None."""
        record, order = self._records.get(service), self._orders.get(service)
        if record is None or order is None:
            return None
        return record if self._is_of(record, order) else None

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

        During a rollout, the target is returned with a probability of its current
        share, and otherwise the versions that served before the rollout.

        Parameters
        ----------
        service : str
        registered : Mapping of str to int
            Slots of the registered upstreams, by version.
        longest_timeout : float
            Longest time that a request may run, seconds.
        now : float
            Time on the VM's monotonic clock, seconds.
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
        if self.is_reverted(order) or record is None:
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

    def _merge(self, found: rollout_record.RolloutRecord) -> None:
        """Put a record of the store in force, or keep that in force."""
        current = self._records.get(found.service)
        if current is not None:
            place = (found.row_era, found.row_version)
            if place < (current.row_era, current.row_version):
                return
            if not self._replaces(found, current):
                self._keep(current, found.row_version, found.row_era)
                return
        self._records[found.service] = found
        self._lost.discard(found.service)

    def _keep(
        self, current: rollout_record.RolloutRecord, row_version: int, row_era: int
    ) -> None:
        """Keep a record, which is to be written over a row of the store."""
        self._records[current.service] = current._replace(
            row_version=row_version, row_era=row_era
        )
        self._lost.add(current.service)

    def _replaces(
        self,
        found: rollout_record.RolloutRecord,
        current: rollout_record.RolloutRecord,
    ) -> bool:
        if self._same_order(found, current):
            return current.state in (rollout_state.RolloutState.RUNNING, found.state)
        if found.row_era == current.row_era:
            return True
        return (self._order_era(found), found.order_version) > (
            self._order_era(current),
            current.order_version,
        )

    def _same_order(
        self, first: rollout_record.RolloutRecord, second: rollout_record.RolloutRecord
    ) -> bool:
        """Tell whether two records are of one order, which may have two versions."""
        return (first.target, first.duration) == (second.target, second.duration) and (
            first.order_version == second.order_version
            or self._order_era(first) != self._order_era(second)
        )

    def _order_era(self, record: rollout_record.RolloutRecord) -> int:
        unknown = record.order_era == rollout_record.UNKNOWN_ERA
        return self._era if unknown else record.order_era

    def _is_of(
        self, record: rollout_record.RolloutRecord, order: rollout_order.RolloutOrder
    ) -> bool:
        """Tell whether a record is of an order or of a later one."""
        if record.order_era == rollout_record.UNKNOWN_ERA:
            return record.order_version >= order.row_version
        if record.order_era < order.era:
            # Both are of the copy from which the store came back.
            return (record.order_version, record.target, record.duration) == (
                order.row_version,
                order.target,
                order.duration,
            )
        return (record.order_era, record.order_version) >= (
            order.era,
            order.row_version,
        )

    def _move_to_era(
        self, before: rollout_order.RolloutOrder, order: rollout_order.RolloutOrder
    ) -> None:
        """Let what is known of an order count for its row of a later era."""
        record = self._records.get(order.service)
        if record is not None and self._is_of(record, before):
            self._records[order.service] = record._replace(
                order_era=order.era, order_version=order.row_version
            )
            if record.order_version != order.row_version:
                self._lost.add(order.service)
        if self.is_reverted(before):
            self._reverted.add((order.era, order.row_version))

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
