"""Checks that need to know which failures were injected."""

import math
from collections.abc import Callable
from typing import NamedTuple

from trial.caller import settings
from trial.checks import evidence, registry
from trial.failures import facts

Check = Callable[[evidence.Evidence, facts.FailureFacts], list[str]]
CHECKS: dict[str, Check] = {}

# Keyed routes stop so long after the last contact.
KEYED_S = 10.0
# Open requests this close to the edges of a cut may meet queues and retries.
_EDGE_S = 2.0
_OPEN_SHARE = 0.9
_BAD_SHARE = 0.01
_AFTER_FOUND_S = 5.0
_MAX_EXAMPLES = 3


def check(name: str) -> Callable[[Check], Check]:
    """Register a function that returns one text for each violation."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def run_checks(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> dict[str, registry.Violation]:
    """Run the checks of this module."""
    result = {}
    for name, function in CHECKS.items():
        texts = function(found, seen)
        result[name] = registry.Violation(len(texts), texts[:_MAX_EXAMPLES])
    return result


def _attempts_inside(found: evidence.Evidence, cut: facts.Cut):
    inside = {
        each.vm for each in found.places.vms if each.data_centre in cut.data_centres
    }
    return [item for item in found.attempts() if item[1].vm in inside]


def _isolating(found: evidence.Evidence, seen: facts.FailureFacts):
    """Return cuts from everything by less than half of the data centres."""
    half = len(found.plan.data_centres) / 2
    return [
        each
        for each in seen.cuts
        if each.scope == facts.EVERYTHING and len(each.data_centres) < half
    ]


@check("keyed request served 10 s after the cut")
def find_keyed_in_cut(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return keyed requests that a data centre without any contact served too late."""
    return [
        f"{attempt.request_id} at {attempt.vm} {attempt.sent - cut.began:.2f} s after"
        for cut in _isolating(found, seen)
        for key, attempt in _attempts_inside(found, cut)
        if key
        and attempt.status == 200
        and cut.began + KEYED_S < attempt.sent
        and attempt.ended < cut.ended
    ]


@check("open route stopped during the cut")
def find_open_in_cut(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return cuts during which less than 0.9 of the open requests were served."""
    texts = []
    for cut in _isolating(found, seen):
        sent = [
            attempt
            for key, attempt in _attempts_inside(found, cut)
            if not key
            and cut.began + _EDGE_S < attempt.sent
            and attempt.ended < cut.ended - _EDGE_S
        ]
        served = sum(each.status == 200 for each in sent)
        if served < _OPEN_SHARE * len(sent) or not sent:
            names = "+".join(cut.data_centres)
            texts.append(f"{names}: {served} of {len(sent)} served")
    return texts


@check("keys stale although in contact")
def find_needless_stale(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> list[str]:
    """Return refusals for stale keys where the store or peers could be reached."""
    return [
        f"{attempt.request_id} at {attempt.vm} {attempt.sent - cut.began:.2f} s after"
        for cut in seen.cuts
        if cut.scope != facts.EVERYTHING
        for _, attempt in _attempts_inside(found, cut)
        if attempt.kind == "keys_stale"
        and cut.began < attempt.sent < cut.ended
        and not any(
            since <= attempt.ended and attempt.sent <= until + 3
            for since, until in found.facts.isolated.get(attempt.vm, ())
        )
    ]


@check("no answer from a VM that could be reached")
def find_missing_answers(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> list[str]:
    """Return requests that a VM did not answer although it ran and was reachable."""
    cut_off = {
        each.vm: [
            (cut.began, cut.ended)
            for cut in seen.cuts
            if cut.scope != facts.PLATFORM and each.data_centre in cut.data_centres
        ]
        for each in found.places.vms
    }

    def excused(attempt: settings.Attempt) -> bool:
        periods = [
            *found.facts.isolated.get(attempt.vm, ()),
            *found.facts.outages.get(attempt.vm, ()),
            *cut_off.get(attempt.vm, ()),
        ]
        # A cut is complete in the relays only some time after it began.
        return any(
            attempt.sent <= until + _EDGE_S and attempt.ended >= since - _EDGE_S
            for since, until in periods
        )

    # A caller in the data centre that is cut off may also try VMs outside.
    any_cut = [each for each in seen.cuts if each.scope != facts.PLATFORM]
    return [
        f"{attempt.request_id} at {attempt.vm}"
        for outcome in found.report.outcomes
        for attempt in outcome.attempts
        if attempt.kind == "timeout"
        and not excused(attempt)
        and not any(
            each.began - _EDGE_S <= attempt.ended and attempt.sent <= each.ended
            for each in any_cut
        )
    ]


@check("race without exactly one winner, or a change half applied")
def find_race_faults(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return what was wrong about races of operators."""
    return seen.race_faults


class _Request(NamedTuple):
    """A request that an upstream of the first service ran."""

    began: float
    path: str
    is_v2: bool
    is_faulty: bool


def _moved_requests(found: evidence.Evidence) -> list[_Request]:
    service = found.plan.services[0].name
    requests = []
    for each in found.places.upstreams:
        if each.service != service:
            continue
        record = found.records[each.name]
        faulty = set(record["faulty"])
        requests += [
            _Request(began, path, each.version == "v2", request_id in faulty)
            for began, path, request_id, *_ in record["executions"]
        ]
    return requests


def describe_bad_versions(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> list[str]:
    """Return when each bad version showed its fault and how long it got requests."""
    texts = []
    requests = _moved_requests(found)
    for bad in seen.bad_versions:
        began = [each.began for each in requests if each.is_faulty]
        if not began:
            texts.append(f"{bad.move}: the fault hit no request")
            continue
        own = [each.began for each in requests if each.is_v2]
        text = (
            f"{bad.move}: {len(began)} requests hit, the first "
            f"{min(began) - bad.accepted:.2f} s after the acceptance, the last "
            f"{max(began) - min(began):.2f} s later"
        )
        if bad.found is not None:
            text += (
                f"; rolled back {bad.found - min(began):.2f} s after the first, last "
                f"request {max(own) - bad.found:+.2f} s from then"
            )
        texts.append(text)
    return texts


@check("bad version got more than 1% of a route")
def find_bad_share(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return one entry for each faulty request above 1% of a route's requests."""
    texts = []
    requests = _moved_requests(found)
    for bad in seen.bad_versions:
        until = bad.found if bad.found is not None else float("inf")
        service = found.plan.services[0]
        for route, _, path in (service.view, service.once, service.open):
            if not path.startswith(bad.path):
                continue
            during = [
                each.is_faulty
                for each in requests
                if each.path.startswith(path + "/")
                and bad.accepted <= each.began <= until
            ]
            most = _BAD_SHARE * len(during)
            text = f"{route}: {sum(during)} of {len(during)}"
            texts += [text] * max(0, math.ceil(sum(during) - most - 1e-9))
    return texts


@check("bad version got requests 5 s after it was found")
def find_bad_after(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return requests to a bad version 5 s after its row said so."""
    return [
        f"{each.path} {each.began - bad.found:.2f} s after"
        for bad in seen.bad_versions
        if bad.found is not None
        for each in _moved_requests(found)
        if each.is_v2 and each.began > bad.found + _AFTER_FOUND_S
    ]


@check("bad version was put in force")
def find_bad_done(found: evidence.Evidence, seen: facts.FailureFacts) -> list[str]:
    """Return moves to a bad version that ended as done."""
    return seen.reached_done


@check("move without end after its deadline")
def find_unbounded_moves(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> list[str]:
    """Return moves that were not final 5 s after their deadline."""
    return seen.unbounded_moves


@check("good version rolled back")
def find_false_rollbacks(
    found: evidence.Evidence, seen: facts.FailureFacts
) -> list[str]:
    """Return moves to a good version that were rolled back."""
    return seen.false_rollbacks
