"""Takes, renews and releases seats."""

from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error as error_tree
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.seats import seat_row, takeover
from rattanlug.settings import address
from rattanlug.table_service import error as platform_error
from rattanlug.table_service import write

_INTERVAL_SECONDS = 0.2
_TIMEOUT_SECONDS = 0.5
_SEAT_REQUEST_INTERVAL_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000


@registry.register("seats", _INTERVAL_SECONDS)
async def keep_seats(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Perform the reads and writes that are due for the seats."""
    if not node.active.configuration.version:
        return
    now = clock.now()
    if node.seats.wants_scan(now):
        await _scan(node, now)
    _finish_releases(node)
    writes = node.seats.next_writes(clock.now(), await _silent_for(node))
    if writes:
        await _commit(node, writes)
    await _request_seat(node)


async def _scan(node: daemon_node.Node, asked_at: float) -> None:
    prefix = f"{node.settings.data_centre}/"
    try:
        rows = await node.platform.scan(seat_row.TABLE, prefix)
    except error_tree.PlatformError:
        node.counters.add("platform_failures", call="seats")
        return
    found = {
        row.key: (row.revision, seat_row.SeatRow.from_json(row.value)) for row in rows
    }
    node.seats.record_scan(found, asked_at, clock.now())


async def _commit(node: daemon_node.Node, writes) -> None:
    sent_at = clock.now()
    rows = [
        write.Write(seat_row.TABLE, item.seat, item.expected, item.row.to_json())
        for item in writes
    ]
    try:
        revisions = await node.platform.commit(rows)
    except platform_error.ConflictError as exc:
        value = exc.row.value
        row = None if value is None else seat_row.SeatRow.from_json(value)
        node.seats.record_conflict(
            writes[exc.index].seat, exc.row.revision, row, sent_at, clock.now()
        )
    except error_tree.PlatformError:
        node.counters.add("platform_failures", call="seats")
        node.seats.record_unknown_outcome()
    else:
        node.seats.record_commit(revisions, sent_at, clock.now())


def _finish_releases(node: daemon_node.Node) -> None:
    ledger = node.slots.ledger
    for seat in node.seats.releasing:
        slots = node.active.plan.slots(seat)
        busy = any(ledger.is_busy(each.upstream, each.index) for each in slots)
        if not busy and not node.quotas.outstanding(seat):
            node.seats.finish_release(seat)


async def _silent_for(
    node: daemon_node.Node,
) -> dict[tuple[str, int], list[float]]:
    """Return the seconds of silence that VMs report of each holder that is not live."""
    now = clock.now()
    own = (node.settings.vm, node.incarnation)
    others = [
        record
        for record in node.members.live_members(now, node.settings.data_centre)
        if record.vm != node.settings.vm
    ]
    live = {(record.vm, record.incarnation) for record in others}
    result: dict[tuple[str, int], list[float]] = {}
    for vm, incarnation in node.seats.holders - live - {own}:
        reports = [node.silent_for(vm, incarnation, now)]
        for record in others:
            # One report below the bound is enough to leave the seat to its holder.
            if reports[-1] < takeover.TAKEOVER_S:
                break
            message = ttypes.FetchLastHeard(vm, incarnation)
            reports.append(await _ask_last_heard(node, record.peer_address, message))
        result[vm, incarnation] = reports
    return result


async def _ask_last_heard(
    node: daemon_node.Node, peer: tuple[str, int], message: ttypes.FetchLastHeard
) -> float:
    try:
        answer = await node.peers.call(
            address.Address(*peer), message, _TIMEOUT_SECONDS
        )
    except (peer_error.PeerError, error_tree.RattanlugError):
        return 0.0
    if answer.incarnation != message.incarnation:
        return 0.0
    return answer.age_ms / _MILLISECONDS_PER_SECOND


async def _request_seat(node: daemon_node.Node) -> None:
    now = clock.now()
    vm = node.seats.vm_with_spare_seat(now)
    holder = node.members.get(vm) if vm is not None else None
    if holder is None or not node.may_request_seat(now, _SEAT_REQUEST_INTERVAL_SECONDS):
        return
    try:
        await node.peers.call(
            address.Address(*holder.peer_address),
            ttypes.ReleaseSeat(),
            _TIMEOUT_SECONDS,
        )
    except (peer_error.PeerError, error_tree.RattanlugError):
        return
