"""Invariants that are checked at run time."""

import enum


class Invariant(enum.Enum):
    """Invariants in the order of section 2 of the design page, one for each row."""

    AT_MOST_ONCE = "at_most_once"
    KEY_FRESHNESS = "key_freshness"
    RATE_AND_BURST = "rate_and_burst"
    BAD_VERSION_SHARE = "bad_version_share"
    LEAVING_UPSTREAM = "leaving_upstream"
    GRACEFUL_SHUTDOWN = "graceful_shutdown"
    SLOT_AND_LINK_CAPACITY = "slot_and_link_capacity"
    SHIFT_CAP = "shift_cap"
    OWN_RESPONSE = "own_response"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    MOVE_TERMINATES = "move_terminates"
