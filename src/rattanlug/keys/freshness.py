"""Decides whether the key table is fresh enough to serve keyed routes."""

# The limit is 10 s of real time. The margin covers clocks that are up to 0.1% slow and
# the time from a decision to its effect.
MAX_EVIDENCE_AGE_S = 9.9


def keyed_routes_allowed(evidence_age: float, majority_contact: bool) -> bool:
    """Tell whether keyed routes may be served.

    Parameters
    ----------
    evidence_age : float
        Age of the latest known read of the platform's configuration, seconds; infinite
        without a read.
    majority_contact : bool
        Whether the VM has recent information from a majority of the data centres.

    Returns
    -------
    bool
    """
    return majority_contact or evidence_age <= MAX_EVIDENCE_AGE_S
