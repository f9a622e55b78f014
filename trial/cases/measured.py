"""Measures daemons while their upstreams are faulty."""

import contextlib
from collections.abc import AsyncIterator, Iterator, Sequence

import trio

from trial.cases import lab as lab_module
from trial.cases import scripted_upstream

MEMORY_MB = 300
_PROBE_SECONDS = 0.1
_SAMPLE_SECONDS = 0.02
# Pause between two readings of the unread bytes, by the time that one took.
_UNREAD_PAUSE_RATIO = 9.0
# The platform checks once per second whether a VM is ready.
_MAX_PROBE_SECONDS = 1.0


class Readings:
    """What was measured since the last reset; of several daemons, the largest."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin anew."""
        self.peak_mb = self.unread_mb = 0.0
        self.longest_probe = self.longest_own_lag = 0.0

    def __str__(self) -> str:
        return (
            f"peak {self.peak_mb:.0f} MB with {self.unread_mb:.0f} MB unread at most, "
            f"probe {self.longest_probe:.2f} s, own lag {self.longest_own_lag:.2f} s"
        )


class Measured:
    """Measures daemons and judges what they use during faults.

    Parameters
    ----------
    lab : lab_module.Lab
    daemons : list of lab_module.Daemon
    """

    def __init__(
        self, lab: lab_module.Lab, daemons: Sequence[lab_module.Daemon]
    ) -> None:
        self._lab = lab
        self._daemons = list(daemons)
        self._processor: dict[int, float] = {}
        # Of each daemon by name, as last read.
        self._unread_mb: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self.readings = Readings()

    @property
    def processor_seconds(self) -> float:
        """Processor time of all daemons, also of those that have ended."""
        for each in self._daemons:
            self._sample_processor(each)
        return sum(self._processor.values())

    def add(self, daemon: lab_module.Daemon) -> None:
        """Measure a further daemon from now on."""
        self._daemons.append(daemon)
        if self._nursery is not None:
            self._nursery.start_soon(self._watch_memory, daemon)
            self._nursery.start_soon(self._watch_unread, daemon)
            self._nursery.start_soon(self._probe, daemon)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Measure until the context ends."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._watch_lag)
            daemons, self._daemons = self._daemons, []
            for each in daemons:
                self.add(each)
            yield
            self._nursery = None
            nursery.cancel_scope.cancel()

    @contextlib.contextmanager
    def fault(
        self,
        name: str,
        script: scripted_upstream.Script,
        upstreams: Sequence[scripted_upstream.ScriptedUpstream],
    ) -> Iterator[None]:
        """Let upstreams play a script until the context ends; judge the daemons.

        Parameters
        ----------
        name : str
        script : callable
        upstreams : sequence of scripted_upstream.ScriptedUpstream
        """
        self.readings.reset()
        first, processor = len(self._lab.outcomes), self.processor_seconds
        began = trio.current_time()
        for each in upstreams:
            each.script = script
        yield
        for each in upstreams:
            each.script = scripted_upstream.answer
        used = self.processor_seconds - processor
        seconds = trio.current_time() - began
        self._lab.notes.append(
            f"{name}: {self.readings}, processor {used:.2f} s of {seconds:.1f}, "
            f"during {statuses(self._lab, first)}"
        )
        if self.readings.peak_mb > MEMORY_MB:
            self._lab.breaches.append(
                f"{name}: {self.readings.peak_mb:.0f} MB of memory, {MEMORY_MB} allowed"
            )
        if self.readings.longest_probe >= _MAX_PROBE_SECONDS:
            self._lab.breaches.append(
                f"{name}: a readiness check had no answer in time"
            )

    async def calm(self, seconds: float) -> None:
        """Wait some seconds and record the outcomes in them."""
        first = len(self._lab.outcomes)
        await trio.sleep(seconds)
        self._lab.notes.append(
            f"in {seconds:g} s after it {statuses(self._lab, first)}"
        )

    def _sample_processor(self, daemon: lab_module.Daemon) -> None:
        pid = daemon.process.pid
        used = daemon.processor_seconds()
        self._processor[pid] = max(self._processor.get(pid, 0.0), used)

    async def _watch_memory(self, daemon: lab_module.Daemon) -> None:
        readings = self.readings
        while True:
            private = daemon.private_mb() + self._unread_mb.get(daemon.name, 0.0)
            readings.peak_mb = max(readings.peak_mb, private)
            self._sample_processor(daemon)
            await trio.sleep(_SAMPLE_SECONDS)

    async def _watch_unread(self, daemon: lab_module.Daemon) -> None:
        readings = self.readings
        while True:
            began = trio.current_time()
            unread = self._unread_mb[daemon.name] = await daemon.unread_mb()
            readings.unread_mb = max(readings.unread_mb, unread)
            took = trio.current_time() - began
            await trio.sleep(max(_SAMPLE_SECONDS, _UNREAD_PAUSE_RATIO * took))

    async def _probe(self, daemon: lab_module.Daemon) -> None:
        while True:
            began = trio.current_time()
            await self._lab.readiness(daemon)
            waited = trio.current_time() - began
            self.readings.longest_probe = max(self.readings.longest_probe, waited)
            await trio.sleep(_PROBE_SECONDS)

    async def _watch_lag(self) -> None:
        while True:
            expected = trio.current_time() + _SAMPLE_SECONDS
            await trio.sleep(_SAMPLE_SECONDS)
            lag = trio.current_time() - expected
            self.readings.longest_own_lag = max(self.readings.longest_own_lag, lag)


def statuses(lab: lab_module.Lab, first: int) -> dict[str, int]:
    """Count the outcomes from the first one on by status, or failure."""
    counts: dict[str, int] = {}
    for each in lab.outcomes[first:]:
        name = each.failure or str(each.status)
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))
