"""Watches the processes of a run."""

import contextlib
import pathlib

import trio

from soak import deployment as deployment_module
from soak import processor_reading

_INTERVAL_SECONDS = 0.5
_KILOBYTES = 1024.0


async def watch_processes(deployed: deployment_module.Deployment) -> None:
    """Record peak memory and processor time of each process, until cancelled."""
    peaks = deployed.observations.memory_mb
    processor = deployed.observations.processor
    while True:
        for name, pid in deployed.running().items():
            with contextlib.suppress(OSError):
                status = pathlib.Path(f"/proc/{pid}/status").read_text()
                for line in status.splitlines():
                    if line.startswith("VmHWM:"):
                        peaks[name] = int(line.split()[1]) / _KILOBYTES
                reading = processor_reading.read(pid, trio.current_time())
                first, _ = processor.get(name, (reading, reading))
                processor[name] = (first, reading)
        await trio.sleep(_INTERVAL_SECONDS)
