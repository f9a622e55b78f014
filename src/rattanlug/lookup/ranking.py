"""Rendezvous hashing: each block has its own order of the VMs.

If a VM goes away, only its own blocks move to other VMs, and they return with it.
"""

import array
import functools
import hashlib
import sys
from collections.abc import Iterable, Sequence

#: Number of slots to which blocks are hashed. All blocks of a slot have the same order
#: of VMs. Weights for each block and VM would take 100 microseconds per call with 111
#: VMs; docs/CAPACITY.md has the time, memory and evenness for this number.
HASH_SLOTS = 4096
#: Number of VMs whose weights are cached, 32 KB each. Enough for this VM's data centre
#: and one other that changes.
_CACHED_VMS = 256


def hash_slot(block: int) -> int:
    """Return the hash slot of a block.

    Parameters
    ----------
    block : int
        Start address, at most 64 bits.
    """
    return (block * 0x9E3779B97F4A7C15 >> 41) & (HASH_SLOTS - 1)


@functools.lru_cache(maxsize=_CACHED_VMS)
def hash_slot_weights(vm: str) -> Sequence[int]:
    """Return the weight of a VM in each hash slot.

    Parameters
    ----------
    vm : str

    Returns
    -------
    sequence of int
        ``HASH_SLOTS`` numbers of 64 bits that depend on the name only. In practice, two
        VMs never have the same weight.

    Notes
    -----
    One call of an extendable-output hash computes all weights of a VM in C. Hashing
    each of them in Python takes ten times as long.
    """
    weights = array.array("Q")
    weights.frombytes(
        hashlib.shake_128(vm.encode()).digest(HASH_SLOTS * weights.itemsize)
    )
    if sys.byteorder == "big":
        weights.byteswap()
    return weights


def rank_vms(block: int, vms: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the VMs with the highest weights for a block, highest first.

    Parameters
    ----------
    block : int
        Start address, at most 64 bits.
    vms : iterable of str
    count : int

    Returns
    -------
    tuple of str
    """
    slot = hash_slot(block)
    ranked = sorted(vms, key=lambda vm: hash_slot_weights(vm)[slot], reverse=True)
    return tuple(ranked[:count])
