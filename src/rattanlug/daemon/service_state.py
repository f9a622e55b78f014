"""State of a daemon."""

import enum


class ServiceState(enum.Enum):
    """State of a daemon as readiness and health responses report it."""

    STARTING = "starting"
    SERVING = "serving"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"
