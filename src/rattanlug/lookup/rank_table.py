"""Ranks of one data centre's VMs, computed before they are asked for."""

import array
from collections.abc import Iterable

from rattanlug.lookup import ranking


class RankTable:
    """The first VMs of each slot, equal to ``ranking.rank_vms`` of its blocks.

    Parameters
    ----------
    count : int
        VMs kept for each slot.
    """

    def __init__(self, count: int):
        self._count = count
        self._vms: frozenset[str] = frozenset()
        # Weight of the last VM of each full slot, so that a new VM is compared once.
        self._lowest = array.array("Q", bytes(8 * ranking.SLOTS))
        #: VMs by slot, best first. The list is changed in place.
        self.ranks: list[tuple[str, ...]] = [()] * ranking.SLOTS

    @property
    def vms(self) -> frozenset[str]:
        """The VMs that are ranked."""
        return self._vms

    def set_vms(self, vms: Iterable[str]) -> None:
        """Replace the VMs; only the slots that this changes are computed again."""
        new = frozenset(vms)
        added, removed = new - self._vms, self._vms - new
        self._vms = new
        if removed or len(added) > 1 or len(new) <= self._count:
            self._rank_all(removed, added)
        elif added:
            self._add(*added)

    def _rank_all(self, removed, added):
        names = sorted(self._vms)
        columns = [ranking.slot_weights(vm) for vm in names]
        rows = zip(*columns, strict=True) if columns else [()] * ranking.SLOTS
        for slot, row in enumerate(rows):
            if not added and removed.isdisjoint(self.ranks[slot]):
                continue
            best = sorted(row, reverse=True)[: self._count]
            self.ranks[slot] = tuple(names[row.index(weight)] for weight in best)
            self._lowest[slot] = best[-1] if len(best) == self._count else 0

    def _add(self, vm):
        weights = ranking.slot_weights(vm)
        pairs = zip(weights, self._lowest, strict=True)
        slots = [slot for slot, (new, lowest) in enumerate(pairs) if new > lowest]
        for slot in slots:
            vms = (*self.ranks[slot], vm)
            weights = [ranking.slot_weights(name)[slot] for name in vms]
            ranked = [name for _, name in sorted(zip(weights, vms, strict=True))]
            ranked = ranked[: -self._count - 1 : -1]
            self.ranks[slot] = tuple(ranked)
            self._lowest[slot] = ranking.slot_weights(ranked[-1])[slot]
