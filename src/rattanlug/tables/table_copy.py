"""Copy of one table of the store at one transaction."""

import math

from rattanlug.tables import store_read, store_row

# Maximum number of removed rows that are kept for followers of this copy. A follower
# that requests older changes receives the whole table.
MAX_REMOVED = 1000
# Maximum number of reads after which a follower may still receive only the changes.
MAX_GAPS = 64


class TableCopy:
    """Keeps the latest rows of a table; its era and version never decrease.

    A version is the number of a transaction of the store. The store may come back from
    an older copy; then its era rises, and its versions start again below those that
    were read. Followers are VMs that copy the table from this VM.
    """

    def __init__(self) -> None:
        self._rows: dict[str, store_row.StoreRow] = {}
        self._era = 0
        self._version = -1
        self._changed_version = -1
        # Earliest version whose changes since then are all known.
        self._complete_from = -1
        # Pairs of versions between which rows that came and went aren't known.
        self._gaps: list[tuple[int, int]] = []
        self._confirmed_at = -math.inf

    @property
    def era(self) -> int:
        """Era of the store that the version belongs to."""
        return self._era

    @property
    def version(self) -> int:
        """Latest known transaction of the era; -1 before the first read."""
        return self._version

    @property
    def confirmed_at(self) -> float:
        """Latest time at which the copy was known to be up to date.

        It is on the VM's monotonic clock, seconds; minus infinity before the first
        read.
        """
        return self._confirmed_at

    @property
    def rows(self) -> list[store_row.StoreRow]:
        """Rows without the removed ones."""
        return [each for each in self._rows.values() if not each.removed]

    def age(self, now: float) -> float:
        """Return the time since the copy was last known to be up to date, seconds."""
        return now - self._confirmed_at

    def apply_read(self, read: store_read.StoreRead, whole: bool) -> bool | None:
        """Apply a read of the table or of its changes.

        Parameters
        ----------
        read : store_read.StoreRead
        whole : bool
            Whether the read contains the whole table, so that rows that it doesn't
            contain have been removed.

        Returns
        -------
        bool or None
            Whether a row changed. None if the read was ignored, since its transaction
            precedes that of an earlier read, or since it has only the changes of an era
            whose rows aren't known.
        """
        if (read.era, read.version) < (self._era, self._version):
            return None
        has_new_era = read.era > self._era
        if has_new_era and not whole:
            return None
        if has_new_era:
            self._begin_era(read)
        self._record_gap(read)
        changed = [each for each in read.rows if self._is_newer(each)]
        if whole:
            changed += self._missing(read)
        for row in changed:
            self._rows[row.key] = row
            # A row of a read of several pages may be newer than the read; a follower
            # that has it must not be told again and again.
            changed_version = min(row.version, read.version)
            self._changed_version = max(self._changed_version, changed_version)
        self._version = read.version
        self._confirmed_at = max(self._confirmed_at, read.sent_at)
        self._expire_removed()
        return bool(changed) or has_new_era

    def has_changes(self, after: int, era: int | None = None) -> bool:
        """Tell whether any row changed after a version.

        Parameters
        ----------
        after : int
        era : int, optional
            Era that the version belongs to; that of the copy by default.
        """
        if self._version < 0:
            return False
        if era is not None and era != self._era:
            return era < self._era
        return self._is_incomplete(after) or self._changed_version > after

    def changes(
        self, after: int, era: int | None = None
    ) -> tuple[bool, list[store_row.StoreRow]]:
        """Return the rows that changed after a version.

        Parameters
        ----------
        after : int
        era : int, optional
            Era that the version belongs to; that of the copy by default.

        Returns
        -------
        tuple of (bool, list of store_row.StoreRow)
            True with the whole table if the changes since the version aren't all known.
        """
        if era is not None and era > self._era:
            return False, []
        if self._is_incomplete(after) or (era is not None and era < self._era):
            return True, self.rows
        return False, [each for each in self._rows.values() if each.version > after]

    def _begin_era(self, read: store_read.StoreRead) -> None:
        """Drop all rows; followers at an earlier era receive the whole table."""
        self._rows = {}
        self._gaps = []
        self._era = read.era
        self._version = self._changed_version = self._complete_from = read.version

    def _record_gap(self, read: store_read.StoreRead) -> None:
        """Record the versions that a read skips.

        A whole read, and the copy of another VM, may lack rows that came and went
        between them. A follower that read the store itself may have these rows.
        """
        if self._version < 0:
            self._complete_from = read.version
        elif read.version > self._version + 1:
            self._gaps.append((self._version, read.version))
        if len(self._gaps) > MAX_GAPS:
            self._complete_from = max(self._complete_from, self._gaps.pop(0)[1])

    def _is_incomplete(self, after: int) -> bool:
        return after < self._complete_from or any(
            low < after < high for low, high in self._gaps
        )

    def _is_newer(self, row: store_row.StoreRow) -> bool:
        current = self._rows.get(row.key)
        return current is None or row.version > current.version

    def _missing(self, read: store_read.StoreRead) -> list[store_row.StoreRow]:
        present = {each.key for each in read.rows}
        return [
            store_row.StoreRow(key, b"", read.version, removed=True)
            for key, row in self._rows.items()
            if not row.removed and key not in present
        ]

    def _expire_removed(self) -> None:
        removed = [each for each in self._rows.values() if each.removed]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=lambda row: row.version)
        for row in removed[: len(removed) // 2]:
            del self._rows[row.key]
            self._complete_from = max(self._complete_from, row.version)
