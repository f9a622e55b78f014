"""Result of a read of the store."""

from typing import NamedTuple

from rattanlug.tables import store_row


class StoreRead(NamedTuple):
    """Rows of one table.

    Attributes
    ----------
    rows : list of store_row.StoreRow
    version : int
        Latest transaction of the store at the time of the read.
    store_now : float
        The store's monotonic clock, seconds.
    sent_at : float
        Time at which the read was sent, on this VM's monotonic clock, seconds.
    era : int
        Era of the store, within which versions are comparable; 0 if it sends none.
    """

    rows: list[store_row.StoreRow]
    version: int
    store_now: float
    sent_at: float
    era: int = 0
