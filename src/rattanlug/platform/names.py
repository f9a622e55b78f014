"""Names used by the platform in headers, paths and the store."""

# Headers, in lower case as returned by the HTTP libraries.
REQUEST_ID = b"rattanlug-request-id"
DEADLINE_MS = b"rattanlug-deadline-ms"
EXPECTED_UPSTREAM = b"rattanlug-expect-instance"
UPSTREAM_LOAD = b"rattanlug-backend-load"
NOT_EXECUTED = b"rattanlug-not-executed"
ORGANISATION = b"rattanlug-tenant"
STORE_ERA = b"store-era"
SERVER_STAMP = b"rattanlug-server-stamp"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "token"
AFFINITY_COOKIE = "Rattanlug-Affinity-Key"

# Paths of the gateway's internal listeners.
READY_PATH = "/readyz"
LOOKUP_PATH = "/resolve"

# Tables of the store: written by operators, by upstreams, and by the VMs for operators.
OPERATOR_TABLE = "op"
UPSTREAM_TABLE = "servers"
STATUS_TABLE = "status"

# Keys in those tables.
DESIRED_STATE_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"

# Status of an upstream that did not execute a request meant for another one.
MISDIRECTED_REQUEST_STATUS = 421
# Status codes that tell a caller that its request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Status codes with which upstreams state that they did not execute a request.
REFUSAL_STATUSES = NOT_EXECUTED_STATUSES | {400}
