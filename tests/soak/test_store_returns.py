"""A run of real processes with a store that comes back from copies."""

import pytest
import trio

from soak import run

ONLY = "store_returned,state_changed,key_withdrawn,vm_stopped,upstream_replaced"


# Guards against changes that are missed, and keys and upstreams that come back, after a
# return that stops and changes of the desired state accompany.
@pytest.mark.parametrize("seed", [4301, 4302])
def test_guarantees_hold_beside_returns(seed):
    options = run.Options(seed, 7.0, 3, 6, only=ONLY, beside="store_returned")
    outcome = trio.run(run.execute, options)
    assert outcome.counts["store returned"] > 0
    assert outcome.counts["route added"] > 0
    assert outcome.broken == {}, outcome
