"""Registry of the upstreams that may receive requests."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from rattanlug.discovery import upstream_record

# Registrations that expire while the store is unavailable are renewed within about 2 s
# after its return; the rest covers the delays of a report and of a read.
REREGISTRATION_SECONDS = 2.3
# Registrations of silent upstreams are removed after this number of heartbeats.
SILENT_HEARTBEATS = 3
# Upstreams that have left are remembered for this time; a copy from which the store may
# come back is some seconds old.
DEPARTED_SECONDS = 60.0


class _Entry(NamedTuple):
    record: upstream_record.UpstreamRecord
    cold_until: float
    first_seen_at: float
    # Minus infinity if the upstream has been cold since it was first seen.
    became_cold_at: float = -math.inf


class _Departure(NamedTuple):
    record: upstream_record.UpstreamRecord
    at: float


class UpstreamRegistry:
    """Holds the registered upstreams, as read from the store.

    An upstream that reported that it is leaving counts as leaving until it restarts. An
    upstream that is missing in a read is removed, except for a short time after a
    failed call to the store or after its return from an older copy. The rows of such a
    copy bring no upstream back that has left, nor an earlier incarnation.

    Parameters
    ----------
    heartbeat : float
        Interval at which upstreams renew their registrations, seconds.
    """

    def __init__(self, heartbeat: float = 1.5) -> None:
        self._heartbeat = heartbeat
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, tuple[upstream_record.UpstreamRecord, ...]] = {}
        self._slots: dict[str, dict[str, int]] = {}
        # Era and version of the latest read.
        self._read = (0, -1)
        self._departed: dict[str, _Departure] = {}
        # Upstreams that the store lacked when it came back from a copy.
        self._missing: set[str] = set()
        # Before this time, rows may be those of a copy.
        self._copied_until = -math.inf
        # Before this time, upstreams that are missing in a read are kept.
        self._removals_from = 0.0

    @property
    def records(self) -> list[upstream_record.UpstreamRecord]:
        """Records of all registered upstreams."""
        return [each.record for each in self._entries.values()]

    @property
    def missing(self) -> list[str]:
        """Upstreams that the store lacked when it came back from a copy, sorted."""
        return sorted(self._missing & self._entries.keys())

    @property
    def size(self) -> int:
        """Number of registered upstreams."""
        return len(self._entries)

    def record_store_failure(self, now: float) -> None:
        """Record a failed call to the store."""
        self._removals_from = max(self._removals_from, now + REREGISTRATION_SECONDS)

    def apply(
        self,
        records: Iterable[upstream_record.UpstreamRecord],
        read_version: int,
        now: float,
        era: int = 0,
    ) -> bool:
        """Apply a read of all registrations.

        Parameters
        ----------
        records : iterable of upstream_record.UpstreamRecord
        read_version : int
            Version of the store at the read; an older read than the last is ignored.
        now : float
            Time on the VM's monotonic clock, seconds.
        era : int
            Era of the store that the version belongs to.

        Returns
        -------
        bool
            Whether the set of upstreams or anything about one of them changed.
        """
        if (era, read_version) < self._read:
            return False
        records = list(records)
        if era > self._read[0] and self._read[1] >= 0:
            self._begin_era(records, now)
        self._missing -= {each.id for each in records}
        entries = {
            each.id: self._updated(each, now)
            for each in records
            if not self._has_departed(each, now)
        }
        if now < self._removals_from:
            entries = {**self._entries, **entries}
        changed = _comparable(entries) != _comparable(self._entries)
        if changed:
            self._index(entries)
        self._record_departures(entries, now)
        self._entries = entries
        self._read = (era, read_version)
        return changed

    def of_service(self, service: str) -> tuple[upstream_record.UpstreamRecord, ...]:
        """Return the upstreams of a service that accept new requests, sorted by id."""
        return self._by_service.get(service, ())

    def slots_by_version(self, service: str) -> dict[str, int]:
        """Return the slots of the upstreams that accept new requests, by version."""
        return self._slots.get(service, {})

    def record(self, upstream_id: str) -> upstream_record.UpstreamRecord | None:
        """Return the record of an upstream, or None if it isn't registered."""
        entry = self._entries.get(upstream_id)
        return entry.record if entry else None

    def cold_seconds(self, upstream_id: str, now: float) -> float:
        """Return the remaining time of an upstream's warm-up, seconds."""
        entry = self._entries.get(upstream_id)
        return max(0.0, entry.cold_until - now) if entry else 0.0

    def became_cold_at(self, upstream_id: str) -> float:
        """Return when an upstream was seen to be cold after having been warm, seconds.

        Minus infinity if it never was.
        """
        entry = self._entries.get(upstream_id)
        return entry.became_cold_at if entry else -math.inf

    def known_seconds(self, upstream_id: str, now: float) -> float:
        """Return the time since an upstream's incarnation was first seen, seconds."""
        entry = self._entries.get(upstream_id)
        return now - entry.first_seen_at if entry else 0.0

    def _begin_era(
        self, records: list[upstream_record.UpstreamRecord], now: float
    ) -> None:
        """Prepare for the rows of a copy, until their upstreams have renewed them."""
        self._missing = self._entries.keys() - {each.id for each in records}
        self._removals_from = max(self._removals_from, now + REREGISTRATION_SECONDS)
        self._copied_until = (
            now + SILENT_HEARTBEATS * self._heartbeat + REREGISTRATION_SECONDS
        )

    def _has_departed(self, record: upstream_record.UpstreamRecord, now: float) -> bool:
        """Tell whether a record is that of a copy, and its upstream has left since."""
        departure = self._departed.get(record.id)
        if departure is None or now >= self._copied_until:
            return False
        return _age_order(record) <= _age_order(departure.record)

    def _record_departures(self, entries: dict[str, _Entry], now: float) -> None:
        self._departed = {
            upstream_id: each
            for upstream_id, each in self._departed.items()
            if upstream_id not in entries and now - each.at < DEPARTED_SECONDS
        }
        for upstream_id in self._entries.keys() - entries.keys() - self._missing:
            record = self._entries[upstream_id].record
            self._departed[upstream_id] = _Departure(record, now)
        self._missing &= entries.keys()

    def _updated(self, record: upstream_record.UpstreamRecord, now: float) -> _Entry:
        current = self._entries.get(record.id)
        cold_until = now + record.cold_seconds
        if current is None:
            return _Entry(record, cold_until, now)
        was_warm = current.cold_until <= now
        became_cold_at = (
            now if was_warm and record.cold_seconds else current.became_cold_at
        )
        if now < self._copied_until and record.incarnation < current.record.incarnation:
            return current
        if current.record.incarnation != record.incarnation:
            return _Entry(record, cold_until, now, became_cold_at)
        if record.sequence <= current.record.sequence:
            return current
        leaving = record.leaving or current.record.leaving
        return _Entry(
            record._replace(leaving=leaving),
            cold_until,
            current.first_seen_at,
            became_cold_at,
        )

    def _index(self, entries: dict[str, _Entry]) -> None:
        grouped: dict[str, list[upstream_record.UpstreamRecord]] = {}
        for _, entry in sorted(entries.items()):
            if not entry.record.leaving:
                grouped.setdefault(entry.record.service, []).append(entry.record)
        self._by_service = {name: tuple(each) for name, each in grouped.items()}
        self._slots = {}
        for name, records in grouped.items():
            slots = self._slots.setdefault(name, {})
            for each in records:
                slots[each.version] = slots.get(each.version, 0) + each.slots


def _age_order(record: upstream_record.UpstreamRecord) -> tuple[int, int]:
    """Return a key by which the records of an upstream sort from old to new."""
    return record.incarnation, record.sequence


def _comparable(entries: dict[str, _Entry]) -> dict[str, tuple]:
    """Return the records without the fields that change with each report."""
    return {
        upstream_id: entry.record._replace(sequence=0, cold_seconds=0.0)
        for upstream_id, entry in entries.items()
    }
