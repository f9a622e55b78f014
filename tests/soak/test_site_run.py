"""A short run on a site with real processes."""

import trio

from soak import run


def test_guarantees_hold_on_a_site():
    outcome = trio.run(run.execute, run.Options(314, 5.0, site="txiki-swap"))
    assert outcome.broken == {}, outcome
    # The run is meaningful only if faults met requests and cold upstreams.
    assert outcome.injected
    assert outcome.served > 500
    assert outcome.counts["cold periods"] > 0


# Guards against daemons that run out of memory or stand still, and lose the requests of
# others, because upstreams send bytes without end.
def test_guarantees_hold_while_upstreams_send_without_end():
    options = run.Options(481001, 2.0, site="nool-stitch", only="without_end")
    outcome = trio.run(run.execute, options)
    assert outcome.broken == {}, outcome
    assert outcome.served > 500
    assert outcome.counts["sent without end"] > 100
    assert outcome.counts["MB sent without end"] > 100
