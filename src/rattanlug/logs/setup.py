"""Configures logging of the process."""

import logging
import sys

from pythonjsonlogger import json

from rattanlug.logs import non_blocking

LOGGER_NAME = "rattanlug"


def configure(level: str, vm: str, to_standard_output: bool = False) -> logging.Logger:
    """Write log records as JSON lines.

    A second call replaces the previous configuration. Records of libraries are written
    as well, from ``WARNING`` on.

    Parameters
    ----------
    level : str
        Minimum level, such as ``INFO``.
    vm : str
        Name of the VM, included in every line.
    to_standard_output : bool
        Write to standard output without blocking; lines are dropped while its reader is
        too slow. Otherwise, write to standard error.

    Returns
    -------
    logging.Logger
        Logger of rattanlug.
    """
    if to_standard_output:
        handler = non_blocking.NonBlockingHandler(sys.stdout.fileno())
    else:
        handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json.JsonFormatter(
            ["message", "levelname", "name"],
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"vm": vm},
            timestamp="time",
        )
    )
    root = logging.getLogger()
    for each in root.handlers[:]:
        root.removeHandler(each)
        if isinstance(each, non_blocking.NonBlockingHandler):
            each.close()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logger = logging.getLogger(LOGGER_NAME)
    logger.setLevel(level)
    return logger
