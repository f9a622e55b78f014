"""Guarantees of a site's run: no lost request, no flood, starts and memory."""

import bisect
import collections
import operator
from collections.abc import Iterable, Iterator, Mapping, Sequence

from soak import deployment, guarantees, history, site_faults, site_upstream, stalls
from trial.shared_platform import upstream

_WINDOW_SECONDS = 1.0
# An answer to a question that crosses the close of its connection isn't owed.
_CROSSING_SECONDS = 0.2
# Rounding of times. The ways over the loopback, and stalls of callers, only make what
# they see of a request longer than it was at its VM.
_ROUNDING_SECONDS = 0.001
# A stop is judged until this time after the grace period.
_STOP_SECONDS = 1.0
# A caller sees the end of a killed process within this time.
_KILL_SECONDS = 0.3
_MEMORY_MB = 300
_DENIED = frozenset({401, 403, 404})
# Time within which a request ends after its route's time limit, and the number of
# later ones from which on they are a violation.
_END_SECONDS = 0.5
_FEW_LATE = 8
_arrived_at = operator.attrgetter("at")


@guarantees.guarantee
def every_request_is_answered(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check that no VM that runs, or stops as planned, drops a request.

    Neither a disturbed store nor an earlier disturbance of the VM is an excuse.
    Requests that a VM did not read, and those whose upstream broke off, are not judged,
    unless that sent without end; `unjudged_closes` counts them.
    """
    for each, reason in _closes(observations, executions):
        if not reason:
            taken = each.ended_at - each.sent_at
            where = [run.upstream for run in executions.get(each.request_id, ())]
            stopping = history.overlap(
                observations.stops[each.vm], each.sent_at, each.ended_at
            )
            yield (
                f"{each.request_id} {each.path} sent to {each.vm} at {each.sent_at:.2f}"
                f" ran at {where} and was {'reset' if each.reset else 'closed'} after"
                f" {taken:.2f} s{', during a stop' if stopping else ''}"
            )


def unjudged_closes(
    observations: history.History, executions: guarantees.ExecutionsById
) -> dict[str, int]:
    """Count the requests without an answer that break nothing, by reason."""
    counts: dict[str, int] = {}
    for _, reason in _closes(observations, executions):
        if reason:
            counts[reason] = counts.get(reason, 0) + 1
    return counts


def _closes(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterator[tuple[history.Exchange, str]]:
    """Yield requests without an answer, and why each is excused, if it is."""
    for each in observations.exchanges:
        if not each.closed_by_vm:
            continue
        runs = executions.get(each.request_id, ())
        # What the caller saw late because its own process stalled is no delay of a VM.
        taken = each.ended_at - each.sent_at - each.stalled
        reason = _disturbance(observations, each, bool(runs))
        if reason:
            yield each, reason
        elif _broke_off_excuses(observations, each, runs):
            yield each, "upstream broke off"
        elif runs:
            yield each, ""
        elif taken <= _CROSSING_SECONDS:
            yield each, "crossed the close"
        elif each.reset:
            # A close with unread bytes resets the connection.
            yield each, "reset, not passed on"
        else:
            yield each, ""


def _upstream_broke_off(
    observations: history.History,
    exchange: history.Exchange,
    runs: Sequence[upstream.Execution],
) -> bool:
    broken_off = exchange.request_id in observations.broken_off
    return broken_off or _way_was_disturbed(observations, exchange, runs)


def _broke_off_excuses(
    observations: history.History,
    exchange: history.Exchange,
    runs: Sequence[upstream.Execution],
) -> bool:
    """Return whether a close is excused by an upstream that broke off.

    One that sent without end doesn't excuse it: its VM is still there to answer.
    """
    return (
        exchange.request_id not in observations.sent_endlessly
        and exchange.request_id in observations.broken_off
    ) or _way_was_disturbed(observations, exchange, runs)


def _way_was_disturbed(
    observations: history.History,
    exchange: history.Exchange,
    runs: Sequence[upstream.Execution],
) -> bool:
    return any(
        history.overlap(
            observations.disturbances[run.upstream], run.at, exchange.ended_at
        )
        for run in runs
    )


def _disturbance(
    observations: history.History, closed: history.Exchange, passed_on: bool
) -> str:
    """Return the kind of disturbance of its VM that excuses a close, if any.

    A kill excuses what ended just after it, and a suspension what met it. After a kill,
    until the VM says that it is ready, only requests that were not passed on are
    excused.
    """
    overlapping = [
        each
        for each in observations.disturbances[closed.vm]
        if history.overlap([each], closed.sent_at, closed.ended_at)
    ]
    if not overlapping:
        return ""
    kills = observations.kills[closed.vm]
    latest = closed.ended_at - _KILL_SECONDS - closed.stalled
    if any(closed.sent_at <= at and latest <= at <= closed.ended_at for at in kills):
        return "vm killed under it"
    began_with_kill = any(
        begin <= at <= end for begin, end in overlapping for at in kills
    )
    if began_with_kill:
        return "" if passed_on else "vm starting"
    return "vm suspended"


@guarantees.guarantee
def stops_replace_no_answer(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check that a stopping VM lets upstreams finish and passes their answers on.

    An answer of the VM's own before the request's time is up breaks this, if the
    request ran. A stop is that of the VM: its next process is judged too, whether it is
    ready or not, until a moment after the grace period. VMs that were killed or
    suspended shortly before are not judged, nor are runs without a site, whose
    upstreams don't record what they break off.
    """
    if not observations.site.routes:
        return
    seconds = observations.site.bounds["grace_s"] + _STOP_SECONDS
    stops = collections.defaultdict(list)
    for vm, intervals in observations.stops.items():
        stops[vm] += [[begin, min(end, begin + seconds)] for begin, end in intervals]
    for vm, times in observations.terminations.items():
        stops[vm] += [[at, at + seconds] for at in times]
    for each in observations.exchanges:
        runs = executions.get(each.request_id, ())
        if each.status is None or each.status < 500 or each.stamp or not runs:
            continue
        taken = each.ended_at - each.sent_at
        limit = _time_limit(observations, each)
        since = each.sent_at - deployment.CONTACT_SECONDS
        if (
            taken < limit - _ROUNDING_SECONDS
            and history.overlap(
                stops[each.vm],
                each.sent_at,
                each.ended_at,
            )
            and not history.overlap(
                observations.disturbances[each.vm], since, each.ended_at
            )
            and not _upstream_broke_off(observations, each, runs)
        ):
            where = [run.upstream for run in runs]
            yield (
                f"{each.request_id} {each.path} ran at {where} and was answered "
                f"{each.status} by {each.vm} after {taken:.3f} of {limit:.3f} s"
            )


def _time_limit(observations: history.History, exchange: history.Exchange) -> float:
    """Return how long a request may take, by each state that may be in force then.

    A state is surely in force once its VM has been in touch for the time in which it
    has to apply it.
    """
    routes = {f"/{each.name}/": each for each in observations.site.routes}
    prefix = exchange.path[: exchange.path.find("/", 1) + 1]
    # Added routes are copies of the first one.
    route = routes.get(prefix, observations.site.routes[0])
    apply_seconds = observations.site.bounds["config_apply_s"]
    factors = []
    for state in reversed(observations.states):
        if state.at > exchange.ended_at:
            continue
        factors.append(state.timeout_factor)
        applied_at = apply_seconds + observations.undisturbed_from(
            exchange.vm, state.at, deployment.CONTACT_SECONDS, apply_seconds
        )
        if applied_at <= exchange.sent_at:
            break
    return min(exchange.limit, min(factors, default=1.0) * route.timeout_seconds)


@guarantees.guarantee
def requests_run_at_their_service(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check the service of each upstream that ran a request, disturbed or not."""
    services = {f"/{each.name}/": each.service for each in observations.site.routes}
    for request_id, runs in executions.items():
        for each in runs:
            expected = services.get(each.path[: each.path.find("/", 1) + 1])
            found = observations.services.get(each.upstream)
            if expected and found and found != expected:
                yield f"{request_id} {each.path} ran at {each.upstream} of {found}"


@guarantees.guarantee
def allowed_requests_are_not_denied(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check that no VM answers 401, 403 or 404 to what each desired state allows."""
    withdrawn = {
        each.subject for each in observations.events if each.kind == "key withdrawn"
    }
    routes = tuple(f"/{each.name}/" for each in observations.site.routes)
    for each in observations.exchanges:
        if (
            each.status in _DENIED
            and each.key not in withdrawn
            and each.path.startswith(routes)
        ):
            yield f"{each.request_id} {each.path} got {each.status} from {each.vm}"


@guarantees.guarantee
def requests_end_by_their_time_limit(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check that most requests that reach their route's time limit end soon after it.

    Judged for VMs in touch, if callers still waited then, without the time in which the
    callers' process stalled.
    """
    limits = {f"/{each.name}/": each for each in observations.site.routes}
    reached, late = 0, []
    for each in observations.exchanges:
        route = limits.get(each.path[: each.path.find("/", 1) + 1])
        since = each.sent_at - deployment.CONTACT_SECONDS
        if route is None or not observations.undisturbed(each.vm, since, each.ended_at):
            continue
        taken = each.ended_at - each.sent_at - each.stalled
        reached += taken >= route.timeout_seconds
        if taken > route.timeout_seconds + _END_SECONDS:
            late.append(f"{each.request_id} at {each.vm} took {taken:.2f} s")
    if len(late) >= _FEW_LATE and len(late) > reached / 4:
        yield from late


@guarantees.guarantee
def cold_upstreams_are_not_flooded(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check the arrivals at cold upstreams in any second, from all VMs together.

    Counted are requests that were sent and arrived inside that second, as the rules
    count them; a request whose sending wasn't recorded was sent when it arrived.
    Arrivals before an upstream has reported that it turned cold are not judged; the
    shares that `most_cold_share` returns contain them.
    """
    sent_at = {each.request_id: each.sent_at for each in observations.exchanges}
    bounds = observations.site.bounds
    for name, arrivals in observations.cold_arrivals.items():
        rate = observations.cold_limits[name]
        limit = rate * bounds["cold_over"] + bounds["cold_slack"]
        reported = [each for each in arrivals if each.reported]
        most = _most_in_window(reported, sent_at)
        if len(most) > limit:
            first, last = most[0].at, most[-1].at
            stalled = any(
                begin <= last and end >= first
                for intervals in observations.stalls.values()
                for begin, end in intervals
            )
            yield (
                f"{name} got {len(most)} requests in {last - first:.2f} s, {limit:g} "
                f"allowed, cold for {most[0].cold_for:.2f} s at {first:.2f}"
                f"{', the run stalled' if stalled else ''}"
            )


def most_cold_share(observations: history.History) -> float:
    """Return the most arrivals in any second at a cold upstream, in limits."""
    sent_at = {each.request_id: each.sent_at for each in observations.exchanges}
    bounds = observations.site.bounds
    return max(
        (
            len(_most_in_window(arrivals, sent_at))
            / (
                observations.cold_limits[name] * bounds["cold_over"]
                + bounds["cold_slack"]
            )
            for name, arrivals in observations.cold_arrivals.items()
        ),
        default=0.0,
    )


def _most_in_window(
    arrivals: list[site_upstream.Arrival], sent_at: Mapping[str, float]
) -> list[site_upstream.Arrival]:
    """Return the most requests that were sent and arrived inside one window."""
    most: list[site_upstream.Arrival] = []
    for begin in (sent_at.get(each.request_id, each.at) for each in arrivals):
        first = bisect.bisect_left(arrivals, begin, key=_arrived_at)
        last = bisect.bisect(arrivals, begin + _WINDOW_SECONDS, key=_arrived_at)
        inside = [
            each
            for each in arrivals[first:last]
            if sent_at.get(each.request_id, each.at) >= begin
        ]
        most = max(most, inside, key=len)
    return most


@guarantees.guarantee
def started_vms_get_ready(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check that a VM is ready in time after a start, while the store answers.

    Without the time in which the process of the store stalled.
    """
    for event in observations.events:
        if event.kind != "vm started":
            continue
        vm, taken = event.subject.split()
        until = event.at + site_faults.START_SECONDS
        stalled = stalls.seconds_within(
            observations.stalls[history.RUN], event.at, event.at + float(taken)
        )
        excuses = [
            each
            for name in ("store", history.store_of(vm))
            for each in observations.disturbances[name]
        ]
        if float(taken) - stalled > site_faults.START_SECONDS and not history.overlap(
            excuses, event.at, until
        ):
            yield f"{vm} was ready {taken} s after its start at {event.at:.2f}"


@guarantees.guarantee
def processes_stay_within_their_memory(
    observations: history.History, executions: guarantees.ExecutionsById
) -> Iterable[str]:
    """Check the peak memory of each process, all and private, against its limit."""
    limit = observations.site.limits.get("memory_mb", _MEMORY_MB)
    for name in observations.memory_mb.keys() | observations.private_mb.keys():
        most = observations.memory_mb.get(name, 0.0)
        private = observations.private_mb.get(name, 0.0)
        if max(most, private) > limit:
            yield f"{name} used {most:.0f} MB of {limit}, {private:.0f} of it private"
