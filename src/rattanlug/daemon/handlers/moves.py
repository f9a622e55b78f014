"""Outcomes that other VMs report to the VM that steers."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes
from rattanlug.rollout import outcome_counts, outcome_report


@registry.register(ttypes.ReportOutcomes)
async def report_outcomes(
    node: daemon_node.Node, message: ttypes.ReportOutcomes, peer: sender.Sender
) -> ttypes.Shares:
    """Answer with the shares of the VM that asks; no state if this VM cannot tell."""
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
    given = node.steering.answer(message.move, report)
    if given is None:
        return ttypes.Shares(message.move)
    allowances = [
        ttypes.Allowance(route, requests)
        for route, requests in given.allowances.items()
    ]
    return ttypes.Shares(message.move, given.state.value, 0, given.share, allowances)
