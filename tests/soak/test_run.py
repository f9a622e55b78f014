"""A short soak test with real processes, and all runs that failed once."""

import random
import types

import pytest
import trio
from trio import testing

from soak import history, regressions, run

SHORT = run.Options(seed=77, seconds=8.0)


@pytest.mark.parametrize(
    "options",
    [
        SHORT,
        *(
            run.Options(
                each.seed, each.seconds, first_vm_cpu_share=each.first_vm_cpu_share
            )
            for each in regressions.REGRESSIONS
        ),
    ],
    ids=lambda options: f"seed-{options.seed}",
)
def test_guarantees_hold_under_faults(options):
    outcome = trio.run(run.execute, options)
    assert outcome.broken == {}, outcome
    # The run is meaningful only if faults were injected and requests were served.
    assert outcome.injected
    assert outcome.served > 200


# Guards against faults of upstreams that are still in force when recovery is judged.
@pytest.mark.parametrize("seed", range(4))
def test_all_faults_have_ended_before_the_recovery(seed):
    in_force = []

    async def end_at_once(deployed, rng):
        await trio.lowlevel.checkpoint()

    async def end_late(deployed, rng):
        in_force.append(rng)
        await trio.sleep(20.0)
        in_force.remove(rng)

    deployed = types.SimpleNamespace(
        burst_targets=[types.SimpleNamespace(name="vm-0")],
        organisations={"organisation-0": {"api_keys": ["key-0-a"]}},
        burst_callers=0,
        start_burst=lambda *arguments: None,
    )
    injected = []
    trio.run(
        run.play_faults,
        deployed,
        run.Options(seed, 0.5, site="txiki-swap"),
        random.Random(seed),
        {"upstreams_slow": end_late, "vm_killed": end_at_once},
        injected,
        clock=testing.MockClock(autojump_threshold=0),
    )
    assert injected
    assert not in_force


# Guards against a recovery that is over while the store has hardly answered yet.
@pytest.mark.parametrize(("stalled", "seconds"), [([], 4.0), ([(1.0, 3.0)], 6.0)])
def test_the_recovery_lasts_longer_by_the_stalls_of_the_run(stalled, seconds):
    async def wait():
        observations = history.History()
        begin = trio.current_time()
        observations.stalls[history.RUN] = [
            (begin + since, begin + until) for since, until in stalled
        ]
        await run.run_for(observations, 4.0)
        return trio.current_time() - begin

    clock = testing.MockClock(autojump_threshold=0)
    assert trio.run(wait, clock=clock) == pytest.approx(seconds)
