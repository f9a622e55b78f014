"""What has to hold in every run, judged by what callers and upstreams saw."""

import collections
from collections.abc import Callable, Iterable, Mapping

from soak import deployment, history
from trial.shared_platform import upstream

Runs = Mapping[str, list[upstream.Execution]]
Promise = Callable[[history.History, Runs], Iterable[str]]

# Statuses that say that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# A request that was on its way when something was confirmed, seconds.
ON_THE_WAY_SECONDS = 0.3
# Share of the requests that are answered well when all faults are over.
RECOVERED_SHARE = 0.9
# A few requests may be on their way to an upstream when their callers leave.
LEFT_SECONDS = 0.5
LEFT_ALLOWED = 3
_PROMISES: dict[str, Promise] = {}


def promise(function: Promise) -> Promise:
    """Register a promise under the name of its function."""
    _PROMISES[function.__name__] = function
    return function


def broken(seen: history.History, runs: Runs) -> dict[str, list[str]]:
    """Return what was seen against each promise that was broken."""
    found = {name: list(check(seen, runs)) for name, check in _PROMISES.items()}
    return {name: each for name, each in found.items() if each}


@promise
def once_only_requests_run_once(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that no claim runs twice."""
    for request_id, found in runs.items():
        if found[0].path.startswith("/claim/") and len(found) > 1:
            where = [each.upstream for each in found]
            yield f"{request_id} ran {len(found)} times, at {where}"


@promise
def not_run_is_true(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that what was said not to have run never did."""
    for each in seen.exchanges:
        if each.status in NOT_RUN and each.once_only and runs.get(each.request_id):
            yield f"{each.request_id} was answered {each.status} and ran"


@promise
def answers_are_the_caller_s_own(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that a success is the whole answer to the caller's own request."""
    for each in seen.exchanges:
        if each.status != 200:
            continue
        upstream_name = each.body.split(b" ")[0].decode()
        stamp = f"stamp-{upstream_name}-{each.request_id}"
        if each.body != f"{upstream_name} {each.request_id}".encode():
            yield f"{each.request_id} got the body {each.body!r}"
        elif each.stamp != stamp:
            yield f"{each.request_id} got the stamp {each.stamp!r}"


@promise
def keys_stay_here_and_name_the_organisation(
    seen: history.History, runs: Runs
) -> Iterable[str]:
    """Check that upstreams learn the organisation of the key, and not the key."""
    key_of = {each.request_id: each.key for each in seen.exchanges}
    for request_id, found in runs.items():
        key = key_of.get(request_id)
        for each in found:
            if "key-" in str(each.headers):
                yield f"{request_id}: a key reached {each.upstream}"
            if key is not None and each.organisation != _owner(key):
                yield f"{request_id}: {key} ran for {each.organisation}"


@promise
def withdrawn_keys_stop(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that a withdrawn key stops on every VM, in touch or not."""
    for event in seen.events:
        if event.kind != "key withdrawn":
            continue
        limit = event.at + deployment.REVOKE_SECONDS
        for each in seen.exchanges:
            if each.key == event.subject and each.sent_at > limit:
                if runs.get(each.request_id):
                    late = each.sent_at - event.at
                    yield f"{each.request_id} ran {late:.2f} s after {each.key} went"


@promise
def rates_hold(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check each span of the window against an organisation's rate and burst."""
    sent_at = {each.request_id: each.sent_at for each in seen.exchanges}
    for event in seen.events:
        if event.kind != "rate set":
            continue
        name, rate, burst, until = event.subject.split()
        window = deployment.RATE_WINDOW_SECONDS
        limit = (float(rate) * window + float(burst)) * (1 + deployment.RATE_OVERAGE)
        limit += deployment.RATE_SLACK
        # A lower rate binds one window after it is in force everywhere.
        begin = event.at + deployment.APPLY_SECONDS + window
        times = sorted(
            each.at
            for request_id, found in runs.items()
            for each in found
            if each.organisation == name
            and begin <= sent_at.get(request_id, 0.0)
            and each.at <= float(until)
        )
        first = 0
        for index, at in enumerate(times):
            while at - times[first] > window:
                first += 1
            if index - first + 1 > limit:
                count = index - first + 1
                yield f"{name}: {count} in {window:g} s, {limit:.0f} allowed"
                break


@promise
def leaving_upstreams_get_nothing(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that VMs in touch leave an upstream alone that leaves."""
    vm_of = {each.request_id: each.vm for each in seen.exchanges}
    for event in seen.events:
        if event.kind != "upstream leaving":
            continue
        limit = event.at + deployment.DRAIN_SECONDS
        for request_id, found in runs.items():
            for each in found:
                if each.upstream != event.subject or each.at <= limit:
                    continue
                since = event.at - deployment.CONTACT_SECONDS
                if seen.in_touch(vm_of.get(request_id, ""), since, each.at):
                    yield f"{request_id} ran {each.at - event.at:.2f} s after it left"


@promise
def stops_cut_no_request(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that a VM that is stopped answers what it passed on to an upstream."""
    spans = collections.defaultdict(list)
    for event in seen.events:
        if event.kind == "vm stopping":
            name, _, until = event.subject.partition(" ")
            spans[name].append((event.at, float(until)))
    for each in seen.exchanges:
        for begin, end in spans[each.vm]:
            if each.ended_by_vm and begin <= each.ended_at <= end + ON_THE_WAY_SECONDS:
                if runs.get(each.request_id):
                    yield f"{each.request_id} ran and was cut by the stop of {each.vm}"


@promise
def stops_end_in_time(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that a stopped VM exits with 0 before it would be killed."""
    for event in seen.events:
        if event.kind == "vm stopped" and not event.subject.endswith(" 0"):
            yield f"exit code of {event.subject}"


@promise
def accepted_states_are_in_force(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that VMs in touch know a new route, and never lose it again."""
    for event in seen.events:
        if event.kind != "route added":
            continue
        limit = event.at + deployment.APPLY_SECONDS
        for each in seen.exchanges:
            if each.path != f"/{event.subject}/x" or each.status != 404:
                continue
            since = event.at - deployment.CONTACT_SECONDS
            if each.sent_at > limit and seen.in_touch(each.vm, since, each.ended_at):
                late = each.sent_at - event.at
                yield f"{each.request_id} got 404 at {each.vm} after {late:.2f} s"


@promise
def nothing_runs_for_callers_that_left(
    seen: history.History, runs: Runs
) -> Iterable[str]:
    """Check that VMs in touch send on hardly anything for callers that closed."""
    late = []
    for request_id, (left_at, vm) in seen.left.items():
        since = left_at - deployment.CONTACT_SECONDS
        late += [
            f"{request_id} ran {each.at - left_at:.2f} s after its caller left {vm}"
            for each in runs.get(request_id, ())
            if each.at > left_at + LEFT_SECONDS and seen.in_touch(vm, since, each.at)
        ]
    if len(late) > LEFT_ALLOWED:
        yield from late


@promise
def service_recovers(seen: history.History, runs: Runs) -> Iterable[str]:
    """Check that nearly all is served when the faults are over."""
    begin = next((each.at for each in seen.events if each.kind == "calm"), None)
    if begin is None:
        return
    withdrawn = {each.subject for each in seen.events if each.kind == "key withdrawn"}
    limited = {
        each.subject.split()[0] for each in seen.events if each.kind == "rate set"
    }
    owed = [
        each
        for each in seen.exchanges
        if each.sent_at >= begin
        and each.key not in withdrawn
        and _owner(each.key) not in limited
    ]
    good = sum(each.status == 200 for each in owed)
    if not owed or good < RECOVERED_SHARE * len(owed):
        statuses = collections.Counter(each.status for each in owed)
        yield f"{good} of {len(owed)} served: {dict(statuses)}"


def _owner(key: str) -> str:
    return f"organisation-{key.split('-')[1]}"
