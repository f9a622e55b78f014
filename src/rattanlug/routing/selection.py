"""Choice of an upstream among those whose slots one VM may give out."""

import random
from collections.abc import Iterable, Mapping

from rattanlug.model import upstream
from rattanlug.routing import registry, slot_ledger, upstream_state


def select(
    upstreams: Iterable[upstream.Upstream],
    ledger: slot_ledger.SlotLedger,
    states: Mapping[str, upstream_state.UpstreamState],
    policy: registry.Policy,
    now: float,
    rng: random.Random,
    *,
    suspects: bool = True,
    health: bool = True,
) -> str | None:
    """Return the upstream to take an own slot of.

    The same function serves own requests and requests for a loan. A request first
    looks through all its tiers without suspects, and with them only when nothing else
    has a free slot.

    Parameters
    ----------
    upstreams : Iterable of upstream.Upstream
    ledger : slot_ledger.SlotLedger
    states : Mapping
        State of each upstream in ``upstreams`` by name.
    policy : registry.Policy
    now : float
        Seconds.
    rng : random.Random
    suspects : bool
        False leaves out upstreams that seem to stall.
    health : bool
        False keeps ejected upstreams, for experiments.

    Returns
    -------
    str or None
        None when no upstream that takes work has a free slot.
    """
    views = []
    for item in upstreams:
        free = ledger.free(item.name, now)
        if not free:
            continue
        state = states[item.name]
        if state.leaving_since is not None or (health and state.ejected(now)):
            continue
        if suspects or not state.suspect(now):
            views.append(state.view(item.name, free, item.slots, now))
    return policy.pick(views, rng).name if views else None
