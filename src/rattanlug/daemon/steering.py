"""Steers moves while this VM holds the lease."""

from collections.abc import Callable

from rattanlug.daemon import version_choice
from rattanlug.errors import error
from rattanlug.logs import state_log
from rattanlug.model import move
from rattanlug.rollout import (
    controller,
    lease_row,
    move_evidence,
    move_record,
    outcome_report,
    shares,
    steering_lease,
)
from rattanlug.table_service import client, write
from rattanlug.table_service import error as platform_error

_LEASE_TABLE = "leases"
_LEASE_KEY = "moves"
_MOVE_TABLE = "moves"


class Steering:
    """Lease, records and evidence of the moves.

    Parameters
    ----------
    vm : str
    incarnation : int
    platform : client.PlatformClient
    versions : version_choice.VersionChoice
    routes_of : callable
        ``routes_of(service)`` returns the number of routes of a service.
    clock, wall_clock : callable
        Return the present time in seconds.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        platform: client.PlatformClient,
        versions: version_choice.VersionChoice,
        routes_of: Callable[[str], int],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._lease = steering_lease.SteeringLease(vm, incarnation)
        self._platform = platform
        self._versions = versions
        self._routes_of = routes_of
        self._clock = clock
        self._wall_clock = wall_clock
        self._holder = ""
        self._lease_revision = 0
        self._lease_row: lease_row.LeaseRow | None = None
        self._term = 0
        self._records: dict[str, tuple[int, move_record.MoveRecord]] = {}
        self._evidence: dict[str, move_evidence.MoveEvidence] = {}

    @property
    def holder(self) -> str:
        """VM that the lease row names, empty if none is known."""
        return self._holder

    @property
    def held(self) -> bool:
        """Whether this VM may steer now."""
        return self._lease.held(self._clock())

    async def refresh(self, may_hold: bool) -> None:
        """Read the lease row and take or renew the lease when it is due.

        Parameters
        ----------
        may_hold : bool
            Whether this VM may take the lease; few VMs compete for it, so that the
            platform's load does not grow with their number.

        Raises
        ------
        error.PlatformError
        """
        await self._read_lease()
        row = self._lease.next_write(self._clock()) if may_hold or self.held else None
        if row is None:
            return
        try:
            await self._commit([], row)
        except platform_error.ConflictError:
            pass
        await self._read_lease()

    async def steer(self) -> None:
        """Bring every record a step further.

        Raises
        ------
        error.PlatformError
        """
        if not self.held:
            self._records.clear()
            self._evidence.clear()
            return
        if self._term != self._lease.term or not self._knows_all():
            await self._read_records()
            self._term = self._lease.term
        for name, item in list(self._versions.moves.items()):
            if item.final is None:
                await self._step(item.planned)
            self._report_final(name)

    async def release(self) -> None:
        """Give up the lease before the VM stops.

        Raises
        ------
        error.PlatformError, error.ConflictError
        """
        row = self._lease.release(self._clock())
        if row is not None:
            renewal = write.Write(
                _LEASE_TABLE, _LEASE_KEY, self._lease_revision, row._asdict()
            )
            await self._platform.commit([renewal])

    def answer(
        self, name: str, report: outcome_report.OutcomeReport
    ) -> shares.Shares | None:
        """Take a report and answer it, or return None when this VM does not steer."""
        found = self._records.get(name)
        if found is None or not self.held:
            return None
        evidence = self._evidence_of(self._versions.moves[name].planned)
        evidence.add(report, self._clock())
        return evidence.answer(found[1], report)

    async def read_final_states(self) -> None:
        """Learn which moves have ended, for a VM that has just started.

        Raises
        ------
        error.PlatformError
        """
        await self._read_records()
        for name in self._records:
            self._report_final(name)

    def reason(self, name: str) -> str:
        """Return why a move is in its state, if this VM has read its record."""
        found = self._records.get(name)
        return found[1].reason if found else ""

    async def _read_lease(self) -> None:
        found = await self._platform.get(_LEASE_TABLE, _LEASE_KEY)
        now = self._clock()
        row = None if found is None else lease_row.LeaseRow(**found.value)
        self._lease_revision = 0 if found is None else found.revision
        self._lease_row = row
        self._holder = row.vm if row else ""
        before = self.held
        self._lease.observe(row, now)
        if self.held != before:
            state_log.log_change("steering", before, self.held)

    async def _read_records(self) -> None:
        rows = await self._platform.scan(_MOVE_TABLE, "")
        self._records = {
            row.key: (row.revision, move_record.MoveRecord.from_json(row.value))
            for row in rows
            if row.key in self._versions.moves
        }

    def _knows_all(self) -> bool:
        return self._records.keys() >= self._versions.moves.keys()

    async def _step(self, planned: move.Move) -> None:
        now = self._clock()
        revision, record = self._records.get(planned.name, (0, None))
        if record is None:
            following = move_record.new_record(planned, self._lease.term)
        else:
            following = controller.next_step(
                record,
                self._evidence_of(planned),
                now,
                self._wall_clock(),
                self._lease.term,
            )
        if following == record:
            return
        wanted = write.Write(_MOVE_TABLE, planned.name, revision, following.to_json())
        row = self._lease_row._replace(renewals=self._lease_row.renewals + 1)
        try:
            revisions = await self._commit([wanted], row)
        except error.ConflictError:
            # Another VM wrote; what is known here is outdated.
            self._term = 0
            return
        self._records[planned.name] = (revisions[-1], following)
        if record is None or following.state is not record.state:
            state_log.log_change(
                "move_record",
                record.state.value if record else "",
                following.state.value,
                move=planned.name,
                reason=following.reason,
            )
        await self._read_lease()

    async def _commit(
        self, writes: list[write.Write], row: lease_row.LeaseRow
    ) -> list[int]:
        """Write move rows together with a renewal, which fences earlier holders."""
        renewal = write.Write(
            _LEASE_TABLE, _LEASE_KEY, self._lease_revision, row._asdict()
        )
        self._lease.record_attempt(row, self._clock())
        return await self._platform.commit([renewal, *writes])

    def _evidence_of(self, planned: move.Move) -> move_evidence.MoveEvidence:
        known = self._evidence.get(planned.name)
        if known is None:
            remaining = max(1.0, planned.deadline - self._wall_clock())
            known = move_evidence.MoveEvidence(
                self._routes_of(planned.service), self._clock(), remaining
            )
            self._evidence[planned.name] = known
        return known

    def _report_final(self, name: str) -> None:
        found = self._records.get(name)
        if found is not None and found[1].state.final:
            self._versions.finish(name, found[1].state.value)
