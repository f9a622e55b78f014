"""Results of offering a configuration version."""

import enum


class OfferResult(enum.Enum):
    """Result of ``ConfigurationState.offer``."""

    APPLIED = "applied"
    #: The version in force is the offered one or newer.
    KNOWN = "known"
    #: The base of the delta is not in force: the full text is needed.
    NEEDS_TEXT = "needs_text"
    #: The content does not match the digest, or the delta is malformed.
    REJECTED = "rejected"
    #: The version in force has the same number but another digest. The head row
    #: prevents this; a count above 0 means that the platform lost a write.
    CONFLICT = "conflict"
