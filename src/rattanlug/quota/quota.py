"""Enforcement of one organisation's rate by one VM."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from rattanlug.invariants import violations
from rattanlug.quota import (
    borrow_request,
    borrowed_tokens,
    demand,
    lending_bucket,
    loan,
    settlement,
)
from rattanlug.seats import held_seat

# A request for tokens without a response after this time no longer counts as pending.
# It covers two round trips between the farthest regions (110 ms each).
ASK_TIMEOUT_S = 0.25
# Longest time for which a request waits for tokens.
MAX_WAIT_S = 0.15
# Settlements are delayed up to this long, to be sent along with a request for tokens.
SETTLEMENT_DELAY_S = 0.1
# A further lender is asked for each started multiple of this number; fewer tokens are
# not worth another message.
MIN_REQUEST_TOKENS = 0.5
# A lender without tokens to lend gets no request for this time, which doubles with each
# consecutive refusal: an organisation that sends several times its rate would otherwise
# keep every lender busy with requests for tokens that don't exist.
EMPTY_LENDER_BACKOFF_S = 0.01
MAX_EMPTY_LENDER_BACKOFF_S = 0.2
# Weight of the newest response in a lender's average ratio of granted to requested
# tokens.
_GRANT_WEIGHT = 0.5
_MIN_GRANT_RATIO = 0.1
_TOLERANCE = 1e-9


class _PendingRequest(NamedTuple):
    tokens: float
    asked_at: float


class OrganisationQuota:
    """Admits requests with tokens of the VM's own seats and borrowed tokens.

    Parameters
    ----------
    rate : float
        Requests per second for the whole fleet.
    burst : float
        Requests for the whole fleet.
    seats : callable
        Returns the ``held_seat.HeldSeat`` that may be used at a given time. Empty while
        keyed routes are not allowed: a VM that may not know the newest configuration
        neither admits requests nor lends tokens.
    violations : violations.Violations
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        seats: Callable[[float], Sequence[held_seat.HeldSeat]],
        violations: violations.Violations,
    ):
        self._rate = rate
        self._burst = burst
        self._seats = seats
        self._violations = violations
        self._buckets: dict[str, lending_bucket.LendingBucket] = {}
        self._borrowed = borrowed_tokens.BorrowedTokens()
        self._demand = demand.Demand()
        self._waiting = 0
        self._pending: dict[str, _PendingRequest] = {}
        self._grant_ratios: dict[str, float] = {}
        self._backoffs: dict[str, float] = {}
        self._round_trips: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}
        self._next_lender = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for tokens."""
        return self._waiting

    def configure(self, rate: float, burst: float) -> None:
        """Change the rate and burst, which apply from the next call."""
        self._rate = rate
        self._burst = burst

    def try_admit(self, now: float) -> bool:
        """Count the arrival of a request and admit it if a token is available.

        A request that is not admitted may wait; see ``begin_waiting``.
        """
        self._demand.add_arrival(now)
        return self._spend(now, 1.0 + self._waiting)

    def begin_waiting(self) -> None:
        """Count a request as waiting for tokens, after it was not admitted."""
        self._waiting += 1

    def admit_waiting(self, now: float) -> bool:
        """Admit one waiting request if a token is available; it no longer waits."""
        if not self._spend(now, 1.0):
            return False
        self._waiting -= 1
        return True

    def stop_waiting(self) -> None:
        """Stop counting a request as waiting, when it is rejected."""
        self._waiting -= 1

    def available(self, now: float) -> float:
        """Return the number of tokens that may be spent now."""
        own = sum(bucket.level(now) for bucket in self._usable(now))
        return own + self._borrowed.available(now)

    def outstanding(self, seat: str, now: float) -> float:
        """Return the lent tokens of a seat, which is released only at 0."""
        bucket = self._buckets.get(seat)
        if bucket is None:
            return 0.0
        bucket.level(now)
        return bucket.outstanding

    def shortage(self, now: float) -> float:
        """Return the number of tokens to request from other VMs now."""
        pending_tokens = sum(
            pending.tokens
            for pending in self._pending.values()
            if now - pending.asked_at < ASK_TIMEOUT_S
        )
        return max(0.0, self._wanted_tokens(now) - self.available(now) - pending_tokens)

    def plan_borrowing(
        self, now: float, lenders: Mapping[str, int]
    ) -> tuple[borrow_request.BorrowRequest, ...]:
        """Return the messages to send to lenders now; call it every 20 to 50 ms.

        Parameters
        ----------
        now : float
        lenders : Mapping
            Number of seats held by each other live VM, by VM.

        Returns
        -------
        tuple of borrow_request.BorrowRequest
            At most one request for tokens is pending at each lender.
        """
        target = self._wanted_tokens(now)
        idle_s = borrowed_tokens.IDLE_S if target else borrowed_tokens.REMAINDER_IDLE_S
        self._borrowed.return_idle(now, target, idle_s)
        tokens = self._split_shortage(self.shortage(now), now, lenders)
        for vm, amount in tokens.items():
            self._pending[vm] = _PendingRequest(amount, now)
        for vm in self._borrowed.lenders():
            if (
                self._borrowed.oldest_settlement_age(vm, now)
                >= self._settlement_delay()
            ):
                tokens.setdefault(vm, 0.0)
        return tuple(
            borrow_request.BorrowRequest(vm, amount, self._borrowed.pop_settlements(vm))
            for vm, amount in tokens.items()
        )

    def lend(self, tokens: float, now: float) -> tuple[loan.Loan, ...]:
        """Lend up to the given number of tokens from the buckets of the VM's seats.

        Whole tokens that are needed for predicted demand are kept. Fractions are lent:
        alone they admit no request here, but together with others they admit one at the
        borrower.
        """
        buckets = self._usable(now)
        level = sum(bucket.level(now) for bucket in buckets)
        kept = min(self._wanted_tokens(now), math.floor(level + _TOLERANCE))
        missing = min(tokens, level - kept)
        result = []
        for bucket in buckets:
            granted = bucket.lend(missing, now) if missing > _TOLERANCE else None
            if granted is not None:
                missing -= granted.tokens
                result.append(granted)
        return tuple(result)

    def accept(
        self, vm: str, loans: Iterable[loan.Loan], asked_at: float, now: float
    ) -> None:
        """Record a lender's response.

        Parameters
        ----------
        vm : str
        loans : iterable of loan.Loan
            Empty if the lender has nothing to lend.
        asked_at : float
            Time that was passed to ``plan_borrowing``.
        now : float
        """
        loans = tuple(loans)
        pending = self._pending.get(vm)
        if pending is not None and pending.asked_at == asked_at:
            del self._pending[vm]
            # Rounded, so that lenders with similar round-trip times take turns.
            self._round_trips[vm] = round(now - asked_at, 2)
            granted = sum(entry.tokens for entry in loans) / max(
                pending.tokens, _TOLERANCE
            )
            self._record_grant(vm, granted)
            if granted < _MIN_GRANT_RATIO:
                backoff = self._backoffs.get(vm, EMPTY_LENDER_BACKOFF_S)
                self._backoff_until[vm] = now + backoff
                self._backoffs[vm] = min(2 * backoff, MAX_EMPTY_LENDER_BACKOFF_S)
            else:
                self._backoffs.pop(vm, None)
        for entry in loans:
            self._borrowed.accept(entry, vm, asked_at, now)

    def borrow_failed(self, vm: str, asked_at: float) -> None:
        """Record that a lender did not respond."""
        pending = self._pending.get(vm)
        if pending is not None and pending.asked_at == asked_at:
            del self._pending[vm]
            self._record_grant(vm, 0.0)

    def settle(self, settlements: Iterable[settlement.Settlement], now: float) -> None:
        """Apply the settlements of a borrower."""
        self._usable(now)
        for entry in settlements:
            bucket = self._buckets.get(entry.seat)
            if bucket is not None:
                bucket.settle(entry, now)

    def return_all(self, now: float) -> None:
        """Return all borrowed tokens, before the VM stops."""
        self._borrowed.return_idle(now, 0.0, 0.0)

    def _spend(self, now: float, required: float) -> bool:
        buckets = self._usable(now)
        own = sum(bucket.level(now) for bucket in buckets)
        if own + self._borrowed.available(now) < required - _TOLERANCE:
            return False
        missing = 1.0
        for bucket in buckets:
            missing -= bucket.take(missing, now)
        self._borrowed.take(missing, now)
        return True

    def _wanted_tokens(self, now: float) -> float:
        expected = self._demand.predicted(now)
        # All VMs together prefetch at most the burst. Less than one token is not
        # prefetched: it admits no request here and may be needed by another VM.
        max_prefetch = (
            expected * self._burst / max(self._rate * demand.HORIZON_S, _TOLERANCE)
        )
        prefetch = (
            min(expected, max_prefetch) if min(expected, max_prefetch) >= 1 else 0.0
        )
        return min(prefetch + self._waiting, max(self._burst, 1.0))

    def _settlement_delay(self) -> float:
        # Spent tokens block the lender's refill until they are settled. This matters if
        # the burst is less than one second's worth of the rate.
        seconds = self._burst / max(self._rate, _TOLERANCE)
        return SETTLEMENT_DELAY_S * min(1.0, seconds / 2)

    def _usable(self, now: float) -> list[lending_bucket.LendingBucket]:
        result = []
        for seat in self._seats(now):
            bucket = self._buckets.get(seat.seat)
            if bucket is None or bucket.term != seat.term:
                bucket = lending_bucket.LendingBucket(
                    seat.seat, seat.term, seat.tokens_from, self._violations
                )
                self._buckets[seat.seat] = bucket
            rate, capacity = self._rate * seat.share, self._burst * seat.share
            bucket.set_share(rate, capacity, now)
            result.append(bucket)
        return result

    def _split_shortage(
        self, shortage: float, now: float, lenders: Mapping[str, int]
    ) -> dict[str, float]:
        free = [vm for vm in sorted(lenders) if self._may_request(vm, now)]
        if shortage <= _TOLERANCE or not free:
            return {}
        count = min(len(free), math.ceil(shortage / MIN_REQUEST_TOKENS))
        start = self._next_lender % len(free)
        self._next_lender += count
        order = free[start:] + free[:start]
        if self._waiting:
            order.sort(key=lambda vm: self._round_trips.get(vm, 0.0))
        chosen = order[:count]
        weights = {vm: lenders[vm] * self._grant_ratios.get(vm, 1.0) for vm in chosen}
        total = sum(weights.values())
        if total <= 0:
            return {}
        return {vm: shortage * weight / total for vm, weight in weights.items()}

    def _may_request(self, vm: str, now: float) -> bool:
        pending = self._pending.get(vm)
        if pending is not None and now - pending.asked_at < ASK_TIMEOUT_S:
            return False
        return now >= self._backoff_until.get(vm, now)

    def _record_grant(self, vm: str, ratio: float) -> None:
        earlier = self._grant_ratios.get(vm, 1.0)
        average = earlier + _GRANT_WEIGHT * (min(ratio, 1.0) - earlier)
        self._grant_ratios[vm] = max(average, _MIN_GRANT_RATIO)
