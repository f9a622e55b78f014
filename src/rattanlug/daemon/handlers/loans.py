"""Loans of tokens and slots to other VMs."""

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
    """Take settlements and lend tokens."""
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
    near = node.active.tiers(message.service_name, message.version).data_centre
    lifetime = message.deadline_ms / _MILLISECONDS_PER_SECOND
    loan = None
    # Names that a peer makes up must leave nothing behind, and no loan lasts longer
    # than the longest deadline of a request.
    if near and lifetime <= _MAX_DEADLINE_SECONDS:
        loan = node.slots.lend(message.service_name, message.version, near, lifetime)
    if loan is None:
        return ttypes.SlotLoan(granted=False)
    return ttypes.SlotLoan(
        True,
        slot_loans.loan_identity(loan.loan_id),
        loan.upstream,
        loan.number,
        int(loan.lifetime * _MILLISECONDS_PER_SECOND),
    )


@registry.register(ttypes.ReturnSlot)
async def return_slot(
    node: daemon_node.Node, message: ttypes.ReturnSlot, peer: sender.Sender
) -> ttypes.Done:
    """Take a slot back."""
    node.slots.ledger.reclaim(slot_loans.loan_id(message.loan), clock.now())
    node.slots.serve_upstream(message.upstream)
    return ttypes.Done()
