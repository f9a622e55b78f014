"""Borrows slots from other VMs and returns them."""

from collections.abc import Callable

import trio

from rattanlug.daemon import active_configuration
from rattanlug.errors import error as error_tree
from rattanlug.membership import view
from rattanlug.peer import client as peer_client
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.routing import slot_hold, slot_ledger, slot_loan
from rattanlug.settings import address

# A peer that had no free slot is not asked again for this long, so that an overload
# does not multiply messages.
_REFUSAL_BACKOFF_SECONDS = 0.05
_MAX_REFUSALS = 1000
_MAX_LENDERS_ASKED = 4
_TIMEOUT_SECONDS = 0.3
_MILLISECONDS_PER_SECOND = 1000
_FAILURES = (peer_error.PeerError, error_tree.RattanlugError)


class SlotLoans:
    """Slots borrowed from the VMs that own them.

    Parameters
    ----------
    vm : str
    incarnation : int
    active : active_configuration.ActiveConfiguration
    members : view.MembershipView
    peers : peer_client.PeerClient
    ledger : slot_ledger.SlotLedger
    link_allows : callable
        ``link_allows(region, now)`` tells whether the link to a region has capacity.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        active: active_configuration.ActiveConfiguration,
        members: view.MembershipView,
        peers: peer_client.PeerClient,
        ledger: slot_ledger.SlotLedger,
        link_allows: Callable[[str, float], bool],
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._active = active
        self._members = members
        self._peers = peers
        self._ledger = ledger
        self._link_allows = link_allows
        self._clock = clock
        self._refused_until: dict[tuple[str, str, str], float] = {}
        self._rotation = 0

    async def borrow(
        self, service: str, version: str, deadline: float
    ) -> slot_hold.SlotHold | None:
        """Request a slot from other VMs, the nearest ones first.

        Returns
        -------
        slot_hold.SlotHold or None
        """
        for vm, peer in self._lenders(service, version)[:_MAX_LENDERS_ASKED]:
            asked_at = self._clock()
            remaining = deadline - asked_at
            if remaining <= 0:
                return None
            message = ttypes.BorrowSlot(
                service, version, int(remaining * _MILLISECONDS_PER_SECOND)
            )
            try:
                # The call completes even if the caller disconnects: a loan that is
                # lost would keep the slot from its lender until it expires.
                with trio.CancelScope(shield=True):
                    answer = await self._peers.call(
                        peer, message, min(_TIMEOUT_SECONDS, remaining)
                    )
            except _FAILURES:
                answer = ttypes.SlotLoan(granted=False)
            now = self._clock()
            if not answer.granted:
                self._record_refusal((vm, service, version), now)
                continue
            loan = slot_loan.SlotLoan(
                loan_id_from_wire(answer.loan),
                service,
                version,
                answer.upstream,
                answer.slot,
                answer.life_ms / _MILLISECONDS_PER_SECOND,
            )
            hold = self._ledger.acquire_borrowed(loan, asked_at, now)
            if hold is not None:
                return hold
        return None

    def _record_refusal(self, refused: tuple[str, str, str], now: float) -> None:
        if len(self._refused_until) >= _MAX_REFUSALS:
            self._refused_until = {
                key: until for key, until in self._refused_until.items() if until > now
            }
        self._refused_until[refused] = now + _REFUSAL_BACKOFF_SECONDS

    async def return_to_lender(self, loan: slot_loan.SlotLoan) -> None:
        """Return a slot to its lender; if the message is lost, the loan expires."""
        identity = loan_id_to_wire(loan.loan_id)
        lender = self._members.get(identity.seat)
        if lender is None:
            return
        message = ttypes.ReturnSlot(identity, loan.upstream, loan.number)
        try:
            await self._peers.call(
                address.Address(*lender.peer_address), message, _TIMEOUT_SECONDS
            )
        except _FAILURES:
            return

    def _lenders(self, service: str, version: str) -> list[tuple[str, address.Address]]:
        now = self._clock()
        self._rotation += 1
        found = []
        for tier in self._active.tiers(service, version):
            centres = sorted({item.data_centre for item in tier})
            members = [
                record
                for centre in centres
                if self._reachable(centre, now)
                for record in self._members.live_members(now, centre)
                if record.vm != self._vm
                and self._refused_until.get((record.vm, service, version), now) <= now
            ]
            start = self._rotation % len(members) if members else 0
            found += members[start:] + members[:start]
        return [(record.vm, address.Address(*record.peer_address)) for record in found]

    def _reachable(self, data_centre: str, now: float) -> bool:
        region = self._active.configuration.data_centres[data_centre].region
        return region == self._active.region or self._link_allows(region, now)


def loan_prefix(vm: str, incarnation: int) -> str:
    """Return the prefix of the loan ids of one VM and incarnation."""
    return f"{vm}:{incarnation}"


def loan_id_from_wire(identity: ttypes.LoanIdentity) -> str:
    """Return the id that the ledger uses for a loan of a message."""
    return f"{loan_prefix(identity.seat, identity.term)}/{identity.number}"


def loan_id_to_wire(text: str) -> ttypes.LoanIdentity:
    """Return the form of a loan id that messages carry."""
    owner, _, number = text.rpartition("/")
    vm, _, incarnation = owner.rpartition(":")
    return ttypes.LoanIdentity(vm, int(incarnation), int(number))
