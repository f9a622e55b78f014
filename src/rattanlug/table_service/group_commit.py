"""Collects single writes into transactions."""

import trio

from rattanlug.table_service import client, error, write

# Bounds a transaction to a few hundred kilobytes with the largest recorded responses.
MAX_WRITES = 64
# While one transaction is slow, writes that arrive later can still be sent.
MAX_TRANSACTIONS = 4


class _PendingWrite:
    """A write, its state and, in the end, its outcome."""

    def __init__(self, wanted: write.Write):
        self.wanted = wanted
        self.sent = False
        self.settled = trio.Event()
        self.revision = 0
        self.failure: error.PlatformError | error.ConflictError | None = None

    def succeed(self, revision: int) -> None:
        self.revision = revision
        self.settled.set()

    def fail(self, failure: error.PlatformError | error.ConflictError) -> None:
        self.failure = failure
        self.settled.set()


class GroupCommit:
    """Sends writes that wait at the same time in one transaction.

    A write is sent at once while fewer than `MAX_TRANSACTIONS` are under way. Writes
    of one transaction are of different rows. When a write conflicts, only it fails and
    the others are sent again without it.

    Parameters
    ----------
    platform : client.PlatformClient
    """

    def __init__(self, platform: client.PlatformClient):
        self._platform = platform
        self._queue: list[_PendingWrite] = []
        self._arrived = trio.Condition()
        self._transactions = 0

    @property
    def transactions(self) -> int:
        """Transactions sent so far."""
        return self._transactions

    async def run(self) -> None:
        """Send writes until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_TRANSACTIONS):
                nursery.start_soon(self._run_sender)

    async def commit(self, wanted: write.Write, *, timeout: float) -> int:
        """Apply one write.

        Parameters
        ----------
        wanted : write.Write
        timeout : float
            Seconds to wait for the outcome.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        error.ConflictError
            The row did not have the expected revision; ``index`` is 0.
        error.PlatformError
            With ``maybe_applied`` true when the write may have taken effect.
        """
        pending = _PendingWrite(wanted)
        async with self._arrived:
            self._queue.append(pending)
            self._arrived.notify()
        try:
            with trio.move_on_after(timeout):
                await pending.settled.wait()
        finally:
            if pending in self._queue:
                self._queue.remove(pending)
        if pending.failure is not None:
            raise pending.failure
        if not pending.settled.is_set():
            raise error.PlatformError(
                f"platform did not confirm the write in {timeout:g} s", pending.sent
            )
        return pending.revision

    async def _run_sender(self) -> None:
        while True:
            async with self._arrived:
                while not self._queue:
                    await self._arrived.wait()
                batch = self._take()
                if self._queue:
                    self._arrived.notify()
            await self._send(batch)

    def _take(self) -> list[_PendingWrite]:
        """Remove a batch of writes of different rows, oldest first."""
        batch: dict[tuple[str, str], _PendingWrite] = {}
        for pending in self._queue:
            row_name = (pending.wanted.table, pending.wanted.key)
            if row_name not in batch and len(batch) < MAX_WRITES:
                batch[row_name] = pending
        taken = list(batch.values())
        self._queue = [each for each in self._queue if each not in taken]
        return taken

    async def _send(self, batch: list[_PendingWrite]) -> None:
        while batch:
            for each in batch:
                each.sent = True
            self._transactions += 1
            try:
                revisions = await self._platform.commit([each.wanted for each in batch])
            except error.ConflictError as exc:
                if not 0 <= exc.index < len(batch):
                    failure = error.PlatformError(
                        f"platform named write {exc.index} of {len(batch)}", False
                    )
                    _fail_all(batch, failure)
                    return
                batch.pop(exc.index).fail(error.ConflictError(0, exc.row))
            except error.PlatformError as exc:
                # The platform refused the transaction as a whole, for instance because
                # of the size of one write.
                if exc.status is not None and not exc.maybe_applied and len(batch) > 1:
                    for each in batch:
                        await self._send([each])
                else:
                    _fail_all(batch, exc)
                return
            else:
                for each, revision in zip(batch, revisions, strict=True):
                    each.succeed(revision)
                return


def _fail_all(batch: list[_PendingWrite], failure: error.PlatformError) -> None:
    for each in batch:
        each.fail(
            error.PlatformError(failure.detail, failure.maybe_applied, failure.status)
        )
