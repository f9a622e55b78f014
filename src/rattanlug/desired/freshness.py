"""Decides whether the desired state is fresh enough to accept keys."""

# Part of the limit that is reserved for the delay of a request on its way to the
# upstream, the round trip of the store's confirmation, and late timers.
MARGIN_SHARE = 0.12


def keys_usable(age: float, bound: float) -> bool:
    """Tell whether keys of the desired state in force may be accepted.

    Parameters
    ----------
    age : float
        Time since the state was last known to be up to date, seconds.
    bound : float
        Maximum time for which a withdrawn key may be accepted, seconds.
    """
    return age <= bound * (1.0 - MARGIN_SHARE)
