"""A short run on a site with real processes."""

import trio

from soak import run


def test_guarantees_hold_on_a_site():
    outcome = trio.run(run.execute, run.Options(301, 5.0, site="txiki-swap"))
    assert outcome.broken == {}, outcome
    # The run is meaningful only if faults met requests and cold upstreams.
    assert outcome.injected
    assert outcome.served > 500
    assert outcome.counts["cold periods"] > 0
