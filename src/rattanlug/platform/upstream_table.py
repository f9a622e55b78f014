"""Translates the rows by which upstreams register."""

from collections.abc import Iterable

from rattanlug.discovery import upstream_record
from rattanlug.metrics import counters
from rattanlug.platform import decoding, upstream_row
from rattanlug.tables import store_row


def decode_all(
    rows: Iterable[store_row.StoreRow], all_counters: counters.Counters
) -> list[upstream_record.UpstreamRecord]:
    """Decode all rows that name an upstream; the others are counted."""
    found = []
    for each in rows:
        try:
            found.append(upstream_row.decode(each.key, each.value))
        except decoding.UnreadableError:
            all_counters.add("upstream_rows_unreadable")
    return found
