"""State that a member reports about itself."""

import enum


class MemberState(enum.IntEnum):
    """Only increases within one incarnation; a merge keeps the larger state."""

    STARTING = 1
    SERVING = 2
    LEAVING = 3
