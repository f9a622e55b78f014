"""Watches the processes of a run."""

import contextlib
import pathlib

import trio

from soak import deployment as deployment_module
from soak import processor_reading

_INTERVAL_SECONDS = 0.1
_KILOBYTES = 1024.0
# Peak of all resident memory, and what is private at present.
_KINDS = frozenset({"VmHWM", "RssAnon"})


async def watch_processes(deployed: deployment_module.Deployment) -> None:
    """Record peak memory and processor time of each process, until cancelled."""
    peaks = deployed.observations.memory_mb
    private = deployed.observations.private_mb
    processor = deployed.observations.processor
    while True:
        for name, pid in deployed.running().items():
            with contextlib.suppress(OSError):
                memory = _memory_mb(pid)
                peaks[name] = memory.get("VmHWM", peaks.get(name, 0.0))
                private[name] = max(private[name], memory.get("RssAnon", 0.0))
                reading = processor_reading.read(pid, trio.current_time())
                first, _ = processor.get(name, (reading, reading))
                processor[name] = (first, reading)
        await trio.sleep(_INTERVAL_SECONDS)


def _memory_mb(pid: int) -> dict[str, float]:
    """Return the resident memory of a process by kind, none of one that has ended.

    Raises
    ------
    OSError
        The process is gone.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = (line.partition(":")[::2] for line in status.splitlines())
    return {
        name: int(value.split()[0]) / _KILOBYTES
        for name, value in fields
        if name in _KINDS
    }
