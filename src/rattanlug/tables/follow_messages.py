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
    eras : dict of str to int or None
        Era of the store that each version belongs to; None if the requesting VM is of
        an earlier release, which knows no eras.
    """

    versions: dict[str, int]
    wait: float
    eras: dict[str, int] | None = None

    def era(self, table: str) -> int | None:
        """Return the era that the version of a table belongs to."""
        return None if self.eras is None else self.eras.get(table, 0)


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
    era : int
        Era of the store that the version belongs to; 0 if it is unknown.
    """

    table: str
    whole: bool
    rows: tuple[store_row.StoreRow, ...]
    version: int
    age: float
    era: int = 0


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
