"""All seats that one VM holds."""

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
# A renewal whose outcome is not known is repeated this long after it was sent.
RETRY_DELAY_S = 1.0
# A VM that holds seats leaves a free seat to VMs without one for this long, times
# the number of seats that it holds.
ADOPTION_DELAY_S = 2.0
# Loans of the earlier holder have expired by then.
TOKENS_DELAY_S = 1.1
# Requests of an earlier holder that did not release the seat have ended by then:
# the longest deadline is 10 s.
SLOTS_DELAY_S = 11.0


class SeatHolder:
    """Decides what to read and write, and which seats may be used.

    The adapter calls ``wants_scan`` and ``next_writes`` a few times per second,
    carries out what they return and reports the result with ``record_scan``,
    ``record_commit``, ``record_conflict`` or ``record_unknown_outcome``.

    Parameters
    ----------
    vm : str
    incarnation : int
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
        self._in_flight: tuple[seat_write.SeatWrite, ...] = ()
        self._leaving = False

    @property
    def seats(self) -> tuple[str, ...]:
        """Seats that the VM holds or is releasing, valid or not."""
        return tuple(self._leases)

    @property
    def holders(self) -> frozenset[tuple[str, int]]:
        """VMs with incarnations that the rows of the data centre's seats name."""
        rows = (entry.row for entry in self._rows.values())
        return frozenset(
            (row.vm, row.incarnation) for row in rows if row is not None and row.vm
        )

    @property
    def releasing(self) -> tuple[str, ...]:
        """Seats on which nothing new starts and that ``finish_release`` ends."""
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
        """Note that a majority of data centres has applied a version."""
        self._history.accept(version, now)

    def record_contact(self, asked_at: float, now: float) -> None:
        """Record a gossip response from another VM of the own data centre."""
        self._contact.record(asked_at, now)

    def usable_seats(self, now: float) -> tuple[held_seat.HeldSeat, ...]:
        """Return the seats that this VM may use at this moment."""
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
        """Return the upstream slots that this VM may use at this moment."""
        result = frozenset()
        for seat in self.usable_seats(now):
            if now >= seat.slots_from:
                result |= self._history.slots(seat.seat, now)
        return result

    def wants_scan(self, now: float) -> bool:
        """Return whether to read the rows of the data centre's seats now."""
        missing = set(self._own_seats()) - set(self._leases)
        due = now - self._scanned_at >= SCAN_INTERVAL_S
        return due and bool(missing)

    def record_scan(
        self,
        rows: Mapping[str, tuple[int, seat_row.SeatRow]],
        asked_at: float,
        now: float,
    ) -> None:
        """Take the rows of the data centre's seats.

        Parameters
        ----------
        rows : Mapping
            Revision and row by seat.
        asked_at : float
            Moment just before the scan was sent.
        now : float
        """
        self._scanned_at = now
        for seat in self._own_seats():
            revision, row = rows.get(seat, (0, None))
            self._observe(seat, revision, row, asked_at, now)

    def next_writes(
        self, now: float, silent_for: Mapping[tuple[str, int], Iterable[float]]
    ) -> tuple[seat_write.SeatWrite, ...]:
        """Return the writes to commit now in one transaction, empty when none is due.

        Parameters
        ----------
        now : float
        silent_for : Mapping
            For each VM and incarnation that may hold a seat: the reports that
            ``takeover.may_take_over`` needs. One that is missing counts as heard.
        """
        if self._in_flight:
            return ()
        self._in_flight = (
            self._renewals(now) or self._releases() or self._take(now, silent_for)
        )
        return self._in_flight

    def record_commit(
        self, revisions: Sequence[int], sent_at: float, now: float
    ) -> None:
        """Take the revisions of the writes that were committed."""
        for write, revision in zip(self._in_flight, revisions, strict=True):
            self._wrote(write, revision, sent_at, now)
        self._in_flight = ()

    def record_conflict(
        self,
        seat: str,
        revision: int,
        row: seat_row.SeatRow | None,
        asked_at: float,
        now: float,
    ) -> None:
        """Take the row that made the transaction fail; no write had an effect."""
        self._retry_in(0.0)
        self._observe(seat, revision, row, asked_at, now)

    def record_unknown_outcome(self) -> None:
        """Note that the writes may or may not have had an effect."""
        self._retry_in(RETRY_DELAY_S)
        self._scanned_at = -math.inf

    def release(self, seat: str) -> None:
        """Start to give up a seat; nothing new starts on it."""
        self._leases[seat] = self._leases[seat]._replace(releasing=True)

    def finish_release(self, seat: str) -> None:
        """Note that no request runs on the seat's slots and no loan is out."""
        self._leases[seat] = self._leases[seat]._replace(ended=True)

    def leave(self) -> None:
        """Release all seats and take no other, because the VM stops."""
        self._leaving = True
        for seat in self._leases:
            self.release(seat)

    def spare_seat(self) -> str | None:
        """Return a seat to release for a VM without one, ``None`` without a spare."""
        held = [seat for seat, entry in self._leases.items() if not entry.releasing]
        return max(held) if len(held) > 1 else None

    def vm_with_spare_seat(self, now: float) -> str | None:
        """Return the VM to ask for a seat: one that holds more than one."""
        if self._leases or self._leaving:
            return None
        holders = [entry.row.vm for entry in self._rows.values() if entry.row]
        adopters = {vm for vm in holders if vm and holders.count(vm) > 1}
        return min(adopters, default=None)

    def _retry_in(self, delay: float) -> None:
        earlier = lease.RENEWAL_INTERVAL_S - delay
        for write in self._in_flight:
            held = self._leases.get(write.seat)
            if held is not None:
                tried_at = held.tried_at - earlier
                self._leases[write.seat] = held._replace(tried_at=tried_at)
        self._in_flight = ()

    def _own_seats(self) -> tuple[str, ...]:
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
        earlier = self._rows.get(seat)
        held = self._leases.get(seat)
        if earlier is not None and revision < earlier.revision:
            return
        if held is not None and revision < held.revision:
            return
        if earlier is not None and earlier.revision == revision:
            asked_at = max(asked_at, earlier.last_asked_at)
            self._rows[seat] = earlier._replace(last_asked_at=asked_at)
        else:
            self._rows[seat] = observed_row.ObservedRow(revision, row, now, now)
        own = row is not None and (row.vm, row.incarnation) == (
            self._vm,
            self._incarnation,
        )
        if not own:
            self._leases.pop(seat, None)
        elif held is not None and held.row.term == row.term:
            self._leases[seat] = held._replace(revision=revision, row=row)
        else:
            # A takeover whose answer was lost: not valid before it is renewed.
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

    def _take(
        self, now: float, silent_for: Mapping[tuple[str, int], Iterable[float]]
    ) -> tuple[seat_write.SeatWrite, ...]:
        held = len(self._leases)
        wanted = [seat for seat in self._own_seats() if seat not in self._leases]
        if self._leaving:
            return ()
        for seat in sorted(wanted, key=self._preference):
            observed = self._rows.get(seat)
            if observed is None:
                continue
            previous = observed.row
            reports = self._reports(previous, silent_for)
            if not takeover.may_take_over(observed, reports):
                continue
            if observed.unchanged_for < held * ADOPTION_DELAY_S + (
                takeover.TAKEOVER_S if held and not self._released(previous) else 0.0
            ):
                continue
            term = previous.term + 1 if previous else 1
            row = seat_row.SeatRow(self._vm, self._incarnation, term, 0)
            return (seat_write.SeatWrite(seat, observed.revision, row),)
        return ()

    @staticmethod
    def _reports(
        row: seat_row.SeatRow | None,
        silent_for: Mapping[tuple[str, int], Iterable[float]],
    ) -> Iterable[float]:
        if row is None:
            return ()
        return silent_for.get((row.vm, row.incarnation), (0.0,))

    def _wrote(
        self, write: seat_write.SeatWrite, revision: int, sent_at: float, now: float
    ) -> None:
        if not write.row.vm:
            self._leases.pop(write.seat, None)
            self._rows.pop(write.seat, None)
            return
        held = self._leases.get(write.seat)
        if held is None:
            previous = self._rows.pop(write.seat).row
            at_once = previous is None or self._released(previous)
            held = lease.SeatLease(
                revision,
                write.row,
                sent_at,
                sent_at,
                now + TOKENS_DELAY_S,
                now if at_once else now + SLOTS_DELAY_S,
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
