"""Response body from which a caller checks that it is complete and its own."""

import hashlib
import json
from typing import Any

_DIGEST_BYTES = 64


def build_body(fields: dict[str, Any], filler_bytes: int) -> bytes:
    """Return a JSON line, filler and the digest of both."""
    head = json.dumps(fields).encode() + b"\n"
    filler = b"".join(b"%08d" % each for each in range(filler_bytes // 8)) + b"\n"
    return head + filler + hashlib.sha256(head + filler).hexdigest().encode()


def check_body(body: bytes) -> dict[str, Any] | None:
    """Return the fields of a body, or None if it is incomplete or damaged."""
    content, digest = body[:-_DIGEST_BYTES], body[-_DIGEST_BYTES:]
    if hashlib.sha256(content).hexdigest().encode() != digest:
        return None
    return json.loads(content.partition(b"\n")[0])
