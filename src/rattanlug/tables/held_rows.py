"""Rows that stay in force while a store that came back from a copy lacks them."""

from rattanlug.tables import store_read, store_row

# Writers write again what a return undid; registrations that expired during an outage
# are back within about 2 s of the store's return.
REWRITE_SECONDS = 2.3
# Longest time for which replaced rows are remembered; a copy is some seconds old.
REPLACED_SECONDS = 60.0


class HeldRows:
    """Decides which rows of a table are in force, from the reads of the table.

    After a return of the store from an older copy, for `REWRITE_SECONDS`, a row that is
    missing stays in force, and a row that was known to be replaced or removed doesn't
    come back. After that time, what the store holds is in force.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        self._in_force: dict[str, store_row.StoreRow] = {}
        # Latest era and version of each key in the store.
        self._latest: dict[str, tuple[int, int]] = {}
        # Version, hash of the value and time of the replacement, by key. The values
        # themselves are large, and not counted as memory.
        self._replaced: dict[str, list[tuple[int, int, float]]] = {}
        # Rows of the store that aren't in force yet, by key.
        self._waiting: dict[str, store_row.StoreRow] = {}
        self._until = 0.0

    @property
    def held(self) -> list[str]:
        """Keys whose row in the store isn't in force yet, sorted."""
        return sorted(self._waiting)

    def changes(
        self, read: store_read.StoreRead, whole: bool
    ) -> list[store_row.StoreRow]:
        """Return the rows that get in force by a read, removed ones included.

        Parameters
        ----------
        read : store_read.StoreRead
        whole : bool
            Whether the read contains the whole table.
        """
        now = read.sent_at
        if whole and self._era is not None and read.era > self._era:
            self._until = now + REWRITE_SECONDS
        if whole:
            self._era = read.era
            self._waiting = {}
        rows = [each for each in read.rows if self._is_latest(each, read.era)]
        if whole:
            present = {each.key for each in read.rows}
            rows = [
                store_row.StoreRow(key, b"", read.version, removed=True)
                for key in self._in_force
                if key not in present
            ] + rows
        changes = []
        for row in rows:
            self._waiting.pop(row.key, None)
            if now < self._until and self._comes_from_copy(row, whole):
                self._waiting[row.key] = row
            else:
                changes.append(row)
        if now >= self._until:
            changes += self._waiting.values()
            self._waiting = {}
        for row in changes:
            self._put_in_force(row, now)
        return changes

    def _is_latest(self, row: store_row.StoreRow, era: int) -> bool:
        if (era, row.version) < self._latest.get(row.key, (era, row.version)):
            return False
        self._latest[row.key] = (era, row.version)
        return True

    def _comes_from_copy(self, row: store_row.StoreRow, whole: bool) -> bool:
        """Tell whether a row shows what the copy holds, and not a later write."""
        if row.removed:
            return whole
        return any(
            (version, hashed) == (row.version, hash(row.value))
            for version, hashed, _ in self._replaced.get(row.key, ())
        )

    def _put_in_force(self, row: store_row.StoreRow, now: float) -> None:
        before = self._in_force.pop(row.key, None)
        if not row.removed:
            self._in_force[row.key] = row
        if before is None or (before.version, before.value) == (row.version, row.value):
            return
        replaced = [
            each
            for each in self._replaced.get(row.key, ())
            if now - each[2] < REPLACED_SECONDS
        ]
        self._replaced[row.key] = [*replaced, (before.version, hash(before.value), now)]
