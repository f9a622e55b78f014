"""Decides whether keys are known well enough to serve keyed routes."""

# The bound is 10 s of real time; clocks may run slow by 0.1% and a decision takes
# a moment to act on.
MAX_EVIDENCE_AGE_S = 9.9


def keyed_routes_allowed(evidence_age: float, majority_contact: bool) -> bool:
    """Return whether keyed routes may be served.

    Parameters
    ----------
    evidence_age : float
        Age of the platform evidence, seconds; infinite without any.
    majority_contact : bool
        Whether the VM is in majority contact.

    Returns
    -------
    bool
    """
    return majority_contact or evidence_age <= MAX_EVIDENCE_AGE_S
