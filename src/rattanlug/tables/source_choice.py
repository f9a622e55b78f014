"""Chooses from whom a VM learns what the store holds.

Each call to the store is priced, and most VMs of a region would read the same. The
first VM of a region reads the store and the others follow it. A VM that finds no one
before it with a fresh copy reads the store itself, so that no election is needed and
a VM that is cut off, frozen or overloaded delays the others only for a moment.
"""

from collections.abc import Sequence

# VMs that are asked before the store is read; more would only delay that.
MAX_SOURCES = 3
# A VM that did not answer, or not freshly, is not asked again for this time.
AVOID_SECONDS = 3.0


class SourceChoice:
    """Remembers which VMs could not be followed lately."""

    def __init__(self) -> None:
        self._avoided_until: dict[str, float] = {}

    def choose(self, before: Sequence[str], now: float) -> str | None:
        """Return the VM to follow, or None to read the store.

        Parameters
        ----------
        before : sequence of str
            Live VMs that come before this one in the region's order; since nobody
            follows a later VM, no two can follow each other.
        now : float
            Seconds.
        """
        for vm in before[:MAX_SOURCES]:
            if self._avoided_until.get(vm, now) <= now:
                return vm
        return None

    def record_success(self, vm: str) -> None:
        """Note that a VM answered with a fresh copy."""
        self._avoided_until.pop(vm, None)

    def record_failure(self, vm: str, now: float) -> None:
        """Note that a VM did not answer in time, or with an old copy."""
        self._avoided_until[vm] = now + AVOID_SECONDS
