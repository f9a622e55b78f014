"""Result of one read of the store."""

from typing import NamedTuple

from rattanlug.tables import store_row


class StoreRead(NamedTuple):
    """Rows of one table.

    Attributes
    ----------
    rows : list of store_row.StoreRow
    version : int
        Newest transaction of the store at the moment of the read.
    store_now : float
        The store's steady clock, seconds.
    sent_at : float
        When the read was sent, seconds of the local clock.
    """

    rows: list[store_row.StoreRow]
    version: int
    store_now: float
    sent_at: float
