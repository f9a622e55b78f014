"""Identity of an operation, from the caller's ``Idempotency-Key`` header."""

import re
from typing import NamedTuple

from rattanlug.errors import error, kind

MAX_AGE_S = 24 * 3600.0
MAX_FUTURE_S = 300.0
# Records are kept for an hour longer than identities are accepted, so that VMs whose
# wall clocks differ by less than that never accept an identity whose record was
# deleted.
RECORD_LIFETIME_S = MAX_AGE_S + 3600.0

_UUID_V7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class Identity(NamedTuple):
    """A UUIDv7 (RFC 9562, section 5.7).

    Attributes
    ----------
    text : str
        Canonical form in lower case.
    created_at : float
        Time in the UUID, seconds since the epoch.
    """

    text: str
    created_at: float


def parse_identity(text: str | None, wall_now: float) -> Identity:
    """Parse the ``Idempotency-Key`` header and check its age.

    Parameters
    ----------
    text : str or None
        Header value, ``None`` if the header is missing.
    wall_now : float
        Seconds since the epoch.

    Returns
    -------
    Identity

    Raises
    ------
    error.RefusedError
        ``identity_missing`` without a well-formed UUIDv7, ``identity_expired`` if it is
        older than 24 h or more than 5 min in the future.
    """
    canonical = (text or "").strip().strip('"').lower()
    if not _UUID_V7.fullmatch(canonical):
        raise error.RefusedError(
            kind.ErrorKind.IDENTITY_MISSING,
            "the route needs an Idempotency-Key header that holds a UUIDv7",
        )
    created_at = int(canonical.replace("-", "")[:12], 16) / 1000
    age = wall_now - created_at
    if not -MAX_FUTURE_S <= age <= MAX_AGE_S:
        raise error.RefusedError(
            kind.ErrorKind.IDENTITY_EXPIRED,
            "the identity is older than 24 h or more than 5 min in the future",
        )
    return Identity(canonical, created_at)
