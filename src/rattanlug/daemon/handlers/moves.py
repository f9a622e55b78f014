"""Handler of the outcomes that other VMs report to the VM that steers a move."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes
from rattanlug.rollout import outcome_counts, outcome_report


@registry.register(ttypes.ReportOutcomes)
async def report_outcomes(
    node: daemon_node.Node, message: ttypes.ReportOutcomes, peer: sender.Sender
) -> ttypes.Shares:
    """Respond with the sender's shares; without a state if this VM does not steer."""
    item = node.versions.moves.get(message.move)
    if item is None:
        return ttypes.Shares(message.move)
    old, new = {}, {}
    for entry in message.counts:
        side = new if entry.version == item.planned.to_version else old
        side[entry.route] = outcome_counts.OutcomeCounts(
            entry.total, entry.errors, entry.slow, entry.cold
        )
    report = outcome_report.OutcomeReport(
        peer.vm, old, new, message.stopped, message.capped
    )
    granted = node.steering.handle_report(message.move, report)
    if granted is None:
        return ttypes.Shares(message.move)
    allowances = [
        ttypes.Allowance(route, requests)
        for route, requests in granted.allowances.items()
    ]
    return ttypes.Shares(
        message.move, granted.state.value, 0, granted.share, allowances
    )
