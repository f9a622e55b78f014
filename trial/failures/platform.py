"""Failures of the platform: it is down, hangs, is slow or loses responses."""

import random

import trio

from trial.failures import context, registry

_OUTAGE_S = 12.0
_BATCHES = 8


async def _run_mode(running: context.FailureContext, mode: str, delay: float) -> str:
    async with running.platform_mode(mode, delay=delay):
        await trio.sleep(_OUTAGE_S)
    return f"{mode} for {_OUTAGE_S:g} s"


@registry.failure("platform-down", order=1, seconds=18)
async def down(running: context.FailureContext, generator: random.Random) -> str:
    """Have the platform close every connection."""
    return await _run_mode(running, "down", 0.0)


@registry.failure("platform-hanging", order=1, seconds=18)
async def hanging(running: context.FailureContext, generator: random.Random) -> str:
    """Have the platform accept requests and never respond."""
    return await _run_mode(running, "hanging", 0.0)


@registry.failure("platform-slow", order=1, seconds=18)
async def slow(running: context.FailureContext, generator: random.Random) -> str:
    """Have the platform respond after 0.3 to 1.5 s."""
    return await _run_mode(running, "slow", generator.uniform(0.3, 1.5))


@registry.failure("answers-lost", order=1, seconds=18)
async def lose_answers(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Apply writes without sending a response, some of them up to 2.5 s later."""
    lost = late = 0
    for _ in range(_BATCHES):
        dropped, delayed = generator.randint(2, 8), generator.randint(0, 4)
        delay = generator.uniform(0.1, 2.5)
        await running.control_platform(
            drop_answers=dropped, late_writes=delayed, delay=delay
        )
        running.record_event(
            f"{dropped} answers lost, {delayed} writes {delay:.1f} s late"
        )
        lost, late = lost + dropped, late + delayed
        await trio.sleep(_OUTAGE_S / _BATCHES)
    await running.control_platform(drop_answers=0, late_writes=0)
    return f"up to {lost} answers lost and {late} writes late"
