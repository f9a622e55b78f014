"""Handlers that lend tokens and slots to other VMs."""

import math

from rattanlug.daemon import clock, slot_loans
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes
from rattanlug.quota import settlement

_MILLISECONDS_PER_SECOND = 1000
_MAX_DEADLINE_SECONDS = 10.0


@registry.register(ttypes.BorrowTokens)
async def borrow_tokens(
    node: daemon_node.Node, message: ttypes.BorrowTokens, peer: sender.Sender
) -> ttypes.Loans:
    """Apply settlements of ended loans and lend tokens."""
    for item in message.settlements:
        if not math.isfinite(item.unused):
            continue
        ended = settlement.Settlement(
            item.loan.seat, item.loan.term, item.loan.number, item.unused
        )
        node.quotas.settle(item.organisation, [ended])
    granted = []
    for wanted in message.requests:
        if not (math.isfinite(wanted.amount) and wanted.amount > 0):
            continue
        for loan in node.quotas.lend(wanted.organisation, wanted.amount):
            identity = ttypes.LoanIdentity(loan.seat, loan.term, loan.number)
            granted.append(ttypes.Loan(identity, wanted.organisation, loan.tokens))
    return ttypes.Loans(granted)


@registry.register(ttypes.BorrowSlot)
async def borrow_slot(
    node: daemon_node.Node, message: ttypes.BorrowSlot, peer: sender.Sender
) -> ttypes.SlotLoan:
    """Lend a slot of an upstream of this data centre if one is free."""
    local_upstreams = node.active.tiers(
        message.service_name, message.version
    ).data_centre
    lifetime = message.deadline_ms / _MILLISECONDS_PER_SECOND
    loan = None
    # Unknown names that a peer sends must not create state, and no loan may last
    # longer than the longest deadline of a request.
    if local_upstreams and lifetime <= _MAX_DEADLINE_SECONDS:
        loan = node.slots.lend(
            message.service_name, message.version, local_upstreams, lifetime
        )
    if loan is None:
        return ttypes.SlotLoan(granted=False)
    return ttypes.SlotLoan(
        True,
        slot_loans.loan_id_to_wire(loan.loan_id),
        loan.upstream,
        loan.number,
        int(loan.lifetime * _MILLISECONDS_PER_SECOND),
    )


@registry.register(ttypes.ReturnSlot)
async def return_slot(
    node: daemon_node.Node, message: ttypes.ReturnSlot, peer: sender.Sender
) -> ttypes.Done:
    """Reclaim a slot that its borrower returned."""
    node.slots.ledger.reclaim(slot_loans.loan_id_from_wire(message.loan), clock.now())
    node.slots.assign_slots_of(message.upstream)
    return ttypes.Done()
