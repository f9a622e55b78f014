"""Has daemons of a run err on purpose, so that its judge is shown to see it."""

import pathlib

import trio

from soak import erring_daemon

_POLL_SECONDS = 0.2
# Guarantee that each error violates.
GUARANTEES = {
    "process_ends": "processes_do_not_end_by_themselves",
    "request_cut": "every_request_is_answered",
    "early_answer": "stops_replace_no_answer",
    "slow_start": "started_vms_get_ready",
}


class ErrorsOnPurpose:
    """Asks the daemons of a run for errors, each of which one of them makes.

    Parameters
    ----------
    directory : pathlib.Path
        Of the run.
    names : str
        Names of the errors, separated by commas; empty for none.
    interval : float
        Seconds from one error of a kind to the next.
    after : float
        Seconds without errors at the begin.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        names: str,
        interval: float,
        after: float = 0.0,
    ) -> None:
        self._after = after
        self._directory = directory
        self._interval = interval
        self.made = dict.fromkeys([each for each in names.split(",") if each], 0)
        unknown = self.made.keys() - erring_daemon.ERRORS.keys()
        if unknown:
            raise ValueError(f"unknown errors: {sorted(unknown)}")

    async def run(self, scope: trio.CancelScope) -> None:
        """Ask for errors until the scope is cancelled."""
        with scope:
            await trio.sleep(self._after)
            async with trio.open_nursery() as nursery:
                for name in self.made:
                    nursery.start_soon(self._ask, name)

    async def _ask(self, name: str) -> None:
        path = self._directory / name
        try:
            while True:
                await trio.sleep(self._interval)
                path.touch()
                while path.exists():
                    await trio.sleep(_POLL_SECONDS)
                self.made[name] += 1
        finally:
            path.unlink(missing_ok=True)
