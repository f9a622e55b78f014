"""Endpoints with which operators read and change the rules."""

from rattanlug.caller import reply, request
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.endpoints import registry
from rattanlug.encoding import json_text
from rattanlug.errors import error, kind
from rattanlug.rules import scanner

_HISTORY_LIMIT = 50


@registry.register("GET", "rules", for_operators=True)
async def read(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with the version in force and its rules."""
    return reply.from_json(
        {"version": node.active.configuration.version, "rules": node.active.text}
    )


@registry.register("POST", "rules", for_operators=True)
async def change(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Store a new version; a conflict response tells what changed and by whom."""
    expected, rules, author = _parse(incoming.body)
    try:
        return reply.from_json(await node.sync.propose(expected, rules, author))
    except error.ConflictError as exc:
        described = await node.sync.describe_conflict(expected)
        described |= {"kind": exc.kind.value, "detail": exc.detail, "ran": "no"}
        return reply.from_json(described, exc.response.status)


@registry.register("GET", "history", for_operators=True)
async def history(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with the newest versions, their authors and times."""
    return reply.from_json({"versions": await node.sync.history(_HISTORY_LIMIT)})


def _parse(body: bytes) -> tuple[int, str, str]:
    try:
        value = json_text.decode(body)
        expected, rules, author = (
            value["expected_version"],
            value["rules"],
            value["author"],
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise _malformed() from exc
    if not (
        type(expected) is int
        and isinstance(rules, str)
        and isinstance(author, str)
        and author
        and not scanner.CONTROL_CHARACTERS.search(author)
    ):
        raise _malformed()
    return expected, rules, author


def _malformed() -> error.RefusedError:
    return error.RefusedError(
        kind.ErrorKind.REQUEST_MALFORMED,
        "the body must be JSON with expected_version (whole number), rules (text) and "
        "author (text without control characters)",
    )
