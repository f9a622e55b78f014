"""Selects whether a VM reads the store or follows the tables of another VM.

Each call to the store is charged, and the VMs of a region read the same tables. The
first VM of a region reads the store, and the others follow it. A VM without a
predecessor that has a fresh copy reads the store itself. So no election is needed, and
a VM that is cut off, frozen or overloaded delays its followers only briefly.
"""

from collections.abc import Sequence

# Number of VMs that are tried before the store is read; more would only delay the read.
MAX_SOURCES = 3
# A VM that didn't respond, or whose copy was stale, isn't tried again for this time.
AVOID_SECONDS = 3.0


class SourceChoice:
    """Selects the VM to follow, and avoids VMs that recently failed as a source."""

    def __init__(self) -> None:
        self._avoided_until: dict[str, float] = {}

    def choose(self, predecessors: Sequence[str], now: float) -> str | None:
        """Return the VM to follow, or None to read the store.

        Parameters
        ----------
        predecessors : sequence of str
            Live VMs that precede this one in the region's order. A VM follows only its
            predecessors, so that no two VMs follow each other.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        for vm in predecessors[:MAX_SOURCES]:
            if self._avoided_until.get(vm, now) <= now:
                return vm
        return None

    def record_success(self, vm: str) -> None:
        """Record that a VM responded with a fresh copy."""
        self._avoided_until.pop(vm, None)

    def record_failure(self, vm: str, now: float) -> None:
        """Record that a VM didn't respond in time, or with a stale copy."""
        self._avoided_until[vm] = now + AVOID_SECONDS
