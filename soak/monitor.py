"""Watches the processes of a run, and the run itself."""

import contextlib
import pathlib

import trio

from soak import deployment as deployment_module

_INTERVAL_SECONDS = 0.5
_TICK_SECONDS = 0.02
# A later wake-up is recorded: what the run measured then is late as well.
_STALL_SECONDS = 0.15
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


async def watch_stalls(deployed: deployment_module.Deployment) -> None:
    """Record when the run itself got no processor, until cancelled."""
    before = trio.current_time()
    while True:
        await trio.sleep(_TICK_SECONDS)
        now = trio.current_time()
        if now - before > _STALL_SECONDS:
            deployed.observations.stalls.append((before, now))
        before = now
