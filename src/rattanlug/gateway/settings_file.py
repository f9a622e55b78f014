"""Reads the settings at the start of the daemon."""

import logging
import time

from rattanlug.errors import error
from rattanlug.platform import boot_settings
from rattanlug.settings import gateway_settings

# The platform may write the file while the process starts.
MAX_WAIT_SECONDS = 5.0
RETRY_SECONDS = 0.1
_LOG = logging.getLogger(__name__)


def read_when_complete(path: str) -> gateway_settings.GatewaySettings:
    """Read a settings file that may not be written yet.

    Returns as soon as the file is valid; blocks for `MAX_WAIT_SECONDS` at most.

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
            if time.monotonic() >= give_up_at:
                raise
            if exc.detail != logged:
                logged = exc.detail
                _LOG.warning("waiting for the settings file: %s", exc.detail)
        time.sleep(RETRY_SECONDS)
