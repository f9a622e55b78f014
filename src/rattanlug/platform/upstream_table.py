"""Translates the rows by which upstreams register."""

from collections.abc import Iterable

from rattanlug.discovery import upstream_record
from rattanlug.metrics import counters
from rattanlug.platform import decoding, upstream_row
from rattanlug.tables import store_row


class UpstreamTable:
    """Decodes each version of a row once.

    All rows are asked for after each change of one of them.

    Parameters
    ----------
    all_counters : counters.Counters
    """

    def __init__(self, all_counters: counters.Counters) -> None:
        self._counters = all_counters
        # By key: the row's version, and its upstream, None if it names none.
        self._decoded: dict[str, tuple[int, upstream_record.UpstreamRecord | None]] = {}

    def decode_all(
        self, rows: Iterable[store_row.StoreRow]
    ) -> list[upstream_record.UpstreamRecord]:
        """Decode all rows that name an upstream; the others are counted."""
        decoded = {}
        for each in rows:
            known = self._decoded.get(each.key)
            if known is None or known[0] != each.version:
                known = (each.version, self._decode(each))
            decoded[each.key] = known
        self._decoded = decoded
        return [record for _, record in decoded.values() if record is not None]

    def _decode(self, row: store_row.StoreRow) -> upstream_record.UpstreamRecord | None:
        try:
            return upstream_row.decode(row.key, row.value)
        except decoding.UnreadableError:
            self._counters.add("upstream_rows_unreadable")
            return None
