"""Identities of operations and requests."""

import random
import uuid


def new_identity(wall_now: float, generator: random.Random) -> str:
    """Return a UUIDv7 text.

    Parameters
    ----------
    wall_now : float
        Seconds since the epoch.
    generator : random.Random
    """
    milliseconds = int(wall_now * 1000)
    value = milliseconds << 80 | 7 << 76 | generator.getrandbits(12) << 64
    value |= 0b10 << 62 | generator.getrandbits(62)
    return str(uuid.UUID(int=value))
