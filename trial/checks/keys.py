"""Checks that keys are kept secret and withdrawals are applied."""

from urllib import parse

from trial.checks import evidence, registry


@registry.check("key bytes reached an upstream")
def find_keys_at_upstreams(observed: evidence.Evidence) -> list[str]:
    """Return requests at upstreams that contain a key, plain or percent-encoded."""
    secrets = {name: key.encode() for name, key in observed.keys.items()}
    secrets["operator token"] = observed.operator_token.encode()
    return [
        f"{name} at {upstream}"
        for upstream, data in observed.received()
        for name, secret in secrets.items()
        if secret in data or secret in parse.unquote_to_bytes(data)
    ]


@registry.check("withdrawn key served after 3 s")
def find_withdrawn_keys_served(observed: evidence.Evidence) -> list[str]:
    """Return attempts with a withdrawn key that succeeded over 3 s after acceptance.

    For a VM without connectivity, the limit is 3 s after the isolation ended and at
    most 10 s after acceptance.
    """
    withdrawn = observed.facts.withdrawn

    def latest_success(name: str, vm: str) -> float:
        accepted = withdrawn[name]
        bound = accepted + 3
        for since, until in sorted(observed.facts.isolated.get(vm, ())):
            if since <= bound < until + 3:
                bound = min(until + 3, accepted + 10)
        return bound

    return [
        f"{name} at {attempt.vm} {attempt.sent - withdrawn[name]:.2f} s after"
        for name, attempt in observed.attempts()
        if name in withdrawn
        and attempt.status == 200
        and attempt.sent > latest_success(name, attempt.vm)
    ]
