"""Rendezvous hashing: each block has its own order of the VMs.

A VM that goes takes only its own blocks with it, and gets the same ones back.
"""

import functools
import hashlib
from collections.abc import Iterable

_MASK = (1 << 64) - 1


@functools.lru_cache(maxsize=16_384)
def vm_hash(vm: str) -> int:
    """Return 64 bits that depend on the name only, the same on every VM."""
    digest = hashlib.blake2b(vm.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def weight(block: int, hashed_vm: int) -> int:
    """Return the weight of a VM for a block, 64 bits.

    Parameters
    ----------
    block : int
        Any number that names the block.
    hashed_vm : int
        Result of ``vm_hash``.

    Notes
    -----
    The finaliser of SplitMix64 (Steele, Lea and Flood, 2014). A CRC would not do: it
    is linear, so the weights of two VMs would differ in the same bits for every block.
    """
    x = (block * 0x9E3779B97F4A7C15 ^ hashed_vm) & _MASK
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & _MASK
    return x ^ x >> 31


def rank_vms(block: int, vms: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the VMs with the highest weights for a block, highest first.

    Parameters
    ----------
    block : int
    vms : iterable of str
    count : int

    Returns
    -------
    tuple of str
    """
    ranked = sorted(((weight(block, vm_hash(vm)), vm) for vm in vms), reverse=True)
    return tuple(vm for _, vm in ranked[:count])
