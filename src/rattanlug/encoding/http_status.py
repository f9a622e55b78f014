"""Statuses of HTTP responses.

The HTTP library passes on statuses up to 999.
"""

# Statuses of the response that ends an exchange.
FINAL = range(200, 600)
SWITCHING_PROTOCOLS = 101
# Statuses after which another response to the same request follows.
INTERIM = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
