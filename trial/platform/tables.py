"""Rows and transactions of the table service."""

from typing import Any


class Tables:
    """The rows of all tables, in memory."""

    def __init__(self):
        self._rows: dict[str, dict[str, tuple[int, Any]]] = {}
        self._last_revision = 0

    def get(self, table: str, key: str) -> tuple[int, Any] | None:
        """Return revision and value of a row."""
        return self._rows.get(table, {}).get(key)

    def scan(self, table: str, prefix: str) -> list[dict[str, Any]]:
        """Return the rows whose key begins with a prefix, in the order of keys."""
        return [
            {"key": key, "revision": revision, "value": value}
            for key, (revision, value) in sorted(self._rows.get(table, {}).items())
            if key.startswith(prefix)
        ]

    def apply(self, writes: list[dict[str, Any]]) -> tuple[int, dict[str, Any]]:
        """Apply all writes or none; return status and body of the response."""
        for index, each in enumerate(writes):
            revision, value = self.get(each["table"], each["key"]) or (0, None)
            if revision != each["expected"]:
                conflict = {"index": index, "key": each["key"]}
                return 409, {**conflict, "revision": revision, "value": value}
        names = {(each["table"], each["key"]) for each in writes}
        if len(names) < len(writes):
            return 400, {"detail": "two writes of one transaction name the same row"}
        revisions = []
        for each in writes:
            # Revisions are unique, so that a deleted and recreated row conflicts.
            self._last_revision += 1
            rows = self._rows.setdefault(each["table"], {})
            if each["value"] is None:
                rows.pop(each["key"], None)
                revisions.append(0)
            else:
                rows[each["key"]] = (self._last_revision, each["value"])
                revisions.append(self._last_revision)
        return 200, {"revisions": revisions}
