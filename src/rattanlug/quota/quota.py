"""The rate of one organisation, as one VM enforces it."""

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

# A request for tokens that was not answered by then no longer counts as under way;
# it covers a round trip between the farthest regions (110 ms) twice.
ASK_TIMEOUT_S = 0.25
# Longest time for which a request waits for tokens.
MAX_WAIT_S = 0.15
# Settlements wait this long for a request for tokens to travel with.
SETTLEMENT_DELAY_S = 0.1
# Fewer tokens than this are not worth a message to one more lender.
MIN_ASK_TOKENS = 0.5
# A lender that had nothing to lend is left alone for a moment, and for twice as long
# each time in a row: an organisation that sends several times its rate would otherwise
# keep every lender busy with requests for tokens that do not exist.
EMPTY_LENDER_PAUSE_S = 0.01
LONGEST_EMPTY_LENDER_PAUSE_S = 0.2
# Weight of the newest answer in a lender's average of tokens granted to tokens asked.
_GRANT_WEIGHT = 0.5
_MIN_GRANT_RATIO = 0.1
_ROUNDING = 1e-9


class _Ask(NamedTuple):
    tokens: float
    asked_at: float


class OrganisationQuota:
    """Admits requests from the buckets of the VM's own seats and from loans.

    Parameters
    ----------
    rate : float
        Requests per second over the whole fleet.
    burst : float
        Requests over the whole fleet.
    seats : callable
        Returns the ``held_seat.HeldSeat`` that may be used at a moment. It returns
        none while keyed routes are not allowed: a VM that may not know the newest
        configuration neither admits nor lends.
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
        self._asks: dict[str, _Ask] = {}
        self._grant_ratios: dict[str, float] = {}
        self._empty_pauses: dict[str, float] = {}
        self._round_trips: dict[str, float] = {}
        self._empty_until: dict[str, float] = {}
        self._turn = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for tokens."""
        return self._waiting

    def configure(self, rate: float, burst: float) -> None:
        """Apply another rate and burst, which count from the next call on."""
        self._rate = rate
        self._burst = burst

    def try_admit(self, now: float) -> bool:
        """Count an arrival and admit it if there are tokens for it.

        A request that is not admitted may wait: see ``begin_waiting``.
        """
        self._demand.add_arrival(now)
        return self._spend(now, 1.0 + self._waiting)

    def begin_waiting(self) -> None:
        """Count a request that was not admitted and waits for tokens."""
        self._waiting += 1

    def admit_waiting(self, now: float) -> bool:
        """Admit one waiting request if there are tokens, which ends its waiting."""
        if not self._spend(now, 1.0):
            return False
        self._waiting -= 1
        return True

    def stop_waiting(self) -> None:
        """End the waiting of a request that is refused."""
        self._waiting -= 1

    def available(self, now: float) -> float:
        """Return the tokens that may be spent now."""
        own = sum(bucket.level(now) for bucket in self._usable(now))
        return own + self._borrowed.available(now)

    def outstanding(self, seat: str, now: float) -> float:
        """Return the lent tokens of a seat; it is released only at zero."""
        bucket = self._buckets.get(seat)
        if bucket is None:
            return 0.0
        bucket.level(now)
        return bucket.outstanding

    def shortage(self, now: float) -> float:
        """Return the tokens to ask peers for now."""
        under_way = sum(
            ask.tokens
            for ask in self._asks.values()
            if now - ask.asked_at < ASK_TIMEOUT_S
        )
        return max(0.0, self._target(now) - self.available(now) - under_way)

    def plan_borrowing(
        self, now: float, lenders: Mapping[str, int]
    ) -> tuple[borrow_request.BorrowRequest, ...]:
        """Return the messages to send now; to be called every 20 to 50 ms.

        Parameters
        ----------
        now : float
        lenders : Mapping
            Live VMs other than this one, and the number of seats that each holds.

        Returns
        -------
        tuple of borrow_request.BorrowRequest
            One request at most is under way for each lender.
        """
        target = self._target(now)
        idle_s = borrowed_tokens.IDLE_S if target else borrowed_tokens.REMAINDER_IDLE_S
        self._borrowed.return_idle(now, target, idle_s)
        tokens = self._split(self.shortage(now), now, lenders)
        for vm, amount in tokens.items():
            self._asks[vm] = _Ask(amount, now)
        for vm in self._borrowed.lenders():
            if self._borrowed.oldest_settlement(vm, now) >= self._settlement_delay():
                tokens.setdefault(vm, 0.0)
        return tuple(
            borrow_request.BorrowRequest(vm, amount, self._borrowed.pop_settlements(vm))
            for vm, amount in tokens.items()
        )

    def lend(self, tokens: float, now: float) -> tuple[loan.Loan, ...]:
        """Lend at most the given tokens from the buckets of the own seats.

        Whole tokens that predicted demand needs are kept. Fractions are lent: alone
        they admit nothing here, together with others they admit a request elsewhere.
        """
        buckets = self._usable(now)
        level = sum(bucket.level(now) for bucket in buckets)
        kept = min(self._target(now), math.floor(level + _ROUNDING))
        missing = min(tokens, level - kept)
        result = []
        for bucket in buckets:
            granted = bucket.lend(missing, now) if missing > _ROUNDING else None
            if granted is not None:
                missing -= granted.tokens
                result.append(granted)
        return tuple(result)

    def accept(
        self, vm: str, loans: Iterable[loan.Loan], asked_at: float, now: float
    ) -> None:
        """Take a lender's answer.

        Parameters
        ----------
        vm : str
        loans : iterable of loan.Loan
            Empty when the lender has nothing to lend.
        asked_at : float
            Moment that ``plan_borrowing`` was called with.
        now : float
        """
        loans = tuple(loans)
        ask = self._asks.get(vm)
        if ask is not None and ask.asked_at == asked_at:
            del self._asks[vm]
            # In steps, so that lenders at the same distance take turns.
            self._round_trips[vm] = round(now - asked_at, 2)
            granted = sum(entry.tokens for entry in loans) / max(ask.tokens, _ROUNDING)
            self._note_grant(vm, granted)
            if granted < _MIN_GRANT_RATIO:
                pause = self._empty_pauses.get(vm, EMPTY_LENDER_PAUSE_S)
                self._empty_until[vm] = now + pause
                self._empty_pauses[vm] = min(2 * pause, LONGEST_EMPTY_LENDER_PAUSE_S)
            else:
                self._empty_pauses.pop(vm, None)
        for entry in loans:
            self._borrowed.accept(entry, vm, asked_at, now)

    def borrow_failed(self, vm: str, asked_at: float) -> None:
        """Note that a lender did not answer."""
        ask = self._asks.get(vm)
        if ask is not None and ask.asked_at == asked_at:
            del self._asks[vm]
            self._note_grant(vm, 0.0)

    def settle(self, settlements: Iterable[settlement.Settlement], now: float) -> None:
        """Take the settlements of a borrower."""
        self._usable(now)
        for entry in settlements:
            bucket = self._buckets.get(entry.seat)
            if bucket is not None:
                bucket.settle(entry, now)

    def return_all(self, now: float) -> None:
        """Settle every loan, before the VM stops."""
        self._borrowed.return_idle(now, 0.0, 0.0)

    def _spend(self, now: float, required: float) -> bool:
        buckets = self._usable(now)
        own = sum(bucket.level(now) for bucket in buckets)
        if own + self._borrowed.available(now) < required - _ROUNDING:
            return False
        missing = 1.0
        for bucket in buckets:
            missing -= bucket.take(missing, now)
        self._borrowed.take(missing, now)
        return True

    def _target(self, now: float) -> float:
        wanted = self._demand.predicted(now)
        # All VMs together stock no more than the burst. A fraction of a token admits
        # nothing here while it may be missing elsewhere.
        stock = wanted * self._burst / max(self._rate * demand.HORIZON_S, _ROUNDING)
        ahead = min(wanted, stock) if min(wanted, stock) >= 1 else 0.0
        return min(ahead + self._waiting, max(self._burst, 1.0))

    def _settlement_delay(self) -> float:
        # Spent tokens block the lender's refill until they are settled, which
        # matters when the burst lasts for less than a second of the rate.
        seconds = self._burst / max(self._rate, _ROUNDING)
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

    def _split(
        self, shortage: float, now: float, lenders: Mapping[str, int]
    ) -> dict[str, float]:
        free = [vm for vm in sorted(lenders) if self._may_ask(vm, now)]
        if shortage <= _ROUNDING or not free:
            return {}
        count = min(len(free), math.ceil(shortage / MIN_ASK_TOKENS))
        start = self._turn % len(free)
        self._turn += count
        order = free[start:] + free[:start]
        if self._waiting:
            order.sort(key=lambda vm: self._round_trips.get(vm, 0.0))
        chosen = order[:count]
        weights = {vm: lenders[vm] * self._grant_ratios.get(vm, 1.0) for vm in chosen}
        total = sum(weights.values())
        if total <= 0:
            return {}
        return {vm: shortage * weight / total for vm, weight in weights.items()}

    def _may_ask(self, vm: str, now: float) -> bool:
        ask = self._asks.get(vm)
        if ask is not None and now - ask.asked_at < ASK_TIMEOUT_S:
            return False
        return now >= self._empty_until.get(vm, now)

    def _note_grant(self, vm: str, ratio: float) -> None:
        earlier = self._grant_ratios.get(vm, 1.0)
        average = earlier + _GRANT_WEIGHT * (min(ratio, 1.0) - earlier)
        self._grant_ratios[vm] = max(average, _MIN_GRANT_RATIO)
