"""Entry VM that runs the decision code of the package on modelled upstreams."""

import random

from rattanlug.routing import (
    fair_queue,
    link_budget,
    policy,
    retry_budget,
    selection,
    slot_ledger,
    upstream_state,
)

POLL_INTERVAL_S = 0.02


class Vm:
    """State of one VM.

    Parameters
    ----------
    name : str
    data_centre : int
    owned : dict
        Slot numbers by upstream.
    policy_name : str
    link_rates : dict
        Bytes per second by the name of the other region.
    rng : random.Random
    """

    def __init__(self, name, data_centre, owned, policy_name, link_rates, rng):
        self.name = name
        self.data_centre = data_centre
        self.alive = True
        self.ledger = slot_ledger.SlotLedger(name)
        self.ledger.set_owned(owned, 0.0, 0.0)
        self.policy = policy.create(policy_name)
        self.link = link_budget.LinkBudget(link_rates, 0.0)
        self.retries = retry_budget.RetryBudget()
        self.queues: dict[int, fair_queue.FairQueue] = {}
        self.states: dict[str, upstream_state.UpstreamState] = {}
        self.polled_pools: set[int] = set()
        self.waiting: dict[tuple[int, int], object] = {}
        self._rng: random.Random = rng

    def state(self, upstream: str, now: float) -> upstream_state.UpstreamState:
        """Return the state of an upstream, creating it on first use."""
        if upstream not in self.states:
            self.states[upstream] = upstream_state.UpstreamState(now)
        return self.states[upstream]

    def select(self, upstreams, now, *, include_suspects, exclude_ejected):
        """Return the selected upstream as a list of at most one name."""
        for upstream in upstreams:
            self.state(upstream.name, now)
        name = selection.select(
            upstreams,
            self.ledger,
            self.states,
            self.policy,
            now,
            self._rng,
            include_suspects=include_suspects,
            exclude_ejected=exclude_ejected,
        )
        return [] if name is None else [name]
