"""Measurements of one run of an experiment."""

import collections


class Outcome:
    """Counters of one run; requests that arrive during the warm-up are left out."""

    def __init__(self, warm_up: float):
        self.warm_up = warm_up
        self.latencies: list[float] = []
        self.arrived = collections.Counter()
        self.good = collections.Counter()
        self.refused = 0
        self.failed = 0
        self.retries = 0
        self.above_slots = 0
        self.work_after_sign = 0
        self.busy_peak = 0.0
        self.drain_times: list[float] = []

    def count(
        self, arrived: float, organisation: int, latency: float | None, kind: str
    ) -> None:
        """Count the end of one request."""
        if arrived < self.warm_up:
            return
        self.arrived[organisation] += 1
        if kind == "good":
            self.good[organisation] += 1
            self.latencies.append(latency)
        elif kind == "refused":
            self.refused += 1
        else:
            self.failed += 1

    def summary(self) -> dict[str, float]:
        """Return the measurements by column."""
        ordered = sorted(self.latencies)
        total = sum(self.arrived.values())
        rates = [self.good[o] / n for o, n in self.arrived.items() if n]

        def quantile(share):
            return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

        return {
            "requests": total,
            "p50": quantile(0.5),
            "p99": quantile(0.99),
            "p999": quantile(0.999),
            "refused": self.refused / total,
            "failed": self.failed / total,
            "worst_organisation": min(rates),
            "worst_to_best": min(rates) / max(rates),
            "headroom": 1 - self.busy_peak,
            "drain_seconds": max(self.drain_times, default=0.0),
            "work_after_sign": self.work_after_sign,
            "above_slots": self.above_slots,
        }
