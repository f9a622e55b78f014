"""Copy of one table of the store, as of one transaction."""

import math

from rattanlug.tables import store_read, store_row

# Removed rows that are remembered for those who follow this copy. A follower that
# asks for older changes gets the whole table.
MAX_REMOVED = 1000


class TableCopy:
    """Keeps the newest rows that were read; versions never go back."""

    def __init__(self) -> None:
        self._rows: dict[str, store_row.StoreRow] = {}
        self._version = -1
        self._changed_version = -1
        self._complete_from = -1
        self._confirmed_at = -math.inf

    @property
    def version(self) -> int:
        """Newest transaction of the store that is known, -1 before the first read."""
        return self._version

    @property
    def confirmed_at(self) -> float:
        """Moment at which the copy was known to be up to date, seconds."""
        return self._confirmed_at

    @property
    def rows(self) -> list[store_row.StoreRow]:
        """Rows that exist."""
        return [each for each in self._rows.values() if not each.removed]

    def age(self, now: float) -> float:
        """Return for how long the copy may have been outdated, seconds."""
        return now - self._confirmed_at

    def apply_read(self, read: store_read.StoreRead, whole: bool) -> bool | None:
        """Take a read of the table or of its changes.

        Parameters
        ----------
        read : store_read.StoreRead
        whole : bool
            Whether rows that are not named are gone.

        Returns
        -------
        bool or None
            Whether a row changed. None for a read of an earlier transaction than
            one that was seen, which says nothing about the present.
        """
        if read.version < self._version:
            return None
        changed = [each for each in read.rows if self._is_newer(each)]
        if whole:
            changed += self._missing(read)
            if self._complete_from < 0:
                self._complete_from = read.version
        for row in changed:
            self._rows[row.key] = row
            self._changed_version = max(self._changed_version, row.version)
        self._version = read.version
        self._confirmed_at = max(self._confirmed_at, read.sent_at)
        self._forget_removed()
        return bool(changed)

    def has_changes(self, after: int) -> bool:
        """Tell whether anything changed after a version."""
        return self._version >= 0 and (
            after < self._complete_from or self._changed_version > after
        )

    def changes(self, after: int) -> tuple[bool, list[store_row.StoreRow]]:
        """Return what changed after a version, and whether it is the whole table."""
        if after < self._complete_from:
            return True, self.rows
        return False, [each for each in self._rows.values() if each.version > after]

    def _is_newer(self, row: store_row.StoreRow) -> bool:
        known = self._rows.get(row.key)
        return known is None or row.version > known.version

    def _missing(self, read: store_read.StoreRead) -> list[store_row.StoreRow]:
        present = {each.key for each in read.rows}
        return [
            store_row.StoreRow(key, b"", read.version, removed=True)
            for key, row in self._rows.items()
            if not row.removed and key not in present
        ]

    def _forget_removed(self) -> None:
        removed = [each for each in self._rows.values() if each.removed]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=lambda row: row.version)
        for row in removed[: len(removed) // 2]:
            del self._rows[row.key]
            self._complete_from = max(self._complete_from, row.version)
