"""A seat's row as read by one VM."""

from typing import NamedTuple

from rattanlug.seats import seat_row


class ObservedRow(NamedTuple):
    """The latest revision of a row and for how long it has been unchanged.

    Attributes
    ----------
    revision : int
        0 if the row is absent.
    row : seat_row.SeatRow or None
    first_response_at : float
        Time of the first response with this revision.
    last_asked_at : float
        Time just before the last request whose response had this revision.
    """

    revision: int
    row: seat_row.SeatRow | None
    first_response_at: float
    last_asked_at: float

    @property
    def unchanged_for(self) -> float:
        """Seconds for which the row is known to have been unchanged."""
        return self.last_asked_at - self.first_response_at
