"""The lease of one VM on one seat."""

from typing import NamedTuple

from rattanlug.seats import local_contact, seat_row

LEASE_S = 10.0
RENEWAL_INTERVAL_S = 3.0


class SeatLease(NamedTuple):
    """A lease as its holder knows it.

    Attributes
    ----------
    revision : int
        Latest revision of the row that this VM knows to have written.
    row : seat_row.SeatRow
    renewed_at : float
        Time just before the latest successful renewal was sent.
    tried_at : float
        Time just before the latest renewal was sent, successful or not.
    tokens_from : float
        Time from which token buckets of the seat refill.
    slots_from : float
        Time from which slots of the seat may be used.
    releasing : bool
        The seat is being released: no new request or loan uses it.
    ended : bool
        No request or loan uses the seat any more, so its row may be released.
    """

    revision: int
    row: seat_row.SeatRow
    renewed_at: float
    tried_at: float
    tokens_from: float
    slots_from: float
    releasing: bool = False
    ended: bool = False

    def valid(self, contact: local_contact.LocalContact, now: float) -> bool:
        """Return whether no other VM can hold the seat now.

        A lease stays valid beyond ``LEASE_S`` while the VM has uninterrupted contact
        with its data centre; see ``takeover.TAKEOVER_S``.
        """
        if now - self.renewed_at <= LEASE_S:
            return True
        return contact.continuous_since(self.renewed_at, now)
