"""Whether keys are known well enough to serve a request that needs one."""

# Part of the bound that is kept for the way of a request to its upstream, for the
# round trip of the store's confirmation and for timers that fire late.
MARGIN_SHARE = 0.12


def keys_usable(age: float, bound: float) -> bool:
    """Tell whether a key may be accepted on the strength of the state in force.

    Parameters
    ----------
    age : float
        For how long the state may have been outdated, seconds.
    bound : float
        For how long a withdrawn key may work, seconds.
    """
    return age <= bound * (1.0 - MARGIN_SHARE)
