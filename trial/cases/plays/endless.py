"""Cases of upstreams that send bytes without end.

Measured are the private memory with the unread bytes, during the fault and after it,
the processor time, and how long a readiness check waits.
"""

import contextlib
from collections.abc import Iterable

import trio

from trial.cases import lab as lab_module
from trial.cases import measured, registry, scripted_upstream
from trial.shared_platform import endless_response

_UPSTREAMS = 6
_CALLERS = 120
_FAULT_SECONDS = 3.0
_CALM_SECONDS = 2.0
_PAUSE_SECONDS = 0.1


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
    daemon = await lab.start_daemon(0, limits={"memory_mb": measured.MEMORY_MB})
    readings = measured.Measured(lab, [daemon])
    async with (
        readings.run(),
        lab.traffic(
            [daemon], callers=callers, keeps=True, pause_seconds=_PAUSE_SECONDS
        ),
    ):
        await trio.sleep(calm_seconds)
        before_mb = daemon.private_mb()
        for count in faulty:
            for status in endless_response.STATUSES:
                script = endless_script(form, status)
                upstreams = lab.upstreams[:count]
                with readings.fault(f"{count} behind {status}", script, upstreams):
                    await trio.sleep(fault_seconds)
                await readings.calm(calm_seconds)
    lab.notes.append(f"{before_mb:.0f} MB before, {daemon.private_mb():.0f} after")
    if await lab.readiness(daemon) != 200:
        lab.breaches.append("not ready afterwards")
    await lab.stop(daemon)


def endless_script(
    form: endless_response.Form,
    status: int,
    block: bytes = b"",
    pause_seconds: float = 0.0,
) -> scripted_upstream.Script:
    """Return the script of an upstream that answers with bytes without end.

    Parameters
    ----------
    form : endless_response.Form
    status : int
    block : bytes
        Sent again and again; many repetitions of the form by default.
    pause_seconds : float
        Time between two blocks.
    """

    async def script(
        upstream: scripted_upstream.ScriptedUpstream,
        stream: trio.SocketStream,
        received: scripted_upstream.Received,
    ) -> bool:
        with contextlib.suppress(trio.BrokenResourceError):
            if received.method != "HEAD":
                await upstream.read_body(stream, received)
            await form.send(stream, status, received.request_id, block, pause_seconds)
        return False

    return script


def _register(name: str, form: endless_response.Form) -> None:
    for which, count in (("one", 1), ("all", _UPSTREAMS)):

        async def endless(lab: lab_module.Lab, count: int = count) -> None:
            await play(lab, form, [count])

        endless.__name__ = f"long_endless_{name}_from_{which}"
        endless.__doc__ = f"Bytes without end, as {name}, from {which}."
        registry.case(endless)


for _name, _form in endless_response.FORMS.items():
    _register(_name, _form)
