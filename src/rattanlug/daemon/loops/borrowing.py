"""Borrows rate tokens for the predicted demand."""

from rattanlug.daemon import clock, quota_access
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error as error_tree
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.quota import loan, quota
from rattanlug.settings import address

_INTERVAL_SECONDS = 0.03


@registry.register("borrowing", _INTERVAL_SECONDS)
async def borrow_tokens(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Send the messages to lenders that the quotas planned."""
    now = clock.now()
    own = node.settings.vm
    lenders = {
        record.vm: 1 for record in node.members.live_members(now) if record.vm != own
    }
    for vm, message in node.quotas.plan_messages(lenders).items():
        spawner.start_soon(_borrow_from, node, vm, message, now)


async def _borrow_from(
    node: daemon_node.Node,
    vm: str,
    message: quota_access.TokenMessage,
    asked_at: float,
) -> None:
    record = node.members.get(vm)
    if record is None:
        node.quotas.borrow_failed(vm, message, asked_at)
        return
    try:
        answer = await node.peers.call(
            address.Address(*record.peer_address),
            _to_wire(message),
            quota.ASK_TIMEOUT_S,
        )
    except (peer_error.PeerError, error_tree.RattanlugError):
        node.quotas.borrow_failed(vm, message, asked_at)
        return
    loans: dict[str, list[loan.Loan]] = {name: [] for name in message.tokens}
    for item in answer.loans:
        granted = loan.Loan(
            item.loan.seat, item.loan.term, item.loan.number, item.tokens
        )
        loans.setdefault(item.organisation, []).append(granted)
    node.quotas.accept(vm, loans, asked_at)


def _to_wire(message: quota_access.TokenMessage) -> ttypes.BorrowTokens:
    requests = [
        ttypes.TokenRequest(name, tokens)
        for name, tokens in message.tokens.items()
        if tokens > 0
    ]
    settlements = [
        ttypes.Settlement(
            ttypes.LoanIdentity(ended.seat, ended.term, ended.number),
            name,
            ended.unspent,
        )
        for name, all_ended in message.settlements.items()
        for ended in all_ended
    ]
    return ttypes.BorrowTokens(requests, settlements)
