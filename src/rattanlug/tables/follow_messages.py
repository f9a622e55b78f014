"""Messages by which a VM follows the tables of another VM.

A VM that follows another one requests the changes of its tables by long polling,
instead of reading them from the store.
"""

from typing import NamedTuple

from rattanlug.tables import store_row


class FollowRequest(NamedTuple):
    """Requests the changes of tables (long poll).

    Attributes
    ----------
    versions : dict of str to int
        Version of each table that the requesting VM has; -1 for none.
    wait : float
        Maximum time to wait for a change, seconds.
    """

    versions: dict[str, int]
    wait: float


class Changes(NamedTuple):
    """Changes of one table.

    Attributes
    ----------
    table : str
    whole : bool
        Whether the rows are the whole table, so that all others have been removed.
    rows : tuple of store_row.StoreRow
    version : int
        Latest transaction of the store that the sender knows.
    age : float
        Time since the table was last known to be up to date, when the response was
        sent, seconds.
    """

    table: str
    whole: bool
    rows: tuple[store_row.StoreRow, ...]
    version: int
    age: float


class FollowAnswer(NamedTuple):
    """Response to a `FollowRequest`.

    Attributes
    ----------
    tables : tuple of Changes
    store_clock : float
        The store's monotonic clock when the response was sent, seconds.
    store_failed : float or None
        Time since the last failed call to the store, seconds; None without one.
    """

    tables: tuple[Changes, ...]
    store_clock: float
    store_failed: float | None
