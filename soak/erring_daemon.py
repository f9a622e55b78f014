"""Runs a daemon that errs on purpose, to check that the judge sees it.

``python -m soak.erring_daemon DIRECTORY`` runs the daemon. A file in the directory
that has the name of an error is claimed by the daemon that makes the error next.
"""

import contextlib
import contextvars
import pathlib
import posix
import runpy
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

ERRORS: dict[str, Callable[["Claims"], None]] = {}
SLOW_START_SECONDS = 12.0
EARLY_SECONDS = 0.3
_POLL_SECONDS = 0.05
# A process that has just been started does not end by itself.
_UP_SECONDS = 3.0
# A request has reached its upstream this long after its sending began.
_PASSED_ON_SECONDS = 0.2


def error(function: Callable[["Claims"], None]) -> Callable[["Claims"], None]:
    """Register an error under the name of its function, which prepares it."""
    ERRORS[function.__name__] = function
    return function


class Claims:
    """The errors that are to be made, each by one daemon.

    Parameters
    ----------
    directory : pathlib.Path
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory

    def is_due(self, name: str) -> bool:
        """Tell whether an error is to be made."""
        return (self._directory / name).exists()

    def claim(self, name: str) -> bool:
        """Return whether this daemon makes the error, which it logs."""
        try:
            (self._directory / name).unlink()
        except FileNotFoundError:
            return False
        posix.write(2, f"error on purpose: {name}\n".encode())
        return True


class _Sending(NamedTuple):
    """A request that is being sent to an upstream."""

    began_at: float
    early_at: float
    node: Any
    scope: Any
    stream: Any


_SENDING: dict[int, _Sending] = {}
# Errors that are made at requests; each with its name and what looks for one.
_WATCHES: list[tuple[Claims, str, Callable[[float], None]]] = []
_STREAM: contextvars.ContextVar = contextvars.ContextVar("stream", default=None)


@error
def process_ends(claims: Claims) -> None:
    """End the process with the exit code 1."""

    def watch() -> None:
        time.sleep(_UP_SECONDS)
        while True:
            time.sleep(_POLL_SECONDS)
            if claims.claim("process_ends"):
                posix._exit(1)

    threading.Thread(target=watch, daemon=True).start()


@error
def slow_start(claims: Claims) -> None:
    """Wait before the daemon reads its settings."""
    from rattanlug.gateway import settings_file

    read_when_complete = settings_file.read_when_complete

    def read_late(*arguments: Any, **options: Any) -> Any:
        if claims.claim("slow_start"):
            time.sleep(SLOW_START_SECONDS)
        return read_when_complete(*arguments, **options)

    settings_file.read_when_complete = read_late


@error
def request_cut(claims: Claims) -> None:
    """Close the connection of a request that was passed on."""

    def cut(now: float) -> None:
        for each in _SENDING.values():
            if each.stream and now - each.began_at > _PASSED_ON_SECONDS:
                if claims.claim("request_cut"):
                    each.stream.abort("error on purpose")
                return

    _watch(claims, "request_cut", cut)


@error
def early_answer(claims: Claims) -> None:
    """Answer 504 early, during a stop, while the upstream works."""

    def answer(now: float) -> None:
        for each in _SENDING.values():
            if each.node.leaving and now > each.early_at:
                if claims.claim("early_answer"):
                    each.scope.cancel()
                return

    _watch(claims, "early_answer", answer)


def _watch(claims: Claims, name: str, check: Callable[[float], None]) -> None:
    if not _WATCHES:
        _patch_sender()
    _WATCHES.append((claims, name, check))


def _patch_sender() -> None:
    # Imported here, since the daemon disables a search before it imports trio.
    import trio

    from rattanlug.caller import caller_stream
    from rattanlug.daemon import clock
    from rattanlug.errors import error as error_module
    from rattanlug.errors import kind
    from rattanlug.gateway import sender

    initialise = caller_stream.CallerStream.__init__
    send = sender.Sender.send
    watching: list[bool] = []

    def remember(stream: Any, *arguments: Any) -> None:
        initialise(stream, *arguments)
        _STREAM.set(stream)

    async def watch() -> None:
        while True:
            await trio.sleep(_POLL_SECONDS)
            for claims, name, check in _WATCHES:
                if claims.is_due(name):
                    check(clock.now())

    async def send_watched(self: Any, admitted: Any, chosen: Any) -> Any:
        if not watching:
            watching.append(True)
            trio.lowlevel.spawn_system_task(watch)
        early_at = admitted.time_up_at - EARLY_SECONDS
        with trio.CancelScope() as scope, contextlib.ExitStack() as stack:
            sending = _Sending(clock.now(), early_at, self._node, scope, _STREAM.get())
            _SENDING[id(scope)] = sending
            stack.callback(_SENDING.pop, id(scope))
            return await send(self, admitted, chosen)
        raise error_module.UpstreamError(
            kind.ErrorKind.DEADLINE_EXCEEDED, "an error on purpose"
        )

    caller_stream.CallerStream.__init__ = remember
    sender.Sender.send = send_watched


def main() -> None:
    """Prepare all errors and run the daemon."""
    from rattanlug.commands import import_patches

    claims = Claims(pathlib.Path(sys.argv.pop()))
    import_patches.disable_find_library()
    for prepare in ERRORS.values():
        prepare(claims)
    runpy.run_module("rattanlug.gateway", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
