"""Rendezvous hashing: each block has its own order of the VMs.

A VM that goes takes only its own blocks with it, and gets the same ones back.
"""

import array
import functools
import hashlib
import sys
from collections.abc import Iterable, Sequence

#: Blocks are hashed to this many slots and all blocks of a slot have the same order.
#: Weights for each block and VM would take a hundred microseconds a call with 111
#: VMs; docs/CAPACITY.md has the time, memory and evenness for this number.
SLOTS = 4096
#: 32 KB each. Enough for the own data centre and one that changes.
_CACHED_VMS = 256


def slot_of(block: int) -> int:
    """Return the slot of a block.

    Parameters
    ----------
    block : int
        Start address, at most 64 bits.
    """
    return (block * 0x9E3779B97F4A7C15 >> 41) & (SLOTS - 1)


@functools.lru_cache(maxsize=_CACHED_VMS)
def slot_weights(vm: str) -> Sequence[int]:
    """Return the weight of a VM in each slot.

    Parameters
    ----------
    vm : str

    Returns
    -------
    sequence of int
        ``SLOTS`` numbers of 64 bits that depend on the name only. Two VMs never have
        the same weight in practice.

    Notes
    -----
    One call of an extendable hash gives all weights of a VM in C; mixing each of them
    in Python takes ten times as long.
    """
    weights = array.array("Q")
    weights.frombytes(hashlib.shake_128(vm.encode()).digest(SLOTS * weights.itemsize))
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
    slot = slot_of(block)
    ranked = sorted(vms, key=lambda vm: slot_weights(vm)[slot], reverse=True)
    return tuple(ranked[:count])
