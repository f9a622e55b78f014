"""A conditional write of a seat's row."""

from typing import NamedTuple

from rattanlug.seats import seat_row


class SeatWrite(NamedTuple):
    """Write of a seat's row that fails if the row has another revision.

    Attributes
    ----------
    seat : str
    expected : int
        Revision that the row must have, 0 if it must be absent.
    row : seat_row.SeatRow
    """

    seat: str
    expected: int
    row: seat_row.SeatRow
