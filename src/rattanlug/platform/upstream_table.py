"""Decodes the registrations of all upstreams."""

import logging
from collections.abc import Iterable

from rattanlug.discovery import upstream_record
from rattanlug.metrics import counters
from rattanlug.platform import decoding, upstream_row
from rattanlug.tables import store_row

_LOG = logging.getLogger(__name__)


class UpstreamTable:
    """Decodes each version of a row only once.

    `decode_all` receives all rows after a change of any of them.

    Parameters
    ----------
    all_counters : counters.Counters
    """

    def __init__(self, all_counters: counters.Counters) -> None:
        self._counters = all_counters
        # Row and decoded record, None if unreadable, by key. The row is None if its
        # decoding raised an unexpected error.
        self._decoded: dict[
            str,
            tuple[store_row.StoreRow | None, upstream_record.UpstreamRecord | None],
        ] = {}

    def decode_all(
        self, rows: Iterable[store_row.StoreRow]
    ) -> list[upstream_record.UpstreamRecord]:
        """Decode all rows; unreadable ones are counted, logged and left out."""
        decoded = {}
        for each in rows:
            cached = self._decoded.get(each.key)
            # A version may be given out again for another value.
            if cached is None or cached[0] != each:
                try:
                    cached = (each, self._decode(each))
                except Exception:
                    # Must not hide the other rows; decoded again the next time.
                    self._record_failure(each.key)
                    cached = (None, None)
            decoded[each.key] = cached
        self._decoded = decoded
        return [record for _, record in decoded.values() if record is not None]

    def _record_failure(self, key: str) -> None:
        self._counters.add("upstream_rows_failed")
        earlier = self._decoded.get(key)
        if earlier is None or earlier[0] is not None:
            _LOG.exception(
                "unexpected error in the registration of an upstream",
                extra={"row": key},
            )

    def _decode(self, row: store_row.StoreRow) -> upstream_record.UpstreamRecord | None:
        try:
            return upstream_row.decode(row.key, row.value)
        except decoding.MalformedValueError as exc:
            self._counters.add("upstream_rows_unreadable")
            earlier = self._decoded.get(row.key)
            # Logged once for a row that its writer changes again and again.
            if earlier is None or earlier[1] is not None:
                _LOG.warning(
                    "ignoring unreadable registration of an upstream",
                    extra={"row": row.key, "reason": str(exc)},
                )
            return None
