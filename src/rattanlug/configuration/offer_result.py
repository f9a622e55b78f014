"""What became of an offered version."""

import enum


class OfferResult(enum.Enum):
    """Result of ``ConfigurationState.offer``."""

    APPLIED = "applied"
    #: The version in force is the offered one or a newer one.
    KNOWN = "known"
    #: The delta starts from a version that is not in force: ask for the full text.
    NEEDS_TEXT = "needs_text"
    #: Content and digest differ, or the delta is malformed.
    REJECTED = "rejected"
    #: The version in force has the same number and another digest. The head row
    #: excludes this; a count above zero means that the platform lost a write.
    CONFLICT = "conflict"
