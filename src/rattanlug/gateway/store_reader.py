"""Reads the store: what operators want and which upstreams exist."""

import trio

from rattanlug.daemon import clock
from rattanlug.desired import state
from rattanlug.gateway import node as node_module
from rattanlug.logs import state as log_state
from rattanlug.platform import names, store_error, store_read, upstream_table

# Longest wait of a feed. The age of keys is at most two waits, which has to stay well
# below the time in which a withdrawn key must stop working.
FEED_WAIT_SECONDS = 1.3
# An upstream that leaves has to get nothing after 2.5 s; a read takes up to 0.1 s.
UPSTREAM_READ_SECONDS = 1.0
# Pause after a failed call; doubles up to the longest.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8


async def follow_operators(node: node_module.Node) -> None:
    """Keep the desired state, the orders and the evacuations up to date."""
    version = None
    pause = FIRST_PAUSE_SECONDS
    while True:
        try:
            if version is None:
                read = await node.store.read_table(names.OPERATOR_TABLE)
                node.operators.apply_all(read)
            else:
                read = await node.store.follow_table(
                    names.OPERATOR_TABLE, version, FEED_WAIT_SECONDS
                )
                node.operators.apply_changes(read)
        except store_error.HistoryLostError:
            version = None
            continue
        except store_error.StoreError as exc:
            node.note_store("lost", str(exc))
            # The whole table is read again, since changes may have been missed.
            version = None
            await trio.sleep(pause)
            pause = min(2.0 * pause, LONGEST_PAUSE_SECONDS)
            continue
        pause = FIRST_PAUSE_SECONDS
        version = read.version
        node.note_store("reached", "")
        _put_in_force(node, read)


async def read_upstreams(node: node_module.Node) -> None:
    """Keep the set of upstreams up to date."""
    pause = FIRST_PAUSE_SECONDS
    while True:
        now = clock.now()
        try:
            read = await node.store.read_table(names.UPSTREAM_TABLE)
        except store_error.StoreError:
            node.registry.note_store_away(clock.now())
            await trio.sleep(pause)
            pause = min(2.0 * pause, LONGEST_PAUSE_SECONDS)
            continue
        pause = FIRST_PAUSE_SECONDS
        apply_upstreams(node, read, clock.now())
        elapsed = clock.now() - now
        await trio.sleep(max(0.0, UPSTREAM_READ_SECONDS - elapsed))


def apply_upstreams(
    node: node_module.Node, read: store_read.StoreRead, now: float
) -> None:
    """Take the registrations of a read."""
    records = upstream_table.decode_all(read.rows, node.counters)
    if node.registry.apply(records, read.version, now):
        node.placer.upstreams_changed()
        node.log.write(
            "upstreams changed", now, count=node.registry.size, read=read.version
        )
    node.note_upstreams_read()
    node.versions.set_store_clock(read.store_now, now)
    versions: dict[str, set[str]] = {}
    for each in records:
        if not each.leaving:
            versions.setdefault(each.service, set()).add(each.version)
    for service, present in versions.items():
        node.versions.observe(service, present, now)


def _put_in_force(node: node_module.Node, read: store_read.StoreRead) -> None:
    now = clock.now()
    found = node.operators.desired
    before = node.desired.state
    if found is not None and node.desired.accept(found):
        _log_rates(before, found)
        node.limiters.configure(found.organisations, now)
        node.placer.configure(found.services)
        share_rates(node, now)
        log_state.changed(
            "desired_state",
            before.version if before else None,
            found.version,
            read=read.version,
        )
    if found is not None:
        node.desired.confirm(read.sent_at)
    node.versions.set_orders(node.operators.orders)
    node.placer.evacuate(node.operators.evacuated)


def share_rates(node: node_module.Node, now: float) -> None:
    """Divide the rates of organisations anew, by the reports of the other VMs."""
    node.limiters.divide(node.demand_elsewhere(now), now)


def _log_rates(before: state.DesiredState | None, after: state.DesiredState) -> None:
    """Write a line for each organisation whose rate changed."""
    known = {each.name: each for each in before.organisations} if before else {}
    for each in after.organisations:
        earlier = known.get(each.name)
        old = (earlier.rate, earlier.burst) if earlier else None
        log_state.changed(
            "rate",
            old,
            (each.rate, each.burst),
            organisation=each.name,
            version=after.version,
        )
