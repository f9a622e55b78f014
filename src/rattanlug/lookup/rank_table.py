"""Precomputed ranks of one data centre's VMs."""

import array
from collections.abc import Iterable

from rattanlug.lookup import ranking


class RankTable:
    """Highest-ranked VMs of each hash slot, as from ``ranking.rank_vms``.

    Parameters
    ----------
    count : int
        Number of VMs kept per hash slot.
    """

    def __init__(self, count: int):
        self._count = count
        self._vms: frozenset[str] = frozenset()
        # Weight of the lowest-ranked VM of each hash slot that has ``count`` VMs, so
        # that a new VM needs only one comparison.
        self._lowest_weights = array.array("Q", bytes(8 * ranking.HASH_SLOTS))
        #: VMs by hash slot, highest rank first. The list is changed in place.
        self.ranks: list[tuple[str, ...]] = [()] * ranking.HASH_SLOTS

    @property
    def vms(self) -> frozenset[str]:
        """VMs that are ranked."""
        return self._vms

    def set_vms(self, vms: Iterable[str]) -> None:
        """Replace the VMs; only the hash slots that are affected are recomputed."""
        new = frozenset(vms)
        added, removed = new - self._vms, self._vms - new
        self._vms = new
        if removed or len(added) > 1 or len(new) <= self._count:
            self._rank_all(removed, added)
        elif added:
            self._add(*added)

    def _rank_all(self, removed, added):
        names = sorted(self._vms)
        columns = [ranking.hash_slot_weights(vm) for vm in names]
        rows = zip(*columns, strict=True) if columns else [()] * ranking.HASH_SLOTS
        for slot, row in enumerate(rows):
            if not added and removed.isdisjoint(self.ranks[slot]):
                continue
            best = sorted(row, reverse=True)[: self._count]
            self.ranks[slot] = tuple(names[row.index(weight)] for weight in best)
            self._lowest_weights[slot] = best[-1] if len(best) == self._count else 0

    def _add(self, vm):
        weights = ranking.hash_slot_weights(vm)
        pairs = zip(weights, self._lowest_weights, strict=True)
        slots = [slot for slot, (new, lowest) in enumerate(pairs) if new > lowest]
        for slot in slots:
            vms = (*self.ranks[slot], vm)
            weights = [ranking.hash_slot_weights(name)[slot] for name in vms]
            ranked = [name for _, name in sorted(zip(weights, vms, strict=True))]
            ranked = ranked[: -self._count - 1 : -1]
            self.ranks[slot] = tuple(ranked)
            self._lowest_weights[slot] = ranking.hash_slot_weights(ranked[-1])[slot]
