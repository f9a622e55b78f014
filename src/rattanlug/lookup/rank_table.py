"""Ranks of one data centre's VMs, computed before they are asked for."""

from collections.abc import Iterable

from rattanlug.lookup import ranking

#: Blocks are hashed to this many slots and all blocks of a slot have the same order.
#: Ranking 111 VMs for each call would take several times the 5 microseconds of a
#: call; docs/CAPACITY.md has the memory and the evenness for this number.
SLOTS = 2048


def slot_of(start: int) -> int:
    """Return the slot of the block that begins at ``start``."""
    return (start * 0x9E3779B97F4A7C15 >> 41) & (SLOTS - 1)


class RankTable:
    """The first VMs of each slot.

    Parameters
    ----------
    count : int
        VMs kept for each slot.
    """

    def __init__(self, count: int):
        self._count = count
        self._vms: frozenset[str] = frozenset()
        self.ranks: list[tuple[str, ...]] = [()] * SLOTS

    @property
    def vms(self) -> frozenset[str]:
        """The VMs that are ranked."""
        return self._vms

    def set_vms(self, vms: Iterable[str]) -> None:
        """Replace the VMs; only the slots that this changes are computed again."""
        new = frozenset(vms)
        added, removed = new - self._vms, self._vms - new
        self._vms = new
        if len(added) + len(removed) > len(new) // 2:
            self.ranks = [ranking.rank_vms(i, new, self._count) for i in range(SLOTS)]
            return
        for vm in removed:
            self._remove(vm)
        for vm in added:
            self._add(vm)

    def _remove(self, vm):
        for slot, ranked in enumerate(self.ranks):
            if vm in ranked:
                self.ranks[slot] = ranking.rank_vms(slot, self._vms, self._count)

    def _add(self, vm):
        hashed = ranking.vm_hash(vm)
        for slot, ranked in enumerate(self.ranks):
            if vm in ranked:
                continue
            if len(ranked) == self._count:
                last = ranking.weight(slot, ranking.vm_hash(ranked[-1]))
                if (ranking.weight(slot, hashed), vm) < (last, ranked[-1]):
                    continue
            self.ranks[slot] = ranking.rank_vms(slot, (*ranked, vm), self._count)
