"""Checks of keys."""

from urllib import parse

from trial.checks import evidence, registry


@registry.check("key bytes reached an upstream")
def find_keys_at_upstreams(found: evidence.Evidence) -> list[str]:
    """Return requests at upstreams that contain a key, also percent-encoded."""
    secrets = {name: key.encode() for name, key in found.keys.items()}
    secrets["operator token"] = found.operator_token.encode()
    return [
        f"{name} at {upstream}"
        for upstream, data in found.received()
        for name, secret in secrets.items()
        if secret in data or secret in parse.unquote_to_bytes(data)
    ]


@registry.check("withdrawn key served after 3 s")
def find_late_keys(found: evidence.Evidence) -> list[str]:
    """Return attempts with a withdrawn key that succeeded 3 s after acceptance.

    A VM that could reach nobody has until 3 s after that ended, at most 10 s.
    """
    withdrawn = found.facts.withdrawn

    def latest(name: str, vm: str) -> float:
        accepted = withdrawn[name]
        bound = accepted + 3
        for since, until in sorted(found.facts.isolated.get(vm, ())):
            if since <= bound < until + 3:
                bound = min(until + 3, accepted + 10)
        return bound

    return [
        f"{name} at {attempt.vm} {attempt.sent - withdrawn[name]:.2f} s after"
        for name, attempt in found.attempts()
        if name in withdrawn
        and attempt.status == 200
        and attempt.sent > latest(name, attempt.vm)
    ]
