"""Decodes the registrations of all upstreams."""

from collections.abc import Iterable

from rattanlug.discovery import upstream_record
from rattanlug.metrics import counters
from rattanlug.platform import decoding, upstream_row
from rattanlug.tables import store_row


class UpstreamTable:
    """Decodes each version of a row only once.

    A change of any row leads to a call with all rows.

    Parameters
    ----------
    all_counters : counters.Counters
    """

    def __init__(self, all_counters: counters.Counters) -> None:
        self._counters = all_counters
        # Key to the row's version and the decoded record, None if it is unreadable.
        self._decoded: dict[str, tuple[int, upstream_record.UpstreamRecord | None]] = {}

    def decode_all(
        self, rows: Iterable[store_row.StoreRow]
    ) -> list[upstream_record.UpstreamRecord]:
        """Decode all rows; unreadable ones are counted and left out."""
        decoded = {}
        for each in rows:
            cached = self._decoded.get(each.key)
            if cached is None or cached[0] != each.version:
                cached = (each.version, self._decode(each))
            decoded[each.key] = cached
        self._decoded = decoded
        return [record for _, record in decoded.values() if record is not None]

    def _decode(self, row: store_row.StoreRow) -> upstream_record.UpstreamRecord | None:
        try:
            return upstream_row.decode(row.key, row.value)
        except decoding.MalformedValueError:
            self._counters.add("upstream_rows_unreadable")
            return None
