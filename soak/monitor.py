"""Watches the processes of a run."""

import contextlib
import pathlib

import trio

from soak import deployment as deployment_module

_INTERVAL_SECONDS = 0.5
_KILOBYTES = 1024.0


async def watch_memory(deployed: deployment_module.Deployment) -> None:
    """Record the peak memory of each process, until cancelled."""
    peaks = deployed.observations.memory_mb
    while True:
        for name, pid in deployed.running().items():
            with contextlib.suppress(OSError):
                status = pathlib.Path(f"/proc/{pid}/status").read_text()
                for line in status.splitlines():
                    if line.startswith("VmHWM:"):
                        peaks[name] = int(line.split()[1]) / _KILOBYTES
        await trio.sleep(_INTERVAL_SECONDS)
