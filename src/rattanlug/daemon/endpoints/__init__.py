"""The daemon's own HTTP endpoints, one module per path; importing registers them."""

from rattanlug.daemon.endpoints import (  # noqa: F401
    burn,
    health,
    lookup,
    metrics,
    rules,
    status,
)
