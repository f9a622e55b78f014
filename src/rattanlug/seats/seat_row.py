"""The row of a seat in the table service."""

from typing import NamedTuple

TABLE = "seats"


class SeatRow(NamedTuple):
    """One row of the table ``seats``; its key is the name of the seat.

    Attributes
    ----------
    vm : str
        Holder, empty if the seat was released.
    incarnation : int
        Incarnation of the holder.
    term : int
        Increases with each new holder.
    renewals : int
        Increases with each write of one holder.
    """

    vm: str
    incarnation: int
    term: int
    renewals: int

    def to_json(self) -> dict:
        """Return the JSON form."""
        return self._asdict()

    @classmethod
    def from_json(cls, value: dict) -> "SeatRow":
        """Return the row from its JSON form."""
        return cls(**value)
