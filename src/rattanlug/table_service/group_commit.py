"""Group commit: collects single writes into shared transactions."""

import trio

from rattanlug.table_service import client, error, write

# Limits a transaction with the largest recorded responses to a few hundred kilobytes.
MAX_WRITES = 64
# More than one, so that a slow transaction does not delay the writes after it.
MAX_TRANSACTIONS = 4


class _PendingWrite:
    """A write that waits for its outcome."""

    def __init__(self, new_write: write.Write):
        self.new_write = new_write
        self.sent = False
        self.done = trio.Event()
        self.revision = 0
        self.failure: error.PlatformError | error.ConflictError | None = None

    def succeed(self, revision: int) -> None:
        self.revision = revision
        self.done.set()

    def fail(self, failure: error.PlatformError | error.ConflictError) -> None:
        self.failure = failure
        self.done.set()


class GroupCommit:
    """Sends the writes that are waiting in one transaction.

    A write is sent immediately while fewer than `MAX_TRANSACTIONS` are in progress.
    Each write of a transaction concerns another row. When a write conflicts, only that
    write fails; the others are retried without it.

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

    async def commit(self, new_write: write.Write, *, timeout: float) -> int:
        """Apply one write.

        Parameters
        ----------
        new_write : write.Write
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
        pending = _PendingWrite(new_write)
        async with self._arrived:
            self._queue.append(pending)
            self._arrived.notify()
        try:
            with trio.move_on_after(timeout):
                await pending.done.wait()
        finally:
            if pending in self._queue:
                self._queue.remove(pending)
        if pending.failure is not None:
            raise pending.failure
        if not pending.done.is_set():
            raise error.PlatformError(
                f"platform did not confirm the write in {timeout:g} s", pending.sent
            )
        return pending.revision

    async def _run_sender(self) -> None:
        while True:
            async with self._arrived:
                while not self._queue:
                    await self._arrived.wait()
                batch = self._take_batch()
                if self._queue:
                    self._arrived.notify()
            await self._send(batch)

    def _take_batch(self) -> list[_PendingWrite]:
        """Remove a batch of writes of different rows, oldest first."""
        batch: dict[tuple[str, str], _PendingWrite] = {}
        for pending in self._queue:
            row_name = (pending.new_write.table, pending.new_write.key)
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
                revisions = await self._platform.commit(
                    [each.new_write for each in batch]
                )
            except error.ConflictError as exc:
                if not 0 <= exc.index < len(batch):
                    failure = error.PlatformError(
                        f"platform named write {exc.index} of {len(batch)}", False
                    )
                    _fail_all(batch, failure)
                    return
                batch.pop(exc.index).fail(error.ConflictError(0, exc.row))
            except error.PlatformError as exc:
                # The platform rejected the whole transaction, for instance because one
                # write is too large. Each write is retried alone.
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
