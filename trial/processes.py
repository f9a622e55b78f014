"""Starts, signals and kills the processes of a trial."""

import ctypes
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence

import trio

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)
_EXIT_TIMEOUT_S = 2.0
_LOG_TAIL_BYTES = 2000


def kill_with_parent() -> None:
    """Have the kernel kill this process when the launcher ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """The processes that this launcher started.

    Parameters
    ----------
    directory : pathlib.Path
        For the output of each process.
    """

    def __init__(self, directory: pathlib.Path):
        self._directory = directory
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def names(self) -> list[str]:
        """Names of all processes started so far."""
        return list(self._running)

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> int:
        """Start ``python`` with arguments and return the process id."""
        root = pathlib.Path(__file__).parent.parent
        path = os.pathsep.join([str(root / "src"), str(root)])
        with self._log(name).open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": path,
                    "PYTHONDONTWRITEBYTECODE": "1",
                    **(environment or {}),
                },
                # An interrupt from the terminal must reach the launcher only.
                start_new_session=True,
                preexec_fn=kill_with_parent,
            )
        self._running[name] = process
        return process.pid

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._running[name].send_signal(number)

    def exit_code(self, name: str) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._running[name].poll()

    async def wait(self, name: str, timeout: float) -> int | None:
        """Wait for a process; return its exit code or None at the timeout."""
        with trio.move_on_after(timeout):
            while self.exit_code(name) is None:
                await trio.sleep(0.02)
        return self.exit_code(name)

    def read_log(self, name: str) -> str:
        """Return the end of a process's output."""
        data = self._log(name).read_bytes()
        return data[-_LOG_TAIL_BYTES:].decode("utf-8", "replace")

    def end_all(self) -> None:
        """Kill every process that still runs.

        Raises
        ------
        subprocess.TimeoutExpired
            A process did not end within 2 s.
        """
        running = [each for each in self._running.values() if each.poll() is None]
        for each in running:
            # No graceful shutdown is needed: nothing is stored or checked afterwards.
            each.kill()
        for each in running:
            each.wait(_EXIT_TIMEOUT_S)

    def _log(self, name: str) -> pathlib.Path:
        return self._directory / f"{name}.log"
