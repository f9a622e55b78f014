"""State that a member reports about itself."""

import enum


class MemberState(enum.IntEnum):
    """State of a member, which only increases within one incarnation.

    Of two states for one incarnation, the larger one is kept.
    """

    STARTING = 1
    SERVING = 2
    LEAVING = 3
