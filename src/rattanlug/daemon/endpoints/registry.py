"""Registry of the daemon's own endpoints."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from rattanlug.caller import reply, request
from rattanlug.daemon import node as daemon_node
from rattanlug.errors import error, kind
from rattanlug.keys import scrub

PREFIX = "/.rattanlug/"

Handler = Callable[[daemon_node.Node, request.Request], Awaitable[reply.Reply]]


class Endpoint(NamedTuple):
    """A registered endpoint.

    Attributes
    ----------
    handler : callable
    for_operators : bool
        Whether the request has to carry the operator token.
    """

    handler: Handler
    for_operators: bool


_ENDPOINTS: dict[tuple[str, str], Endpoint] = {}


def register(
    method: str, name: str, for_operators: bool = False
) -> Callable[[Handler], Handler]:
    """Register a coroutine function for a method and a path below the prefix."""

    def decorate(handler: Handler) -> Handler:
        _ENDPOINTS[method, PREFIX + name] = Endpoint(handler, for_operators)
        return handler

    return decorate


async def serve(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Serve a request below the prefix.

    Raises
    ------
    error.RefusedError
        ``route_unknown``, or ``key_unknown`` without the operator token.
    """
    endpoint = _ENDPOINTS.get((incoming.method, incoming.path))
    if endpoint is None:
        raise error.RefusedError(
            kind.ErrorKind.ROUTE_UNKNOWN,
            f"no endpoint for {incoming.method} {incoming.path}",
        )
    if endpoint.for_operators:
        _check_operator(node.settings.operator_token_digest, incoming)
    return await endpoint.handler(node, incoming)


def _check_operator(expected: str, incoming: request.Request) -> None:
    digest = hashlib.sha256(scrub.read_key(incoming.headers).encode()).hexdigest()
    if not expected or not hmac.compare_digest(digest, expected):
        raise error.RefusedError(
            kind.ErrorKind.KEY_UNKNOWN, "the operator token is not known"
        )
