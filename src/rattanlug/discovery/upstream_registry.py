"""The upstreams that may get requests."""

from collections.abc import Iterable
from typing import NamedTuple

from rattanlug.discovery import upstream_record

# Registrations that lapse while the store is away are back about two seconds after
# its return; the rest is for the way of a report and of a read.
RETURN_SECONDS = 2.3


class _Entry(NamedTuple):
    record: upstream_record.UpstreamRecord
    cold_until: float
    known_since: float


class UpstreamRegistry:
    """Keeps what was read of upstreams.

    An upstream that was seen leaving stays so until it starts again. One that is
    missing is gone, except for a moment after the store was away.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, tuple[upstream_record.UpstreamRecord, ...]] = {}
        self._slots: dict[str, dict[str, int]] = {}
        self._read_version = -1
        self._trusted_from = 0.0

    @property
    def size(self) -> int:
        """Number of upstreams that are registered."""
        return len(self._entries)

    def record_store_failure(self, now: float) -> None:
        """Note that a read of the store failed."""
        self._trusted_from = max(self._trusted_from, now + RETURN_SECONDS)

    def apply(
        self,
        records: Iterable[upstream_record.UpstreamRecord],
        read_version: int,
        now: float,
    ) -> bool:
        """Take the result of a read of all registrations.

        Parameters
        ----------
        records : iterable of upstream_record.UpstreamRecord
        read_version : int
            Version of the store at the read; an older result changes nothing.
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the set of upstreams or anything about one of them changed.
        """
        if read_version < self._read_version:
            return False
        self._read_version = read_version
        found = {each.id: self._updated(each, now) for each in records}
        if now < self._trusted_from:
            found = {**self._entries, **found}
        changed = _essence(found) != _essence(self._entries)
        self._entries = found
        if changed:
            self._index()
        return changed

    def of_service(self, service: str) -> tuple[upstream_record.UpstreamRecord, ...]:
        """Return the upstreams of a service that take new requests, by id."""
        return self._by_service.get(service, ())

    def slots_by_version(self, service: str) -> dict[str, int]:
        """Return the slots of upstreams that take new requests, by version."""
        return self._slots.get(service, {})

    def record(self, upstream_id: str) -> upstream_record.UpstreamRecord | None:
        """Return what is known of an upstream, None when it is gone."""
        entry = self._entries.get(upstream_id)
        return entry.record if entry else None

    def cold_seconds(self, upstream_id: str, now: float) -> float:
        """Return how much longer an upstream is known to stay cold, seconds."""
        entry = self._entries.get(upstream_id)
        return max(0.0, entry.cold_until - now) if entry else 0.0

    def known_seconds(self, upstream_id: str, now: float) -> float:
        """Return since when the present start of an upstream is known, seconds."""
        entry = self._entries.get(upstream_id)
        return now - entry.known_since if entry else 0.0

    def _updated(self, record: upstream_record.UpstreamRecord, now: float) -> _Entry:
        known = self._entries.get(record.id)
        if known is None or known.record.incarnation != record.incarnation:
            return _Entry(record, now + record.cold_seconds, now)
        if record.sequence <= known.record.sequence:
            return known
        leaving = record.leaving or known.record.leaving
        return _Entry(
            record._replace(leaving=leaving),
            now + record.cold_seconds,
            known.known_since,
        )

    def _index(self) -> None:
        grouped: dict[str, list[upstream_record.UpstreamRecord]] = {}
        for _, entry in sorted(self._entries.items()):
            if not entry.record.leaving:
                grouped.setdefault(entry.record.service, []).append(entry.record)
        self._by_service = {name: tuple(each) for name, each in grouped.items()}
        self._slots = {}
        for name, records in grouped.items():
            slots = self._slots.setdefault(name, {})
            for each in records:
                slots[each.version] = slots.get(each.version, 0) + each.slots


def _essence(entries: dict[str, _Entry]) -> dict[str, tuple]:
    return {
        upstream_id: entry.record._replace(sequence=0, cold_seconds=0.0)
        for upstream_id, entry in entries.items()
    }
