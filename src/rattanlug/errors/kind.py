"""All kinds of errors."""

import enum


class ErrorKind(enum.Enum):
    """Reasons for which rattanlug rejects or fails a request or an operation.

    The identity of a request is its ``Idempotency-Key`` header. ``CALLER_LEFT`` means
    that the caller disconnected, ``LEAVING`` that the VM is shutting down,
    ``MEMORY_USED_UP`` that other bodies left no memory for a response that fits.
    """

    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEYS_STALE = "keys_stale"
    ORGANISATION_MISMATCH = "organisation_mismatch"
    RATE_LIMITED = "rate_limited"
    NO_CAPACITY = "no_capacity"
    CALLER_LEFT = "caller_left"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    IDENTITY_MISSING = "identity_missing"
    IDENTITY_REUSED = "identity_reused"
    IDENTITY_EXPIRED = "identity_expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    NO_MAJORITY = "no_majority"
    ROUTE_UNKNOWN = "route_unknown"
    REQUEST_MALFORMED = "request_malformed"
    REQUEST_TOO_LARGE = "request_too_large"
    ANSWER_BROKEN = "answer_broken"
    ANSWER_TOO_LARGE = "answer_too_large"
    MEMORY_USED_UP = "memory_used_up"
    UPSTREAM_FAILED = "upstream_failed"
    STARTING = "starting"
    LEAVING = "leaving"
    VERSION_CONFLICT = "version_conflict"
    RULE_INVALID = "rule_invalid"
    SETTINGS_INVALID = "settings_invalid"
