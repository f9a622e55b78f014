"""Names on the wire of the platform."""

# Headers, in lower case as the HTTP libraries give them.
REQUEST_ID = b"rattanlug-request-id"
TIME_LEFT_MS = b"rattanlug-deadline-ms"
EXPECTED_UPSTREAM = b"rattanlug-expect-instance"
UPSTREAM_LOAD = b"rattanlug-backend-load"
NOT_EXECUTED = b"rattanlug-not-executed"
ORGANISATION = b"rattanlug-tenant"
SERVER_STAMP = b"rattanlug-server-stamp"
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token"
OBJECT_COOKIE = "Rattanlug-Affinity-Key"

# Paths of the system's own listeners.
READY_PATH = "/readyz"
LOOKUP_PATH = "/resolve"

# Tables of the store that the operators and the upstreams write.
OPERATOR_TABLE = "op"
UPSTREAM_TABLE = "servers"
STATUS_TABLE = "status"

# Keys in those tables.
DESIRED_STATE_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"

# Statuses by which an upstream states that it did not run a request.
MISDIRECTED = 421
