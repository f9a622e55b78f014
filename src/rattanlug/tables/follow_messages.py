"""What VMs say to each other about the tables that they follow."""

from typing import NamedTuple

from rattanlug.tables import store_row


class FollowRequest(NamedTuple):
    """Asks for changes.

    Attributes
    ----------
    versions : dict of str to int
        Version of each table that the asking VM has, -1 for none.
    wait : float
        Longest wait for a change, seconds.
    """

    versions: dict[str, int]
    wait: float


class Changes(NamedTuple):
    """Changes of one table.

    Attributes
    ----------
    table : str
    whole : bool
        Whether rows that are not named are gone.
    rows : tuple of store_row.StoreRow
    version : int
        Newest transaction of the store that is known.
    age : float
        For how long the table may have been outdated when the answer was sent, seconds.
    """

    table: str
    whole: bool
    rows: tuple[store_row.StoreRow, ...]
    version: int
    age: float


class FollowAnswer(NamedTuple):
    """Answers a request.

    Attributes
    ----------
    tables : tuple of Changes
    store_clock : float
        The store's steady clock when the answer was sent, seconds.
    store_failed : float or None
        Time since the last failed call to the store, seconds; None for none.
    """

    tables: tuple[Changes, ...]
    store_clock: float
    store_failed: float | None
