"""Steers moves and reports outcomes to the VM that steers."""

from rattanlug.daemon import active_move, clock, service_state
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error as error_tree
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.rollout import move_state, outcome_counts, outcome_report, shares
from rattanlug.settings import address

_INTERVAL_SECONDS = 0.5
_TIMEOUT_SECONDS = 0.45
# The lease is read often enough to notice that it has lapsed, and a few contenders are
# enough to replace a holder that dies.
_LEASE_CONTENDERS = 3


@registry.register("moves", _INTERVAL_SECONDS)
async def advance_moves(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Read the lease, steer if this VM holds it, and report outcomes."""
    active = [item for item in node.versions.moves.values() if item.final is None]
    if not active:
        return
    try:
        if node.state is service_state.ServiceState.LEAVING:
            await node.steering.release()
        await node.steering.refresh(_may_hold(node))
        await node.steering.steer()
        if not node.steering.holder:
            await node.steering.read_final_states()
    except (error_tree.PlatformError, error_tree.ConflictError):
        node.counters.add("platform_failures", call="moves")
    for item in active:
        spawner.start_soon(_report, node, item)


def _may_hold(node: daemon_node.Node) -> bool:
    if node.state is service_state.ServiceState.LEAVING:
        return False
    names = sorted(record.vm for record in node.members.live_members(clock.now()))
    return node.settings.vm in names[:_LEASE_CONTENDERS]


async def _report(node: daemon_node.Node, item: active_move.ActiveMove) -> None:
    asked_at = clock.now()
    report = item.take_report(asked_at)
    if node.steering.holder == node.settings.vm:
        granted = node.steering.handle_report(item.planned.name, report)
    else:
        granted = await _report_to_holder(node, item, report)
    if granted is not None:
        if granted.state.final:
            node.versions.record_final_state(item.planned.name, granted.state.value)
        item.renew(granted, asked_at)


async def _report_to_holder(
    node: daemon_node.Node,
    item: active_move.ActiveMove,
    report: outcome_report.OutcomeReport,
) -> shares.Shares | None:
    holder = node.members.get(node.steering.holder)
    if holder is None:
        return None
    message = ttypes.ReportOutcomes(
        item.planned.name,
        _to_wire(report.old, item.planned.from_version)
        + _to_wire(report.new, item.planned.to_version),
        report.stopped,
        report.capped,
    )
    try:
        answer = await node.peers.call(
            address.Address(*holder.peer_address), message, _TIMEOUT_SECONDS
        )
        state = move_state.MoveState(answer.state)
    except (peer_error.PeerError, error_tree.RattanlugError, ValueError):
        return None
    allowances = {entry.route: entry.requests for entry in answer.allowances}
    return shares.Shares(state, answer.share, allowances)


def _to_wire(
    counts: dict[str, outcome_counts.OutcomeCounts], version: str
) -> list[ttypes.OutcomeCount]:
    return [
        ttypes.OutcomeCount(
            route, version, item.requests, item.errors, item.slow, item.cold
        )
        for route, item in counts.items()
    ]
