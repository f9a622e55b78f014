"""Shares and slots of seats while VMs change from one plan to another."""

from typing import NamedTuple

from rattanlug.model import link as model_link
from rattanlug.seats import plan, slot

# A VM that has not applied an accepted plan stops serving keyed routes within 10 s
# (keys.freshness); the rest covers clock drift and messages in transit.
SETTLING_S = 12.0


class _Entry(NamedTuple):
    plan: plan.SeatPlan
    accepted_at: float | None


class ShareHistory:
    """Plans that any VM may still use.

    Until 12 s after a plan was accepted by a majority of data centres, other VMs may
    still use an earlier one. A seat therefore gets the smallest share that any of
    these plans gives it. A VM that has just started doesn't know the earlier plans, so
    its seats get no share in that time.
    """

    def __init__(self):
        self._entries: list[_Entry] = []

    @property
    def newest(self) -> plan.SeatPlan | None:
        """The plan that was applied last."""
        return self._entries[-1].plan if self._entries else None

    def apply(self, new: plan.SeatPlan, accepted_at: float | None = None) -> None:
        """Add a plan with a higher version than the newest one.

        Parameters
        ----------
        new : plan.SeatPlan
        accepted_at : float, optional
            Time at which the plan is known to have been accepted already.
        """
        if self._entries and new.version <= self._entries[-1].plan.version:
            return
        self._entries.append(_Entry(new, accepted_at))

    def accept(self, version: int, now: float) -> None:
        """Record that a majority of data centres has applied a version.

        Parameters
        ----------
        version : int
            Highest version that a majority is known to have applied.
        now : float
        """
        self._entries = [
            entry._replace(accepted_at=now)
            if entry.accepted_at is None and entry.plan.version <= version
            else entry
            for entry in self._entries
        ]

    def share(self, seat: str, now: float) -> float:
        """Return the share of fleet-wide limits that the seat may use."""
        plans = self._plans(now)
        return min((entry.share(seat) for entry in plans), default=0.0)

    def link_share(self, seat: str, link: model_link.Link, now: float) -> float:
        """Return the share of its region's rate on a link that the seat may use."""
        plans = self._plans(now)
        return min((entry.link_share(seat, link) for entry in plans), default=0.0)

    def slots(self, seat: str, now: float) -> frozenset[slot.Slot]:
        """Return the slots that the seat owns and that no other seat may still use."""
        plans = self._plans(now)
        if not plans:
            return frozenset()
        result = set(plans[-1].slots(seat))
        for earlier in plans[:-1]:
            for other in earlier.seats:
                if other != seat:
                    result -= earlier.slots(other)
        return frozenset(result)

    def _plans(self, now: float) -> list[plan.SeatPlan]:
        settled = [
            index
            for index, entry in enumerate(self._entries)
            if entry.accepted_at is not None and now >= entry.accepted_at + SETTLING_S
        ]
        if not settled:
            return []
        self._entries = self._entries[settled[-1] :]
        return [entry.plan for entry in self._entries]
