"""The lease of one VM on one seat."""

from typing import NamedTuple

from rattanlug.seats import local_contact, seat_row

LEASE_S = 10.0
RENEWAL_INTERVAL_S = 3.0


class SeatLease(NamedTuple):
    """What the holder knows of its lease.

    Attributes
    ----------
    revision : int
        Revision of the row that this VM has written last, as far as it knows.
    row : seat_row.SeatRow
    renewed_at : float
        Moment just before the last successful renewal was sent.
    tried_at : float
        Moment just before the last renewal was sent.
    tokens_from : float
        Moment from which buckets of the seat refill.
    slots_from : float
        Moment from which slots of the seat may be used.
    releasing : bool
        The seat is given up: nothing new starts on it.
    ended : bool
        Nothing runs on the seat any more; the row says so as soon as it is written.
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
        """Return whether no other VM can hold the seat at this moment."""
        if now - self.renewed_at <= LEASE_S:
            return True
        return contact.unbroken_since(self.renewed_at, now)
