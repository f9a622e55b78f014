"""Judges one answer."""

import hashlib
import json
from typing import NamedTuple

import httpcore

from trial.upstream import body


class Sent(NamedTuple):
    """What was sent, as far as the answer must match it.

    Attributes
    ----------
    method, target : str
    content : bytes
    request_ids : set of str
        Own identifiers that the answer may name: with `identity`, those of all
        attempts, since a recorded answer names the attempt that ran.
    identity : str
    """

    method: str
    target: str
    content: bytes
    request_ids: set[str]
    identity: str


class Judged(NamedTuple):
    """Status, statement about execution, error kind and fault of an answer."""

    status: int
    ran: str
    kind: str
    fault: str


def judge_answer(sent: Sent, response: httpcore.Response) -> Judged:
    """Return what an answer states and whether it is whole and the caller's own."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    ran = headers.get("rattanlug-ran", "")
    if response.status == 200:
        return Judged(200, ran, "", _find_fault(sent, headers, response.content))
    try:
        found = json.loads(response.content)
        kind, stated = str(found["kind"]), str(found["ran"])
    except (LookupError, TypeError, ValueError):
        return Judged(response.status, ran, f"status_{response.status}", "")
    fault = "" if stated == ran else f"header says {ran!r}, body says {stated!r}"
    return Judged(response.status, ran, kind, fault)


def _find_fault(sent: Sent, headers: dict[str, str], content: bytes) -> str:
    fields = body.check_body(content)
    if fields is None:
        return "body is not whole"
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
