"""Guarantees of every run, checked against what callers and upstreams observed."""

import collections
from collections.abc import Callable, Iterable, Mapping

from soak import deployment, history, stalls
from trial.shared_platform import upstream

ExecutionsById = Mapping[str, list[upstream.Execution]]
Guarantee = Callable[[history.History, ExecutionsById], Iterable[str]]

# Statuses that state that the request was not executed and never will be.
NOT_RUN = frozenset({408, 421, 429, 503})
# Time for which a response may still be in transit after the process has exited.
IN_TRANSIT_SECONDS = 0.3
# Minimum share of requests that succeed once all faults have ended.
RECOVERED_SHARE = 0.9
# A few requests may be on their way to an upstream when their callers disconnect.
DISCONNECT_GRACE_SECONDS = 0.5
MAX_LATE_EXECUTIONS = 3
_GUARANTEES: dict[str, Guarantee] = {}


def guarantee(function: Guarantee) -> Guarantee:
    """Register a guarantee under the name of its function."""
    _GUARANTEES[function.__name__] = function
    return function


def broken(
    observations: history.History, executions: ExecutionsById
) -> dict[str, list[str]]:
    """Return the violations of each guarantee that was violated."""
    violations = {
        name: list(check(observations, executions))
        for name, check in _GUARANTEES.items()
    }
    return {name: each for name, each in violations.items() if each}


@guarantee
def once_only_requests_run_once(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that no at-most-once request is executed twice."""
    for request_id, runs in executions.items():
        if runs[0].path.startswith(history.AT_MOST_ONCE) and len(runs) > 1:
            where = [each.upstream for each in runs]
            yield f"{request_id} was executed {len(runs)} times, at {where}"


@guarantee
def not_run_is_true(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that no request answered with a not-executed status was executed."""
    for each in observations.exchanges:
        if (
            each.status in NOT_RUN
            and each.at_most_once
            and executions.get(each.request_id)
        ):
            yield f"{each.request_id} was answered {each.status} and was executed"


@guarantee
def answers_are_the_caller_s_own(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that a successful response is complete and belongs to the request."""
    for each in observations.exchanges:
        if each.status != 200:
            continue
        upstream_name = each.body.split(b" ")[0].decode()
        stamp = f"stamp-{upstream_name}-{each.request_id}"
        body = f"{upstream_name} {each.request_id}".encode()
        if each.body != body.ljust(observations.site.response_bytes):
            yield f"{each.request_id} got the body {each.body!r}"
        elif each.stamp != stamp:
            yield f"{each.request_id} got the stamp {each.stamp!r}"


@guarantee
def keys_stay_here_and_name_the_organisation(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that upstreams receive the organisation of the key, but not the key."""
    key_of = {each.request_id: each.key for each in observations.exchanges}
    for request_id, runs in executions.items():
        key = key_of.get(request_id)
        for each in runs:
            if "key-" in str(each.headers):
                yield f"{request_id}: a key reached {each.upstream}"
            if key is not None and each.organisation != _organisation_of(key):
                yield f"{request_id}: {key} was executed for {each.organisation}"


@guarantee
def withdrawn_keys_stop(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that a withdrawn key is rejected on every VM, disturbed or not."""
    for event in observations.events:
        if event.kind != "key withdrawn":
            continue
        limit = event.at + deployment.REVOKE_SECONDS
        for each in observations.exchanges:
            if each.key == event.subject and each.sent_at > limit:
                if executions.get(each.request_id):
                    late = each.sent_at - event.at
                    yield (
                        f"{each.request_id} ran {late:.2f} s after "
                        f"{each.key} was withdrawn"
                    )


@guarantee
def rates_hold(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check executions in any rate window against an organisation's rate and burst."""
    sent_at = {each.request_id: each.sent_at for each in observations.exchanges}
    for event in observations.events:
        if event.kind != "rate set":
            continue
        name, rate, burst, until = event.subject.split()
        window = deployment.RATE_WINDOW_SECONDS
        limit = (float(rate) * window + float(burst)) * (1 + deployment.RATE_OVERAGE)
        limit += deployment.RATE_SLACK
        # A lower rate applies in full one window after all VMs have activated it.
        begin = event.at + observations.site.bounds["config_apply_s"] + window
        times = sorted(
            each.at
            for request_id, runs in executions.items()
            for each in runs
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


@guarantee
def leaving_upstreams_get_nothing(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that undisturbed VMs send nothing to a leaving upstream.

    Without the time in which the process of the store or of the upstream stalled.
    """
    vm_of = {each.request_id: each.vm for each in observations.exchanges}
    vm_of.update({name: vm for name, (_, vm) in observations.disconnects.items()})
    for event in observations.events:
        if event.kind != "upstream leaving":
            continue
        limit = observations.site.bounds["drain_timeout_s"]
        for request_id, runs in executions.items():
            for each in runs:
                if each.upstream != event.subject or each.at - event.at <= limit:
                    continue
                delay = _delay(observations, event.at, each, history.RUN, each.process)
                if delay <= limit:
                    continue
                since = event.at - deployment.CONTACT_SECONDS
                if observations.undisturbed(vm_of.get(request_id, ""), since, each.at):
                    yield (
                        f"{request_id} ran {each.at - event.at:.2f} s after "
                        "draining began"
                    )


@guarantee
def stops_cut_no_request(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that a stopping VM responds to all requests that it has forwarded."""
    stops = collections.defaultdict(list)
    for event in observations.events:
        if event.kind == "vm stopping":
            name, _, until = event.subject.partition(" ")
            stops[name].append((event.at, float(until)))
    for each in observations.exchanges:
        for begin, end in stops[each.vm]:
            if each.closed_by_vm and begin <= each.ended_at <= end + IN_TRANSIT_SECONDS:
                if executions.get(each.request_id):
                    yield f"{each.request_id} ran but was cut when {each.vm} stopped"


@guarantee
def stops_end_in_time(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that a stopped VM exits with code 0 within the grace period."""
    for event in observations.events:
        if event.kind == "vm stopped" and not event.subject.endswith(" 0"):
            yield f"VM and exit code: {event.subject}"


@guarantee
def accepted_states_are_in_force(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that undisturbed VMs activate a new route in time and keep it."""
    for event in observations.events:
        if event.kind != "route added":
            continue
        limit = event.at + observations.site.bounds["config_apply_s"]
        for each in observations.exchanges:
            if each.path != f"/{event.subject}/x" or each.status != 404:
                continue
            since = event.at - deployment.CONTACT_SECONDS
            if each.sent_at > limit and observations.undisturbed(
                each.vm, since, each.ended_at
            ):
                late = each.sent_at - event.at
                yield f"{each.request_id} got 404 at {each.vm} after {late:.2f} s"


@guarantee
def nothing_runs_for_callers_that_left(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that undisturbed VMs rarely forward requests of disconnected callers.

    Without the time in which the upstream's process stalled. A request isn't judged if
    the way to its upstream was disturbed after the caller had left, which holds it up.
    """
    late = []
    for request_id, (disconnected_at, vm) in observations.disconnects.items():
        since = disconnected_at - deployment.CONTACT_SECONDS
        late += [
            f"{request_id} ran {each.at - disconnected_at:.2f} s after its caller "
            f"disconnected from {vm}"
            for each in executions.get(request_id, ())
            if _delay(observations, disconnected_at, each, each.process)
            > DISCONNECT_GRACE_SECONDS
            and observations.undisturbed(vm, since, each.at)
            and not history.overlap(
                observations.disturbances[each.upstream], disconnected_at, each.at
            )
        ]
    if len(late) > MAX_LATE_EXECUTIONS:
        yield from late


@guarantee
def service_recovers(
    observations: history.History, executions: ExecutionsById
) -> Iterable[str]:
    """Check that nearly all requests succeed once the faults have ended.

    Of an organisation with a rate, as many as it allows; each of these is judged alone.
    """
    begin = next((each.at for each in observations.events if each.kind == "calm"), None)
    if begin is None:
        return
    withdrawn = {
        each.subject for each in observations.events if each.kind == "key withdrawn"
    }
    rates = {}
    for event in observations.events:
        if event.kind == "rate set":
            name, rate, burst, _ = event.subject.split()
            rates[name] = (float(rate), float(burst))
    expected = collections.defaultdict(list)
    for each in observations.exchanges:
        if each.sent_at >= begin and each.key not in withdrawn:
            name = _organisation_of(each.key)
            expected[name if name in rates else ""].append(each)
    if not expected:
        yield "no request was judged"
    for name, requests in expected.items():
        good = sum(each.status == 200 for each in requests)
        owed = float(len(requests))
        if name in rates:
            rate, burst = rates[name]
            seconds = max(each.sent_at for each in requests) - begin
            # Allowances of VMs may be used up at the beginning and unused at the end.
            owed = min(owed, max(0.0, rate * seconds - burst))
        if good < RECOVERED_SHARE * owed:
            statuses = collections.Counter(each.status for each in requests)
            what = f"{good} of {len(requests)} served: {dict(statuses)}"
            yield f"{name}, {owed:.1f} owed: {what}" if name else what


def _delay(
    observations: history.History,
    since: float,
    execution: upstream.Execution,
    *processes: str,
) -> float:
    """Return how long after a moment a request ran, without stalls of processes."""
    stalled = stalls.joined(*(observations.stalls[each] for each in set(processes)))
    until = execution.at
    return until - since - stalls.seconds_within(stalled, since, until)


def _organisation_of(key: str) -> str:
    return f"organisation-{key.split('-')[1]}"
