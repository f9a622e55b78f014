"""Leases of one VM on seats."""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence

from rattanlug.seats import (
    held_seat,
    lease,
    local_contact,
    observed_row,
    plan,
    seat_row,
    seat_write,
    share_history,
    slot,
    takeover,
)

SCAN_INTERVAL_S = 1.0
# A renewal whose outcome is unknown is retried this long after it was sent.
RETRY_DELAY_S = 1.0
# A VM that already holds seats waits for this long per held seat before it takes a
# free one, so that VMs without a seat go first.
EXTRA_SEAT_DELAY_S = 2.0
# Delay from a takeover until the seat's token buckets refill. Token loans granted by
# the previous holder have expired by then.
TOKENS_DELAY_S = 1.1
# Delay from a takeover until the seat's slots are used, if the previous holder did not
# release the seat. Its requests have ended by then: the longest deadline is 10 s.
SLOTS_DELAY_S = 11.0


class SeatHolder:
    """Acquires, renews and releases the leases of one VM on seats.

    A seat is a fixed share of the fleet-wide limits. It belongs to a data centre, and
    at most one VM of that data centre uses it at a time, as the holder of its lease.
    The lease is a row in the table service that the holder renews.

    It does no I/O. The caller calls ``wants_scan`` and ``next_writes`` a few times per
    second, performs the reads and writes that they return and reports the result with
    ``record_scan``, ``record_commit``, ``record_conflict`` or
    ``record_unknown_outcome``.

    Parameters
    ----------
    vm : str
    incarnation : int
        Increases with each start of the daemon.
    data_centre : str
    """

    def __init__(self, vm: str, incarnation: int, data_centre: str):
        self._vm = vm
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._history = share_history.ShareHistory()
        self._contact = local_contact.LocalContact()
        self._leases: dict[str, lease.SeatLease] = {}
        self._rows: dict[str, observed_row.ObservedRow] = {}
        self._scanned_at = -math.inf
        self._pending_writes: tuple[seat_write.SeatWrite, ...] = ()
        self._leaving = False

    @property
    def seats(self) -> tuple[str, ...]:
        """Seats that the VM holds or is releasing, with a valid lease or not."""
        return tuple(self._leases)

    @property
    def holders(self) -> frozenset[tuple[str, int]]:
        """VM and incarnation of each holder named in the data centre's seat rows."""
        rows = (entry.row for entry in self._rows.values())
        return frozenset(
            (row.vm, row.incarnation) for row in rows if row is not None and row.vm
        )

    @property
    def releasing(self) -> tuple[str, ...]:
        """Seats being released that still need a call of ``finish_release``."""
        return tuple(
            seat
            for seat, held in self._leases.items()
            if held.releasing and not held.ended
        )

    def apply(self, new: plan.SeatPlan, accepted_at: float | None = None) -> None:
        """Apply the plan of a new configuration; see ``ShareHistory.apply``."""
        self._history.apply(new, accepted_at)
        seats = new.seats_of(self._data_centre)
        for seat in self._leases:
            if seat not in seats:
                self.release(seat)

    def accept(self, version: int, now: float) -> None:
        """Record that a majority of data centres has applied a version."""
        self._history.accept(version, now)

    def record_contact(self, asked_at: float, now: float) -> None:
        """Record a gossip response from another VM of the same data centre."""
        self._contact.record(asked_at, now)

    def usable_seats(self, now: float) -> tuple[held_seat.HeldSeat, ...]:
        """Return the seats that this VM may use now."""
        return tuple(
            held_seat.HeldSeat(
                seat,
                held.row.term,
                self._history.share(seat, now),
                held.tokens_from,
                held.slots_from,
            )
            for seat, held in self._leases.items()
            if not held.releasing and held.valid(self._contact, now)
        )

    def usable_slots(self, now: float) -> frozenset[slot.Slot]:
        """Return the upstream slots that this VM may use now."""
        result = frozenset()
        for seat in self.usable_seats(now):
            if now >= seat.slots_from:
                result |= self._history.slots(seat.seat, now)
        return result

    def wants_scan(self, now: float) -> bool:
        """Return whether the rows of the data centre's seats should be read now."""
        missing = set(self._local_seats()) - set(self._leases)
        due = now - self._scanned_at >= SCAN_INTERVAL_S
        return due and bool(missing)

    def record_scan(
        self,
        rows: Mapping[str, tuple[int, seat_row.SeatRow]],
        asked_at: float,
        now: float,
    ) -> None:
        """Record the rows of the data centre's seats.

        Parameters
        ----------
        rows : Mapping
            Revision and row by seat.
        asked_at : float
            Time just before the scan was sent.
        now : float
        """
        self._scanned_at = now
        for seat in self._local_seats():
            revision, row = rows.get(seat, (0, None))
            self._observe(seat, revision, row, asked_at, now)

    def next_writes(
        self, now: float, silent_for: Mapping[tuple[str, int], Iterable[float]]
    ) -> tuple[seat_write.SeatWrite, ...]:
        """Return the writes to commit now in one transaction, empty if none is due.

        Parameters
        ----------
        now : float
        silent_for : Mapping
            Durations of silence that ``takeover.may_take_over`` needs, by VM and
            incarnation of each possible holder. A holder that is missing isn't silent.
        """
        if self._pending_writes:
            return ()
        self._pending_writes = (
            self._renewals(now) or self._releases() or self._takeover(now, silent_for)
        )
        return self._pending_writes

    def record_commit(
        self, revisions: Sequence[int], sent_at: float, now: float
    ) -> None:
        """Record the revisions of the committed writes."""
        for write, revision in zip(self._pending_writes, revisions, strict=True):
            self._record_write(write, revision, sent_at, now)
        self._pending_writes = ()

    def record_conflict(
        self,
        seat: str,
        revision: int,
        row: seat_row.SeatRow | None,
        asked_at: float,
        now: float,
    ) -> None:
        """Record the row that made the transaction fail; no write took effect."""
        self._retry_in(0.0)
        self._observe(seat, revision, row, asked_at, now)

    def record_unknown_outcome(self) -> None:
        """Record that the writes may or may not have taken effect."""
        self._retry_in(RETRY_DELAY_S)
        self._scanned_at = -math.inf

    def release(self, seat: str) -> None:
        """Begin to release a seat; no new request or loan uses it."""
        self._leases[seat] = self._leases[seat]._replace(releasing=True)

    def finish_release(self, seat: str) -> None:
        """Record that no request uses the seat's slots and no loan is outstanding."""
        self._leases[seat] = self._leases[seat]._replace(ended=True)

    def leave(self) -> None:
        """Release all seats and take no other one, since the VM is stopping."""
        self._leaving = True
        for seat in self._leases:
            self.release(seat)

    def spare_seat(self) -> str | None:
        """Return a seat to release to a VM without one, ``None`` if none is spare."""
        held = [seat for seat, entry in self._leases.items() if not entry.releasing]
        return max(held) if len(held) > 1 else None

    def vm_with_spare_seat(self, now: float) -> str | None:
        """Return a VM that holds several seats, to request one; ``None`` if none."""
        if self._leases or self._leaving:
            return None
        holders = [entry.row.vm for entry in self._rows.values() if entry.row]
        spare_holders = {vm for vm in holders if vm and holders.count(vm) > 1}
        return min(spare_holders, default=None)

    def _retry_in(self, delay: float) -> None:
        shift = lease.RENEWAL_INTERVAL_S - delay
        for write in self._pending_writes:
            held = self._leases.get(write.seat)
            if held is not None:
                tried_at = held.tried_at - shift
                self._leases[write.seat] = held._replace(tried_at=tried_at)
        self._pending_writes = ()

    def _local_seats(self) -> tuple[str, ...]:
        newest = self._history.newest
        return newest.seats_of(self._data_centre) if newest is not None else ()

    def _observe(
        self,
        seat: str,
        revision: int,
        row: seat_row.SeatRow | None,
        asked_at: float,
        now: float,
    ) -> None:
        previous = self._rows.get(seat)
        held = self._leases.get(seat)
        if previous is not None and revision < previous.revision:
            return
        if held is not None and revision < held.revision:
            return
        if previous is not None and previous.revision == revision:
            asked_at = max(asked_at, previous.last_asked_at)
            self._rows[seat] = previous._replace(last_asked_at=asked_at)
        else:
            self._rows[seat] = observed_row.ObservedRow(revision, row, now, now)
        is_own = row is not None and (row.vm, row.incarnation) == (
            self._vm,
            self._incarnation,
        )
        if not is_own:
            self._leases.pop(seat, None)
        elif held is not None and held.row.term == row.term:
            self._leases[seat] = held._replace(revision=revision, row=row)
        else:
            # The response to a takeover was lost: the lease is valid once renewed.
            self._leases[seat] = lease.SeatLease(
                revision, row, -math.inf, -math.inf, math.inf, math.inf
            )

    def _renewals(self, now: float) -> tuple[seat_write.SeatWrite, ...]:
        held = {seat: entry for seat, entry in self._leases.items() if not entry.ended}
        interval = lease.RENEWAL_INTERVAL_S
        if not any(now - entry.tried_at >= interval for entry in held.values()):
            return ()
        for seat, entry in held.items():
            self._leases[seat] = entry._replace(tried_at=now)
        return tuple(
            seat_write.SeatWrite(
                seat,
                entry.revision,
                entry.row._replace(renewals=entry.row.renewals + 1),
            )
            for seat, entry in held.items()
        )

    def _releases(self) -> tuple[seat_write.SeatWrite, ...]:
        return tuple(
            seat_write.SeatWrite(
                seat,
                entry.revision,
                entry.row._replace(vm="", renewals=entry.row.renewals + 1),
            )
            for seat, entry in self._leases.items()
            if entry.ended
        )

    def _takeover(
        self, now: float, silent_for: Mapping[tuple[str, int], Iterable[float]]
    ) -> tuple[seat_write.SeatWrite, ...]:
        held = len(self._leases)
        wanted = [seat for seat in self._local_seats() if seat not in self._leases]
        if self._leaving:
            return ()
        for seat in sorted(wanted, key=self._preference):
            observed = self._rows.get(seat)
            if observed is None:
                continue
            previous = observed.row
            reports = self._silence_reports(previous, silent_for)
            if not takeover.may_take_over(observed, reports):
                continue
            if observed.unchanged_for < held * EXTRA_SEAT_DELAY_S + (
                takeover.TAKEOVER_S if held and not self._released(previous) else 0.0
            ):
                continue
            term = previous.term + 1 if previous else 1
            row = seat_row.SeatRow(self._vm, self._incarnation, term, 0)
            return (seat_write.SeatWrite(seat, observed.revision, row),)
        return ()

    @staticmethod
    def _silence_reports(
        row: seat_row.SeatRow | None,
        silent_for: Mapping[tuple[str, int], Iterable[float]],
    ) -> Iterable[float]:
        if row is None:
            return ()
        return silent_for.get((row.vm, row.incarnation), (0.0,))

    def _record_write(
        self, write: seat_write.SeatWrite, revision: int, sent_at: float, now: float
    ) -> None:
        if not write.row.vm:
            self._leases.pop(write.seat, None)
            self._rows.pop(write.seat, None)
            return
        held = self._leases.get(write.seat)
        if held is None:
            previous = self._rows.pop(write.seat).row
            slots_are_free = previous is None or self._released(previous)
            held = lease.SeatLease(
                revision,
                write.row,
                sent_at,
                sent_at,
                now + TOKENS_DELAY_S,
                now if slots_are_free else now + SLOTS_DELAY_S,
            )
        elif held.tokens_from == math.inf:
            held = held._replace(
                tokens_from=now + TOKENS_DELAY_S, slots_from=now + SLOTS_DELAY_S
            )
        self._leases[write.seat] = held._replace(
            revision=revision, row=write.row, renewed_at=sent_at
        )

    @staticmethod
    def _released(row: seat_row.SeatRow | None) -> bool:
        return row is not None and not row.vm

    def _preference(self, seat: str) -> bytes:
        return hashlib.blake2b(f"{self._vm}\n{seat}".encode(), digest_size=8).digest()
