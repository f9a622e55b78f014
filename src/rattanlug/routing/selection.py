"""Choice of an upstream among those whose slots one VM may give out."""

import random
from collections.abc import Iterable, Mapping

from rattanlug.model import upstream
from rattanlug.routing import registry, slot_ledger, upstream_state

LARGEST_EJECTED_SHARE = 0.5


def select(
    upstreams: Iterable[upstream.Upstream],
    ledger: slot_ledger.SlotLedger,
    states: Mapping[str, upstream_state.UpstreamState],
    policy: registry.Policy,
    now: float,
    rng: random.Random,
    *,
    include_suspects: bool = True,
    exclude_ejected: bool = True,
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
    include_suspects : bool
        False leaves out upstreams that seem to stall. True also uses ejected ones
        when they are more than half.
    exclude_ejected : bool
        False keeps ejected upstreams, for experiments.

    Returns
    -------
    str or None
        None when no upstream that takes work has a free slot.
    """
    staying = [item for item in upstreams if states[item.name].leaving_since is None]
    ejected = {item.name for item in staying if states[item.name].ejected(now)}
    # When most upstreams fail, the cause is rarely theirs, and without them the others
    # would be overloaded.
    panic = include_suspects and len(ejected) > LARGEST_EJECTED_SHARE * len(staying)
    views = []
    for item in staying:
        state = states[item.name]
        if item.name in ejected and exclude_ejected and not panic:
            continue
        free = ledger.free(item.name, now)
        if free and (include_suspects or not state.suspect(now)):
            views.append(state.view(item.name, free, item.slots, now))
    return policy.pick(views, rng).name if views else None
