"""Registry of handlers by message type."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

from rattanlug.daemon import node as daemon_node
from rattanlug.peer import sender

Handler = Callable[[daemon_node.Node, Any, sender.Sender], Awaitable[Any]]

_HANDLERS: dict[type, Handler] = {}


def register(message_type: type) -> Callable[[Handler], Handler]:
    """Register a coroutine function for a message type."""

    def decorate(handler: Handler) -> Handler:
        _HANDLERS[message_type] = handler
        return handler

    return decorate


def bind(node: daemon_node.Node) -> dict[type, Callable]:
    """Return the handlers of one daemon by message type."""
    return {
        message_type: functools.partial(handler, node)
        for message_type, handler in _HANDLERS.items()
    }
