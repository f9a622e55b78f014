"""Handlers of messages of other daemons; importing the package registers them."""

from rattanlug.daemon.handlers import (  # noqa: F401
    configuration,
    loans,
    membership,
    moves,
    seats,
)
