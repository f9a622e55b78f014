"""A seat's row as one VM has seen it."""

from typing import NamedTuple

from rattanlug.seats import seat_row


class ObservedRow(NamedTuple):
    """The newest version of a row and for how long it has stood.

    Attributes
    ----------
    revision : int
        0 when the row is absent.
    row : seat_row.SeatRow or None
    first_response_at : float
        Moment of the first response that showed this revision.
    last_asked_at : float
        Moment just before the last request whose response showed this revision.
    """

    revision: int
    row: seat_row.SeatRow | None
    first_response_at: float
    last_asked_at: float

    @property
    def unchanged_for(self) -> float:
        """Seconds for which the row is known to have stood."""
        return self.last_asked_at - self.first_response_at
