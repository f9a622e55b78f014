"""Sequential comparison of two event rates."""

import math

# Bets on excess rates: 0.3 detects a small excess in many requests, 100 detects a
# version that always fails within a few requests.
BETS = (0.3, 1.0, 3.0, 10.0, 30.0, 100.0)
# Upper limit of ``b`` in ``SequentialTest``, so that an event of the old version never
# costs the whole wealth.
MAX_LOSS = 0.9
# Share of the initial wealth that the first start gets; the other starts divide the
# rest.
FIRST_STAKE = 0.5
MAX_LOG = 500.0
MIN_EVIDENCE = 1e-300


class SequentialTest:
    """Evidence that events are more frequent in new requests than is tolerated.

    New and old requests are those to the new and the old version. The null hypothesis
    is that in each period the new rate is at most ``ratio`` times the old rate of the
    same period plus ``excess``. The rates may change between periods.

    For a bet ``a``, the wealth is the product over periods of
    ``(1 + a)**new_events * (1 - b)**old_events * exp(-a * allowed)`` with
    ``b = a * ratio * new_requests / old_requests`` and ``allowed`` the excess times the
    new requests. It has an expectation of at most 1 under the null hypothesis, because
    ``1 + a p <= exp(a p)``. By Ville's inequality it ever exceeds 1/alpha with
    probability at most alpha, so it can be checked after every report.

    The evidence is the mean over all bets, and a weighted mean over tests that start at
    different times. With a single start, a regression that begins late would have to
    outweigh the evidence of the good requests before.

    Parameters
    ----------
    ratio : float
        Tolerated factor over the old rate.
    starts : int
        Number of starts; the first is made at once, the others by ``add_start``.
    """

    def __init__(self, ratio: float, starts: int = 1):
        self._ratio = ratio
        # The first start gets the largest stake, since most bad versions are bad from
        # the first request on.
        self._first_stake = FIRST_STAKE if starts > 1 else 1.0
        self._stake = (1.0 - self._first_stake) / max(1, starts - 1)
        self._starts_left = max(1, starts)
        self._starts_left -= 1
        self._log_wealths = [math.log(self._first_stake)] * len(BETS)

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence; 0 is neutral."""
        total = sum(
            math.exp(min(log_wealth, MAX_LOG)) for log_wealth in self._log_wealths
        ) / len(BETS)
        return math.log(max(total + self._stake * self._starts_left, MIN_EVIDENCE))

    def add_start(self) -> None:
        """Start another test now; has no effect if no start is left."""
        if self._starts_left <= 0:
            return
        self._starts_left -= 1
        stake = math.log(self._stake)
        for index, log_wealth in enumerate(self._log_wealths):
            # Logarithm of the sum of two exponentials, without overflow.
            larger = max(log_wealth, stake)
            self._log_wealths[index] = larger + math.log(
                math.exp(log_wealth - larger) + math.exp(stake - larger)
            )

    def add(
        self,
        allowed: float,
        new_requests: int,
        new_events: int,
        old_requests: int,
        old_events: int,
    ) -> None:
        """Add the counts of one period.

        Parameters
        ----------
        allowed : float
            Tolerated excess rate times new requests.
        new_requests, new_events, old_requests, old_events : int
            Counts of both versions over the same period; both numbers of requests
            are above 0.
        """
        factor = self._ratio * new_requests / old_requests
        for index, bet in enumerate(BETS):
            bet_size = min(bet, MAX_LOSS / factor)
            self._log_wealths[index] += (
                new_events * math.log1p(bet_size)
                + old_events * math.log1p(-bet_size * factor)
                - bet_size * allowed
            )

    def add_without_baseline(self, allowed: float, new_events: int) -> None:
        """Add a period in which the old version had no requests.

        Parameters
        ----------
        allowed : float
            Tolerated rate, including that of the old version, times new requests.
        new_events : int
        """
        for index, bet in enumerate(BETS):
            self._log_wealths[index] += new_events * math.log1p(bet) - bet * allowed
