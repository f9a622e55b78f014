"""A short soak of real processes, and all runs that ever failed."""

import pytest
import trio

from soak import regressions, run

SHORT = run.Options(seed=77, seconds=8.0)


@pytest.mark.parametrize(
    "options",
    [
        SHORT,
        *(
            run.Options(each.seed, each.seconds, small=each.small)
            for each in regressions.REGRESSIONS
        ),
    ],
    ids=lambda options: f"seed-{options.seed}",
)
def test_promises_hold_under_faults(options):
    outcome = trio.run(run.play, options)
    assert outcome.broken == {}, outcome
    # A run that injected nothing, or that nobody used, shows nothing.
    assert outcome.injected
    assert outcome.served > 200
