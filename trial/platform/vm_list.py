"""The platform's list of VMs, which shows changes with a lag."""

from typing import Any


class VmList:
    """List of VMs in which changes become visible after a lag.

    Parameters
    ----------
    lag_s : float
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []

    def change(self, vm: str, entry: dict[str, Any] | None, now: float) -> None:
        """Replace the entry of a VM, or remove it with None."""
        self._changes.append((now, vm, entry))

    def read(self, now: float) -> list[dict[str, Any]]:
        """Return the entries as they were ``lag_s`` ago."""
        visible: dict[str, dict[str, Any]] = {}
        for changed, vm, entry in self._changes:
            if changed > now - self._lag_s:
                break
            if entry is None:
                visible.pop(vm, None)
            else:
                visible[vm] = {"vm": vm, **entry}
        return list(visible.values())
