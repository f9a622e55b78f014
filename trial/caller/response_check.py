"""Checks the response to a request."""

import hashlib
import json
from typing import NamedTuple

import httpcore

from trial.upstream import body


class SentRequest(NamedTuple):
    """The properties of a sent request that its response must match.

    Attributes
    ----------
    method, target : str
    content : bytes
    request_ids : set of str
        Identifiers that the response may name: with `identity`, those of all
        attempts, since a recorded response names the attempt that was executed.
    identity : str
    """

    method: str
    target: str
    content: bytes
    request_ids: set[str]
    identity: str


class CheckedResponse(NamedTuple):
    """Status, ``Rattanlug-Ran`` value, error kind and fault of a response."""

    status: int
    ran: str
    kind: str
    fault: str


def check_response(sent: SentRequest, response: httpcore.Response) -> CheckedResponse:
    """Read a response and check that it is complete and belongs to its request."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    ran = headers.get("rattanlug-ran", "")
    if response.status == 200:
        return CheckedResponse(
            200, ran, "", _find_fault(sent, headers, response.content)
        )
    try:
        error = json.loads(response.content)
        kind, stated = str(error["kind"]), str(error["ran"])
    except (LookupError, TypeError, ValueError):
        return CheckedResponse(response.status, ran, f"status_{response.status}", "")
    fault = "" if stated == ran else f"header says {ran!r}, body says {stated!r}"
    return CheckedResponse(response.status, ran, kind, fault)


def _find_fault(sent: SentRequest, headers: dict[str, str], content: bytes) -> str:
    fields = body.check_body(content)
    if fields is None:
        return "body is incomplete or damaged"
    expected = {
        "identity": sent.identity,
        "method": sent.method,
        "target": sent.target,
        "body_digest": hashlib.sha256(sent.content).hexdigest(),
    }
    for name, value in expected.items():
        if fields.get(name) != value:
            return f"{name} is {fields.get(name)!r} and not {value!r}"
    if fields.get("request_id") not in sent.request_ids:
        return f"body is for request {fields.get('request_id')!r}"
    if headers.get("request-id") not in sent.request_ids:
        return f"header names request {headers.get('request-id')!r}"
    return ""
