"""Reads the settings at the start of the daemon."""

import logging
import time
import tomllib

from rattanlug.errors import error
from rattanlug.platform import boot_settings
from rattanlug.settings import gateway_settings

# The platform may write the file while the process starts.
MAX_WAIT_SECONDS = 5.0
RETRY_SECONDS = 0.1
_LOG = logging.getLogger(__name__)


def read_when_complete(
    path: str, waits_for_file: bool = False
) -> gateway_settings.GatewaySettings:
    """Read a settings file that may not be written yet.

    Returns as soon as the file is valid. Otherwise blocks for `MAX_WAIT_SECONDS`, but,
    if that is asked for, without limit while the file is incomplete: missing, empty,
    unreadable or cut. A process that ended would be started again, and meet the same.

    Parameters
    ----------
    path : str
    waits_for_file : bool
        Whether the time limit begins when the file is complete.

    Raises
    ------
    error.InvalidInputError
        When the file is still missing or invalid after that time.
    """
    give_up_at = time.monotonic() + MAX_WAIT_SECONDS
    logged = ""
    while True:
        try:
            return boot_settings.read(path)
        except error.InvalidInputError as exc:
            now = time.monotonic()
            if waits_for_file and not _is_complete(path):
                give_up_at = now + MAX_WAIT_SECONDS
            elif now >= give_up_at:
                raise
            if exc.detail != logged:
                logged = exc.detail
                _LOG.warning("waiting for the settings file: %s", exc.detail)
        time.sleep(RETRY_SECONDS)


def _is_complete(path: str) -> bool:
    """Return whether a file can be read and holds TOML with any values."""
    try:
        with open(path, "rb") as file:
            return bool(tomllib.load(file))
    except (OSError, RecursionError, ValueError):
        return False
