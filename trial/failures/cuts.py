"""Network partitions ("cuts") between data centres, regions and the platform."""

import random

import trio

from trial.failures import context, facts, registry

# Keyed routes are rejected from 10 s on; open routes must be served throughout.
_CUT_S = 17.0


def _choose(running: context.FailureContext, generator: random.Random) -> str:
    return generator.choice([name for name, _ in running.plan.data_centres])


async def _cut(
    running: context.FailureContext, data_centres: tuple[str, ...], scope: str
) -> str:
    async with running.cut(data_centres, scope):
        await trio.sleep(_CUT_S)
    for place in running.vms_in(data_centres):
        if place in running.live:
            await running.wait_serving(place)
    return f"{'+'.join(data_centres)} cut from {scope} for {_CUT_S:g} s"


@registry.failure("cut-everything", order=2, seconds=24)
async def cut_everything(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Cut a data centre off from the platform and from every other one."""
    return await _cut(running, (_choose(running, generator),), facts.EVERYTHING)


@registry.failure("cut-platform", order=2, seconds=24)
async def cut_platform(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Cut a data centre off from the platform only; its peers relay tables."""
    return await _cut(running, (_choose(running, generator),), facts.PLATFORM)


@registry.failure("cut-peers", order=2, seconds=24)
async def cut_peers(running: context.FailureContext, generator: random.Random) -> str:
    """Cut a data centre off from the others but not from the platform."""
    return await _cut(running, (_choose(running, generator),), facts.PEERS)


@registry.failure("cut-region", order=7, seconds=24)
async def cut_region(running: context.FailureContext, generator: random.Random) -> str:
    """Cut a region off from the platform and from every other region."""
    region = generator.choice(
        sorted({region for _, region in running.plan.data_centres})
    )
    inside = tuple(name for name, own in running.plan.data_centres if own == region)
    return await _cut(running, inside, facts.EVERYTHING)
