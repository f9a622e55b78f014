"""Copies of all tables that a VM needs."""

from collections.abc import Iterable

import trio

from rattanlug.tables import follow_messages, store_read, table_copy


class TableSet:
    """Holds copies of tables, and wakes the followers that wait for their changes.

    Followers are VMs that copy the tables from this VM; see `follow_messages`.

    Parameters
    ----------
    tables : iterable of str
    """

    def __init__(self, tables: Iterable[str]) -> None:
        self._copies = {each: table_copy.TableCopy() for each in tables}
        self._changed = trio.Event()
        self._store_failed_at: float | None = None
        # Store's clock minus this VM's clock, seconds.
        self._store_offset = 0.0

    def copy(self, table: str) -> table_copy.TableCopy:
        """Return the copy of a table."""
        return self._copies[table]

    def record_store_failure(self, now: float) -> None:
        """Record a failed store call of this VM or of the VM that it follows."""
        self._store_failed_at = max(now, self._store_failed_at or now)

    def apply_read(
        self, table: str, read: store_read.StoreRead, whole: bool, now: float
    ) -> bool | None:
        """Apply a read to a table; see `table_copy.TableCopy.apply_read`."""
        changed = self._copies[table].apply_read(read, whole)
        if changed is not None:
            self._store_offset = read.store_now - now
        if changed:
            self._changed.set()
            self._changed = trio.Event()
        return changed

    async def wait(self, request: follow_messages.FollowRequest) -> None:
        """Wait until a requested table has changes, at most for the requested time."""
        with trio.move_on_after(request.wait):
            while not any(
                table in self._copies
                and self._copies[table].has_changes(after, request.era(table))
                for table, after in request.versions.items()
            ):
                await self._changed.wait()

    def answer(
        self, request: follow_messages.FollowRequest, now: float
    ) -> follow_messages.FollowAnswer:
        """Return the changes that bring a follower up to the state of this VM."""
        tables = []
        for table, after in request.versions.items():
            copy = self._copies.get(table)
            if copy is None or copy.version < 0:
                continue
            whole, rows = copy.changes(after, request.era(table))
            tables.append(
                follow_messages.Changes(
                    table, whole, tuple(rows), copy.version, copy.age(now), copy.era
                )
            )
        failed = self._store_failed_at
        return follow_messages.FollowAnswer(
            tuple(tables),
            now + self._store_offset,
            None if failed is None else now - failed,
        )
