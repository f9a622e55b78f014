"""Selection of an upstream among those at which this VM owns slots."""

import random
from collections.abc import Iterable, Mapping

from rattanlug.model import upstream
from rattanlug.routing import registry, slot_ledger, upstream_state

# Share of ejected upstreams above which ejections are ignored.
PANIC_THRESHOLD = 0.5


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
    """Return the upstream at which to use one of this VM's own slots.

    The function is used for the VM's own requests and for lending a slot to another
    VM. A request first tries all its tiers, from near to far, without suspect
    upstreams, and includes suspect ones only if no other upstream has a free slot.

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
        False excludes upstreams that appear to stall. True includes them, and also
        includes ejected upstreams if more than half of the upstreams are ejected.
    exclude_ejected : bool
        False includes ejected upstreams in any case, for experiments.

    Returns
    -------
    str or None
        None if no eligible upstream has a free slot.
    """
    active = [item for item in upstreams if states[item.name].leaving_since is None]
    ejected = {item.name for item in active if states[item.name].ejected(now)}
    # If most upstreams fail, the cause is rarely in the upstreams, and ejecting them
    # would overload the remaining ones.
    panic = include_suspects and len(ejected) > PANIC_THRESHOLD * len(active)
    views = []
    for item in active:
        state = states[item.name]
        if item.name in ejected and exclude_ejected and not panic:
            continue
        free = ledger.free(item.name, now)
        if free and (include_suspects or not state.suspect(now)):
            views.append(state.view(item.name, free, item.slots, now))
    return policy.pick(views, rng).name if views else None
