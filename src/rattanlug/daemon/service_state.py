"""What a daemon reports about itself."""

import enum


class ServiceState(enum.Enum):
    """State of a daemon as readiness and health answers name it."""

    STARTING = "starting"
    SERVING = "serving"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"
