"""Upstreams that send faulty responses, crash or send wrong load reports."""

import random

import trio

from trial import deployment
from trial.failures import context, registry

_FAULT_S = 12.0
_DOWN_S = 6.0
_ROUNDS = 6


def _choose(
    running: context.FailureContext, generator: random.Random, count: int
) -> list[deployment.UpstreamPlace]:
    candidates = [
        each
        for each in running.places.upstreams
        if each.version == "v1" and not running.is_down(each)
    ]
    return generator.sample(candidates, count)


@registry.failure("upstream-answers", order=1, seconds=16)
async def break_answers(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Send late, truncated and duplicate responses, some on connections kept open."""
    running.record_event("responses late, short, duplicate and stray")
    for _ in range(_ROUNDS):
        for answer in ("late", "short", "duplicate", "stray"):
            for place in _choose(running, generator, 3):
                await running.control_upstream(place, answer=answer, answer_count=2)
        await trio.sleep(_FAULT_S / _ROUNDS)
    for place in running.places.upstreams:
        await running.control_upstream(place, answer="", answer_count=0)
    running.record_event("responses are correct")
    return f"{_ROUNDS} rounds of 2 broken responses at 12 upstreams"


@registry.failure("upstream-killed", order=6, seconds=18)
async def kill_upstreams(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Kill three upstreams and restart them."""
    chosen = _choose(running, generator, 3)
    for place in chosen:
        await running.crash_upstream(place)
    await trio.sleep(_DOWN_S)
    for place in chosen:
        await running.restart_upstream(place)
    return "killed " + ", ".join(each.name for each in chosen)


@registry.failure("reports-wrong", order=6, seconds=16)
async def falsify_reports(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Have upstreams report no load, every slot in use, or nothing."""
    chosen = _choose(running, generator, 9)
    for index, place in enumerate(chosen):
        report = ("idle", "full", "stopped")[index % 3]
        await running.control_upstream(place, report=report)
    running.record_event("9 upstreams send wrong load reports")
    await trio.sleep(_FAULT_S)
    for place in chosen:
        await running.control_upstream(place, report="")
    running.record_event("load reports are correct")
    return "wrong: " + ", ".join(each.name for each in chosen)
