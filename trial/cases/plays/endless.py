"""Cases of upstreams that send bytes without end.

Measured are the private memory with the unread bytes, during the fault and after it,
the processor time, and how long a readiness check waits.
"""

import contextlib
from collections.abc import Iterable

import trio

from trial.cases import lab as lab_module
from trial.cases import registry, scripted_upstream
from trial.shared_platform import endless_response

_UPSTREAMS = 6
_CALLERS = 120
_FAULT_SECONDS = 3.0
_CALM_SECONDS = 2.0
_PROBE_SECONDS = 0.1
_SAMPLE_SECONDS = 0.02
_PAUSE_SECONDS = 0.1
_MEMORY_MB = 300
# The platform checks once per second whether a VM is ready.
_MAX_PROBE_SECONDS = 1.0


class _Readings:
    """What was measured of a daemon since the last reset."""

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


async def _watch_memory(daemon: lab_module.Daemon, readings: _Readings) -> None:
    while True:
        unread = daemon.unread_mb()
        readings.unread_mb = max(readings.unread_mb, unread)
        readings.peak_mb = max(readings.peak_mb, daemon.private_mb() + unread)
        await trio.sleep(_SAMPLE_SECONDS)


async def _probe(
    lab: lab_module.Lab, daemon: lab_module.Daemon, readings: _Readings
) -> None:
    while True:
        began = trio.current_time()
        await lab.readiness(daemon)
        waited = trio.current_time() - began
        readings.longest_probe = max(readings.longest_probe, waited)
        await trio.sleep(_PROBE_SECONDS)


async def _watch_lag(readings: _Readings) -> None:
    while True:
        expected = trio.current_time() + _SAMPLE_SECONDS
        await trio.sleep(_SAMPLE_SECONDS)
        lag = trio.current_time() - expected
        readings.longest_own_lag = max(readings.longest_own_lag, lag)


async def play(
    lab: lab_module.Lab,
    form: endless_response.Form,
    faulty: Iterable[int],
    callers: int = _CALLERS,
    fault_seconds: float = _FAULT_SECONDS,
    calm_seconds: float = _CALM_SECONDS,
) -> None:
    """Let upstreams answer with bytes without end, with each status in turn.

    Parameters
    ----------
    lab : lab_module.Lab
    form : endless_response.Form
    faulty : iterable of int
        How many of the upstreams do so, one fault after the other.
    callers : int
        Callers on kept connections.
    fault_seconds, calm_seconds : float
        How long each fault lasts, and the time after it.
    """
    await lab.start(_UPSTREAMS)
    daemon = await lab.start_daemon(0, limits={"memory_mb": _MEMORY_MB})
    readings = _Readings()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_memory, daemon, readings)
        nursery.start_soon(_probe, lab, daemon, readings)
        nursery.start_soon(_watch_lag, readings)
        async with lab.traffic(
            [daemon], callers=callers, keeps=True, pause_seconds=_PAUSE_SECONDS
        ):
            await trio.sleep(calm_seconds)
            before_mb = daemon.private_mb()
            for count in faulty:
                for status in endless_response.STATUSES:
                    await _play_fault(
                        lab, daemon, readings, form, count, status, fault_seconds
                    )
                    await _play_calm(lab, calm_seconds)
        nursery.cancel_scope.cancel()
    lab.notes.append(f"{before_mb:.0f} MB before, {daemon.private_mb():.0f} after")
    if await lab.readiness(daemon) != 200:
        lab.breaches.append("not ready afterwards")
    await lab.stop(daemon)


async def _play_fault(
    lab: lab_module.Lab,
    daemon: lab_module.Daemon,
    readings: _Readings,
    form: endless_response.Form,
    count: int,
    status: int,
    seconds: float,
) -> None:
    async def script(upstream, stream, received) -> bool:
        with contextlib.suppress(trio.BrokenResourceError):
            await upstream.read_body(stream, received)
            await form.send(stream, status, received.request_id)
        return False

    readings.reset()
    first, processor = len(lab.outcomes), daemon.processor_seconds()
    for each in lab.upstreams[:count]:
        each.script = script
    await trio.sleep(seconds)
    for each in lab.upstreams[:count]:
        each.script = scripted_upstream.answer
    used = daemon.processor_seconds() - processor
    name = f"{count} behind {status}"
    lab.notes.append(
        f"{name}: {readings}, processor {used:.2f} s of {seconds:g}, "
        f"during {_statuses(lab, first)}"
    )
    if readings.peak_mb > _MEMORY_MB:
        lab.breaches.append(
            f"{name}: {readings.peak_mb:.0f} MB of memory, {_MEMORY_MB} allowed"
        )
    if readings.longest_probe >= _MAX_PROBE_SECONDS:
        lab.breaches.append(f"{name}: a readiness check had no answer in time")


async def _play_calm(lab: lab_module.Lab, seconds: float) -> None:
    first = len(lab.outcomes)
    await trio.sleep(seconds)
    lab.notes.append(f"in {seconds:g} s after it {_statuses(lab, first)}")


def _statuses(lab: lab_module.Lab, first: int) -> dict[str, int]:
    """Count the outcomes from the first one on by status, or failure."""
    counts: dict[str, int] = {}
    for each in lab.outcomes[first:]:
        name = each.failure or str(each.status)
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def _register(name: str, form: endless_response.Form) -> None:
    for which, count in (("one", 1), ("all", _UPSTREAMS)):

        async def endless(lab: lab_module.Lab, count: int = count) -> None:
            await play(lab, form, [count])

        endless.__name__ = f"long_endless_{name}_from_{which}"
        endless.__doc__ = f"Bytes without end, as {name}, from {which}."
        registry.case(endless)


for _name, _form in endless_response.FORMS.items():
    _register(_name, _form)
