"""State of a member as it states itself."""

import enum


class MemberState(enum.IntEnum):
    """Rises only, within one incarnation; the larger state wins a merge."""

    STARTING = 1
    SERVING = 2
    LEAVING = 3
