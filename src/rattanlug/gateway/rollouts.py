"""Rolls out new versions of services, in coordination with the other VMs.

An operator requests a rollout by an order. Its progress is in the rollout record, a row
of the store that all VMs share and any of them may write.
"""

import functools
from collections.abc import Awaitable, Callable

import trio

from rattanlug.canary import (
    record_codec,
    regression_check,
    rollout_order,
    rollout_record,
    rollout_state,
    schedule,
)
from rattanlug.daemon import background_tasks, clock
from rattanlug.errors import error
from rattanlug.gateway import node as node_module
from rattanlug.gateway import store_reader
from rattanlug.logs import state_log
from rattanlug.platform import names, rollout_row, store_error, store_write

ROUND_INTERVAL_SECONDS = 0.4
READ_RETRY_SECONDS = 0.8
# VMs attempt to write one after the other, so that usually only the first one does.
WRITE_STAGGER_SECONDS = 0.3
_RUNNING = rollout_state.RolloutState.RUNNING


async def run(node: node_module.Node, reader: store_reader.StoreReader) -> None:
    """Carry out all rollout orders until cancelled."""
    await _read_records_once(node, reader)
    first_seen: dict[tuple[int, int], float] = {}
    lost_since: dict[str, float] = {}
    while True:
        now = clock.now()
        orders = node.versions.orders.values()
        open_orders = [each for each in orders if not _is_finished(node, each)]
        lost = {each.service: each for each in node.versions.lost}
        node.set_follow_rollouts(bool(open_orders or lost))
        lost_since = {each: lost_since.get(each, now) for each in lost}
        for service, record in lost.items():
            waited = clock.now() - lost_since[service]
            if waited >= _rank(node, now) * WRITE_STAGGER_SECONDS:
                await _attempt(node, functools.partial(_write, node, record))
        for order in open_orders:
            seen = first_seen.setdefault((order.era, order.row_version), now)
            waited = clock.now() - seen
            await _attempt(node, functools.partial(_advance, node, order, waited))
        await trio.sleep(ROUND_INTERVAL_SECONDS)


async def _attempt(
    node: node_module.Node, action: Callable[[], Awaitable[None]]
) -> None:
    """Run an action that writes a record; the next round tries again if it fails."""
    try:
        await action()
    except (store_error.StoreError, error.ConflictError) as exc:
        # Another VM wrote first, or the store is unavailable.
        node.log.write("move not written", clock.now(), reason=str(exc))
    except Exception:
        # Must not hold up the other orders.
        background_tasks.record_failure("rollout", node.counters)


def _is_finished(node: node_module.Node, order: rollout_order.RolloutOrder) -> bool:
    record = node.versions.record(order.service)
    return record is not None and record.state is not _RUNNING


async def _read_records_once(
    node: node_module.Node, reader: store_reader.StoreReader
) -> None:
    """Read all rollout records once at the start."""
    while True:
        try:
            read = await node.store.read_table(record_codec.TABLE)
        except store_error.StoreError:
            await trio.sleep(READ_RETRY_SECONDS)
            continue
        reader.apply_read(record_codec.TABLE, read, whole=True)
        return


async def _advance(
    node: node_module.Node, order: rollout_order.RolloutOrder, seen_for: float
) -> None:
    """Start, complete or roll back an order's rollout when it is time to.

    Parameters
    ----------
    node : node.Node
    order : rollout_order.RolloutOrder
    seen_for : float
        Time since this VM first saw the order, seconds.
    """
    now = clock.now()
    record = node.versions.record(order.service)
    stagger = _rank(node, now) * WRITE_STAGGER_SECONDS
    if record is None:
        if seen_for >= stagger:
            await _start(node, order, now)
        return
    regressed = _regressed_route(node, order, now)
    if regressed is not None and node.versions.revert(order.row_version, order.era):
        state_log.log_change(
            "order",
            "running",
            "reverted",
            order=order.row_version,
            **regressed._asdict(),
        )
    timeout = node.longest_timeout(order.service)
    elapsed = node.versions.elapsed(record, now)
    if node.versions.is_reverted(order):
        reason = (
            f"bad answers: {regressed}"
            if regressed is not None
            else "found bad elsewhere"
        )
        await _finish(node, record, rollout_state.RolloutState.ROLLED_BACK, reason)
    elif _can_take_over(node, record) and schedule.may_complete(
        elapsed - stagger, record.duration, timeout
    ):
        await _finish(node, record, rollout_state.RolloutState.COMPLETE, "")


def _can_take_over(
    node: node_module.Node, record: rollout_record.RolloutRecord
) -> bool:
    """Tell whether the target has enough slots for the steps after the canary."""
    slots = dict(node.registry.slots_by_version(record.service))
    target_slots = slots.pop(record.target, 0)
    return schedule.has_room(
        target_slots, sum(slots.get(each, 0) for each in record.base)
    )


def _regressed_route(
    node: node_module.Node, order: rollout_order.RolloutOrder, now: float
):
    counts = list(node.outcomes.counts(now))
    for digest in node.peers.aggregate_digests(node_module.RECENT_CONTACT_SECONDS, now):
        counts.extend(digest.outcomes)
    return regression_check.find_regressed_route(order.service, counts)


def _rank(node: node_module.Node, now: float) -> int:
    """Return how many live VMs sort before this one."""
    own = node.settings.vm
    return sum(each.vm < own for each in node.live_vms(now) if not each.leaving)


async def _start(
    node: node_module.Node, order: rollout_order.RolloutOrder, now: float
) -> None:
    earlier = node.versions.latest_record(order.service)
    rolled_back = set()
    if earlier is not None and earlier.state is rollout_state.RolloutState.ROLLED_BACK:
        rolled_back.add(earlier.target)
    registered = {each.version for each in node.registry.of_service(order.service)}
    base = tuple(sorted(registered - rolled_back - {order.target}))
    if earlier is not None and earlier.state is rollout_state.RolloutState.COMPLETE:
        base = (earlier.target,)
    record = rollout_record.RolloutRecord(
        order.service,
        order.row_version,
        order.target,
        base,
        node.versions.store_clock(now),
        order.duration,
        _RUNNING,
        "",
        earlier.row_version if earlier else 0,
        order.era,
        node.tables.copy(record_codec.TABLE).era,
    )
    await _write(node, record)


async def _finish(
    node: node_module.Node,
    record: rollout_record.RolloutRecord,
    state: rollout_state.RolloutState,
    reason: str,
) -> None:
    await _write(node, record._replace(state=state, reason=reason))


def _require_era(node: node_module.Node, era: int) -> None:
    if era != node.store_era.current:
        raise store_error.ConditionFailedError(
            "the store came back from a copy since the record was read"
        )


async def _write(node: node_module.Node, record: rollout_record.RolloutRecord) -> None:
    """Write a record and the status for operators, if the record has not changed.

    Raises
    ------
    store_error.ConditionFailedError
        Also if the record's version is of an earlier era of the store, where it may be
        that of another record.
    store_error.StoreError
    """
    _require_era(node, record.row_era)
    status = rollout_row.encode_status(record.service, record.target, record.state)
    version = await node.store.commit(
        [
            store_write.StoreWrite(
                record_codec.TABLE,
                record.service,
                record_codec.encode(record),
                record.row_version,
            ),
            store_write.StoreWrite(
                names.STATUS_TABLE,
                rollout_row.status_key(record.service),
                status,
                None,
            ),
        ]
    )
    _require_era(node, record.row_era)
    written = record._replace(row_version=version)
    node.versions.set_records([written], clock.now())
    state_log.log_change(
        "move",
        None,
        record.state.value,
        service=record.service,
        target=record.target,
        reason=record.reason,
    )
