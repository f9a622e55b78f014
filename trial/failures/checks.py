"""Checks that depend on which failures were injected."""

import math
from collections.abc import Callable
from typing import NamedTuple

from trial.caller import settings
from trial.checks import evidence, registry
from trial.failures import facts

Check = Callable[[evidence.Evidence, facts.FailureFacts], list[str]]
CHECKS: dict[str, Check] = {}

# Keyed routes are rejected this long after the last contact with the store or peers.
KEYED_S = 10.0
# Margin around the start and end of a cut, where requests may be queued or retried.
_EDGE_S = 2.0
_MIN_OPEN_SHARE = 0.9
_MAX_BAD_SHARE = 0.01
_MAX_AFTER_ROLLBACK_S = 5.0
_MAX_EXAMPLES = 3


def check(name: str) -> Callable[[Check], Check]:
    """Register a check, which returns one description for each violation."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def run_checks(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> dict[str, registry.Violation]:
    """Run the checks of this module."""
    result = {}
    for name, function in CHECKS.items():
        violations = function(run_evidence, failure_facts)
        result[name] = registry.Violation(len(violations), violations[:_MAX_EXAMPLES])
    return result


def _attempts_inside(run_evidence: evidence.Evidence, cut: facts.Cut):
    inside = {
        each.vm
        for each in run_evidence.places.vms
        if each.data_centre in cut.data_centres
    }
    return [item for item in run_evidence.attempts() if item[1].vm in inside]


def _isolating_cuts(run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts):
    """Return the cuts that isolated a minority of the data centres completely."""
    half = len(run_evidence.plan.data_centres) / 2
    return [
        each
        for each in failure_facts.cuts
        if each.scope == facts.EVERYTHING and len(each.data_centres) < half
    ]


@check("keyed request served 10 s after the cut")
def find_keyed_in_cut(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return keyed requests served 10 s or more after their VM lost all contact."""
    return [
        f"{attempt.request_id} at {attempt.vm} {attempt.sent - cut.began:.2f} s after"
        for cut in _isolating_cuts(run_evidence, failure_facts)
        for key, attempt in _attempts_inside(run_evidence, cut)
        if key
        and attempt.status == 200
        and cut.began + KEYED_S < attempt.sent
        and attempt.ended < cut.ended
    ]


@check("open route stopped during the cut")
def find_open_in_cut(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return cuts during which less than 0.9 of the open requests were served."""
    violations = []
    for cut in _isolating_cuts(run_evidence, failure_facts):
        sent = [
            attempt
            for key, attempt in _attempts_inside(run_evidence, cut)
            if not key
            and cut.began + _EDGE_S < attempt.sent
            and attempt.ended < cut.ended - _EDGE_S
        ]
        served = sum(each.status == 200 for each in sent)
        if served < _MIN_OPEN_SHARE * len(sent) or not sent:
            names = "+".join(cut.data_centres)
            violations.append(f"{names}: {served} of {len(sent)} served")
    return violations


@check("keys stale although in contact")
def find_needless_stale(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return rejections for stale keys while the store or peers were reachable."""
    return [
        f"{attempt.request_id} at {attempt.vm} {attempt.sent - cut.began:.2f} s after"
        for cut in failure_facts.cuts
        if cut.scope != facts.EVERYTHING
        for _, attempt in _attempts_inside(run_evidence, cut)
        if attempt.kind == "keys_stale"
        and cut.began < attempt.sent < cut.ended
        and not any(
            since <= attempt.ended and attempt.sent <= until + 3
            for since, until in run_evidence.facts.isolated.get(attempt.vm, ())
        )
    ]


@check("no answer from a VM that could be reached")
def find_missing_answers(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return requests that a running and reachable VM did not respond to."""
    cut_off = {
        each.vm: [
            (cut.began, cut.ended)
            for cut in failure_facts.cuts
            if cut.scope != facts.PLATFORM and each.data_centre in cut.data_centres
        ]
        for each in run_evidence.places.vms
    }

    def excused(attempt: settings.Attempt) -> bool:
        periods = [
            *run_evidence.facts.isolated.get(attempt.vm, ()),
            *run_evidence.facts.outages.get(attempt.vm, ()),
            *cut_off.get(attempt.vm, ()),
        ]
        # The relays apply and heal a cut one after the other, so its edges are inexact.
        return any(
            attempt.sent <= until + _EDGE_S and attempt.ended >= since - _EDGE_S
            for since, until in periods
        )

    # A caller in the data centre that is cut off may also send to VMs outside of it.
    network_cuts = [each for each in failure_facts.cuts if each.scope != facts.PLATFORM]
    return [
        f"{attempt.request_id} at {attempt.vm}"
        for outcome in run_evidence.report.outcomes
        for attempt in outcome.attempts
        if attempt.kind == "timeout"
        and not excused(attempt)
        and not any(
            each.began - _EDGE_S <= attempt.ended and attempt.sent <= each.ended
            for each in network_cuts
        )
    ]


@check("race without exactly one winner, or a change half applied")
def find_race_faults(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return the faults that were found in races between operators."""
    return failure_facts.race_faults


class _Request(NamedTuple):
    """A request that an upstream of the first service executed."""

    began: float
    path: str
    is_v2: bool
    is_faulty: bool


def _requests_to_moved_service(run_evidence: evidence.Evidence) -> list[_Request]:
    service = run_evidence.plan.services[0].name
    requests = []
    for each in run_evidence.places.upstreams:
        if each.service != service:
            continue
        record = run_evidence.records[each.name]
        faulty = set(record["faulty"])
        requests += [
            _Request(began, path, each.version == "v2", request_id in faulty)
            for began, path, request_id, *_ in record["executions"]
        ]
    return requests


def describe_bad_versions(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return when each bad version failed first and how long it received requests."""
    descriptions = []
    requests = _requests_to_moved_service(run_evidence)
    for bad in failure_facts.bad_versions:
        began = [each.began for each in requests if each.is_faulty]
        if not began:
            descriptions.append(f"{bad.move}: the fault hit no request")
            continue
        v2_starts = [each.began for each in requests if each.is_v2]
        text = (
            f"{bad.move}: {len(began)} requests hit, the first "
            f"{min(began) - bad.accepted:.2f} s after the acceptance, the last "
            f"{max(began) - min(began):.2f} s later"
        )
        if bad.ended is not None:
            text += (
                f"; rolled back {bad.ended - min(began):.2f} s after the first, last "
                f"request {max(v2_starts) - bad.ended:+.2f} s from then"
            )
        descriptions.append(text)
    return descriptions


@check("bad version got more than 1% of a route")
def find_bad_share(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return one entry for each faulty request beyond 1% of a route's requests."""
    violations = []
    requests = _requests_to_moved_service(run_evidence)
    for bad in failure_facts.bad_versions:
        until = bad.ended if bad.ended is not None else float("inf")
        service = run_evidence.plan.services[0]
        for route, _, path in (service.view, service.once, service.open):
            if not path.startswith(bad.path):
                continue
            during = [
                each.is_faulty
                for each in requests
                if each.path.startswith(path + "/")
                and bad.accepted <= each.began <= until
            ]
            allowed = _MAX_BAD_SHARE * len(during)
            text = f"{route}: {sum(during)} of {len(during)}"
            violations += [text] * max(0, math.ceil(sum(during) - allowed - 1e-9))
    return violations


@check("bad version got requests 5 s after it was found")
def find_requests_after_rollback(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return requests to a bad version more than 5 s after its rollback."""
    return [
        f"{each.path} {each.began - bad.ended:.2f} s after"
        for bad in failure_facts.bad_versions
        if bad.ended is not None
        for each in _requests_to_moved_service(run_evidence)
        if each.is_v2 and each.began > bad.ended + _MAX_AFTER_ROLLBACK_S
    ]


@check("bad version was put in force")
def find_completed_bad_moves(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return moves to a bad version that completed."""
    return failure_facts.completed_bad_moves


@check("move without end after its deadline")
def find_unbounded_moves(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return moves that were not in a final state 5 s after their deadline."""
    return failure_facts.unbounded_moves


@check("good version rolled back")
def find_false_rollbacks(
    run_evidence: evidence.Evidence, failure_facts: facts.FailureFacts
) -> list[str]:
    """Return moves to a good version that were rolled back."""
    return failure_facts.false_rollbacks
