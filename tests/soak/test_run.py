"""A short soak test with real processes, and all runs that failed once."""

import pytest
import trio

from soak import regressions, run

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
