"""Discrete-event model of a fleet: requests, slots, loans, responses."""

import heapq
import itertools
import random

from rattanlug.routing import load_report, policy, upstream_state
from trial.experiments import arrival, deployment, outcome, upstream_model, vm

LINK_BYTES_PER_SECOND = 4e9 / 8
REPORT_INTERVAL_S = 1.0
LeavingSource = upstream_state.LeavingSource


class Request:
    """A request, from its arrival to its end."""

    def __init__(self, request_arrival: arrival.Arrival, pool: deployment.Pool):
        self.arrival = request_arrival
        self.pool = pool
        self.attempts = 0
        self.deadline = request_arrival.time + pool.deadline
        self.ended = False


class Fleet:
    """All VMs and upstreams of one run.

    Parameters
    ----------
    plan : deployment.Deployment
    policy_name : str
        ``ideal`` chooses with perfect, instant knowledge among all free slots.
    seed : int
    duration : float
        Seconds.
    use_ejection : bool
        False keeps ejected upstreams selectable.
    use_retry_budget : bool
        False allows one retry of every failed idempotent request.
    """

    def __init__(
        self,
        plan,
        policy_name,
        seed,
        duration,
        *,
        use_ejection=True,
        use_retry_budget=True,
    ):
        rng = random.Random(seed)
        self.plan = plan
        self.now = 0.0
        self.duration = duration
        self.result = outcome.Outcome(warm_up=5.0)
        self.report_faults: dict[str, str] = {}
        self._ideal = policy_name == "ideal"
        self._avoid_suspects = policy_name == policy.DEFAULT
        self._use_ejection = use_ejection
        self._use_retry_budget = use_retry_budget
        self._events = []
        self._numbers = itertools.count()
        data_centres = len(plan.vms)
        self.pools = []
        for pool in plan.pools:
            self.pools.append(
                [
                    upstream_model.UpstreamModel(
                        f"{pool.service}-{n}",
                        pool.slots,
                        n % data_centres,
                        pool.service_time,
                        rng,
                        duration,
                    )
                    for n in range(pool.upstreams)
                ]
            )
        self.upstreams = {
            upstream.name: upstream for pool in self.pools for upstream in pool
        }
        vm_data_centres = [c for c in range(data_centres) for _ in range(plan.vms[c])]
        owned = [{} for _ in vm_data_centres]
        for upstream in self.upstreams.values():
            local_vms = [
                n for n, c in enumerate(vm_data_centres) if c == upstream.data_centre
            ]
            first = rng.randrange(len(local_vms))
            for number in range(upstream.slots):
                vm_index = local_vms[(number + first) % len(local_vms)]
                owned[vm_index].setdefault(upstream.name, []).append(number)
        self.vms = []
        for n, data_centre in enumerate(vm_data_centres):
            vms_of_two_regions = 2 * sum(plan.vms) / len(plan.regions)
            link_rates = {
                str(r): 0.9 * LINK_BYTES_PER_SECOND / vms_of_two_regions
                for r in range(len(plan.regions))
                if r != self.region(data_centre)
            }
            vm_policy = "round_robin" if self._ideal else policy_name
            self.vms.append(
                vm.Vm(
                    f"vm{n}",
                    data_centre,
                    owned[n],
                    vm_policy,
                    link_rates,
                    random.Random(seed),
                )
            )
        self._by_name = {entry_vm.name: entry_vm for entry_vm in self.vms}
        self._local_upstreams = [
            [[u for u in pool if u.data_centre == c] for pool in self.pools]
            for c in range(data_centres)
        ]

    def region(self, data_centre: int) -> int:
        """Return the region of a data centre; each region has two."""
        return data_centre // 2

    def at(self, time, action, *arguments):
        """Schedule an action at a time, seconds."""
        entry = (time, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, arrivals) -> outcome.Outcome:
        """Run until every request has ended."""
        for request_arrival in arrivals:
            self.at(request_arrival.time, self._arrive, request_arrival)
        for n, entry_vm in enumerate(self.vms):
            self.at(n * 0.07, self._poll_reports, entry_vm)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.result

    def _round_trip(self, data_centre: int, other: int) -> float:
        if data_centre == other:
            return 0.0003
        if self.region(data_centre) == self.region(other):
            return self.plan.data_centre_round_trip
        return self.plan.region_round_trip

    def _poll_reports(self, entry_vm):
        if not entry_vm.alive or self.now > self.duration:
            return
        for upstream in self.upstreams.values():
            if upstream.data_centre != entry_vm.data_centre:
                continue
            report_fault = self.report_faults.get(upstream.name)
            if report_fault == "stopped":
                continue
            report = load_report.LoadReport(
                0 if report_fault == "idle" else upstream.in_flight,
                upstream.slots,
                upstream.draining_since is not None,
                "v1",
            )
            entry_vm.state(upstream.name, self.now).receive_report(report, self.now)
        self.at(self.now + REPORT_INTERVAL_S, self._poll_reports, entry_vm)

    def _arrive(self, request_arrival):
        alive = [entry_vm for entry_vm in self.vms if entry_vm.alive]
        entry_vm = alive[int(request_arrival.vm_position * len(alive))]
        request = Request(request_arrival, self.plan.pools[request_arrival.pool])
        entry_vm.retries.count_request(self.now)
        busy = sum(u.in_flight for u in self.pools[request_arrival.pool])
        slots = sum(u.slots for u in self.pools[request_arrival.pool])
        if self.now > self.result.warm_up:
            self.result.busy_peak = max(self.result.busy_peak, busy / slots)
        queue = entry_vm.queues.get(request_arrival.pool)
        if (queue and len(queue)) or not self._try_send(entry_vm, request):
            self._wait(entry_vm, request)

    def _wait(self, entry_vm, request):
        pool = request.arrival.pool
        if pool not in entry_vm.queues:
            entry_vm.queues[pool] = vm.fair_queue.FairQueue()
        organisation = request.arrival.organisation
        weight = deployment.ORGANISATION_SHARES[organisation]
        waiting = entry_vm.queues[pool].put(
            str(organisation), weight, self.now, request.deadline
        )
        if waiting is None:
            self._end_request(request, "refused")
            return
        entry_vm.waiting[pool, waiting.number] = request
        self.at(waiting.expires_at, self._serve_queue, entry_vm, pool)
        self._schedule_poll(entry_vm, pool)

    def _serve_queue(self, entry_vm, pool):
        queue = entry_vm.queues.get(pool)
        if queue is None:
            return
        for waiting in queue.expired(self.now):
            self._end_request(entry_vm.waiting.pop((pool, waiting.number)), "refused")
        while len(queue):
            slot = self._acquire_slot(
                entry_vm, pool, self.now + self.plan.pools[pool].deadline
            )
            if slot is None:
                self._schedule_poll(entry_vm, pool)
                return
            waiting = queue.take(self.now)
            self._send(entry_vm, entry_vm.waiting.pop((pool, waiting.number)), *slot)

    def _schedule_poll(self, entry_vm, pool):
        if pool not in entry_vm.polled_pools:
            entry_vm.polled_pools.add(pool)
            self.at(self.now + vm.POLL_INTERVAL_S, self._poll_due, entry_vm, pool)

    def _poll_due(self, entry_vm, pool):
        entry_vm.polled_pools.discard(pool)
        self._serve_queue(entry_vm, pool)

    def _try_send(self, entry_vm, request, avoid=None):
        slot = self._acquire_slot(
            entry_vm, request.arrival.pool, request.deadline, avoid
        )
        if slot is None:
            return False
        self._send(entry_vm, request, *slot)
        return True

    def _acquire_slot(self, entry_vm, pool, deadline, avoid=None):
        """Return upstream, hold, lender and added delay in seconds, or None."""
        if self._ideal:
            return self._choose_ideal(entry_vm, pool)
        if self._avoid_suspects:
            slot = self._acquire_near_or_borrow(
                entry_vm, pool, deadline, avoid, include_suspects=False
            )
            if slot is not None:
                return slot
        return self._acquire_near_or_borrow(
            entry_vm, pool, deadline, avoid, include_suspects=True
        )

    def _acquire_near_or_borrow(
        self, entry_vm, pool, deadline, avoid, *, include_suspects
    ):
        options = {
            "include_suspects": include_suspects,
            "exclude_ejected": self._use_ejection,
        }
        near = [
            u
            for u in self._local_upstreams[entry_vm.data_centre][pool]
            if u.name != avoid
        ]
        hold = entry_vm.ledger.acquire(
            entry_vm.select(near, self.now, **options), self.now
        )
        if hold is not None:
            return self.upstreams[hold.upstream], hold, None, 0.0
        lenders = sorted(
            (o for o in self.vms if o.alive and o is not entry_vm),
            key=lambda o: (
                self._round_trip(entry_vm.data_centre, o.data_centre),
                (o.name < entry_vm.name, o.name),
            ),
        )
        for lender in lenders:
            round_trip = self._round_trip(entry_vm.data_centre, lender.data_centre)
            region = self.region(lender.data_centre)
            crosses_regions = region != self.region(entry_vm.data_centre)
            if crosses_regions and not entry_vm.link.allows(str(region), self.now):
                continue
            near = self._local_upstreams[lender.data_centre][pool]
            allowed = [u for u in near if u.name != avoid]
            names = lender.select(allowed, self.now, **options)
            loan = lender.ledger.lend("s", "v1", names, self.now, deadline)
            if loan is None:
                continue
            hold = entry_vm.ledger.acquire_borrowed(loan, self.now, self.now)
            if hold is None:
                lender.ledger.reclaim(loan.loan_id, self.now)
                continue
            return self.upstreams[loan.upstream], hold, lender, 2 * round_trip
        return None

    def _choose_ideal(self, entry_vm, pool):
        best = None
        for upstream in self.pools[pool]:
            if (
                upstream.in_flight >= upstream.slots
                or upstream.draining_since is not None
            ):
                continue
            if upstream.failing or not self._has_live_vm(upstream.data_centre):
                continue
            round_trip = self._round_trip(entry_vm.data_centre, upstream.data_centre)
            expected_time = round_trip + upstream.expected_time(self.now)
            if best is None or expected_time < best[0]:
                best = (expected_time, upstream, round_trip)
        return None if best is None else (best[1], None, None, best[2])

    def _has_live_vm(self, data_centre):
        return any(o.alive for o in self.vms if o.data_centre == data_centre)

    def _send(self, entry_vm, request, upstream, hold, lender, delay):
        request.attempts += 1
        upstream.in_flight += 1
        upstream.last_start = self.now
        if upstream.in_flight > upstream.slots:
            self.result.above_slots += 1
        if (
            upstream.draining_since is not None
            and self.now > upstream.draining_since + 3
        ):
            self.result.work_after_sign += 1
        number = entry_vm.state(upstream.name, self.now).start(self.now)
        charged = None
        if lender is not None:
            region = self.region(lender.data_centre)
            if region != self.region(entry_vm.data_centre):
                charged = str(region), entry_vm.link.start(str(region), 500, self.now)
        service_time = (
            upstream.expected_time(self.now) * request.arrival.service_time_factor
        )
        failed = upstream.failing
        if failed:
            service_time = 0.005
        elif upstream.error_share:
            # Derives a separate uniform draw for each attempt from the position.
            failed = (
                request.arrival.vm_position * 1e6 * request.attempts % 1
                < upstream.error_share
            )
        end = self.now + delay + service_time
        attempt = (entry_vm, request, upstream, hold, lender, number, charged)
        if end <= request.deadline:
            self.at(end, self._finish_attempt, attempt, "failed" if failed else "good")
        else:
            self.at(
                max(self.now, request.deadline),
                self._finish_attempt,
                attempt,
                "abandoned",
            )

    def _finish_attempt(self, attempt, kind):
        entry_vm, request, upstream, hold, lender, number, charged = attempt
        upstream.in_flight -= 1
        if upstream.draining_since is not None and upstream.in_flight == 0:
            upstream.empty_since = self.now
        state = entry_vm.state(upstream.name, self.now)
        state.finish(
            number, self.now, failed=kind == "failed", abandoned=kind == "abandoned"
        )
        if charged is not None:
            size = request.pool.response_bytes if kind == "good" else 200
            entry_vm.link.finish(*charged, size, self.now)
        if not entry_vm.alive or not self._has_live_vm(upstream.data_centre):
            self._end_request(request, "failed")
            return
        if hold is not None:
            entry_vm.ledger.release(hold, self.now, answered=kind != "abandoned")
            self._return_loans(entry_vm)
            if kind == "abandoned":
                self.at(self.now + 1.001, self._return_loans, entry_vm)
        owner = lender or entry_vm
        if kind == "failed" and not request.pool.at_most_once and request.attempts < 2:
            allowed = entry_vm.retries.try_retry(self.now)
            if allowed or not self._use_retry_budget:
                self.result.retries += 1
                if self._try_send(entry_vm, request, avoid=upstream.name):
                    return
        self._end_request(request, kind)
        self._serve_queue(owner, request.arrival.pool)

    def _return_loans(self, entry_vm):
        for loan in entry_vm.ledger.due_returns(self.now):
            lender = self._by_name[loan.loan_id.partition("/")[0]]
            lender.ledger.reclaim(loan.loan_id, self.now)

    def _end_request(self, request, kind):
        if request.ended:
            raise AssertionError("a request ended twice")
        request.ended = True
        latency = self.now - request.arrival.time + self.plan.client_round_trip
        request_arrival = request.arrival
        self.result.count(
            request_arrival.time, request_arrival.organisation, latency, kind
        )

    def lose_region(self, region):
        """Stop all VMs of a region; requests at its upstreams fail."""
        for entry_vm in self.vms:
            if self.region(entry_vm.data_centre) == region:
                entry_vm.alive = False
                for request in entry_vm.waiting.values():
                    self._end_request(request, "failed")
                entry_vm.waiting.clear()
                entry_vm.queues.clear()

    def drain(self, upstreams):
        """Start a planned drain, announced by a rule within 1 s and by load reports."""
        for upstream in upstreams:
            upstream.draining_since = self.now
            for n, entry_vm in enumerate(self.vms):
                delay = 1.0 * n / len(self.vms)
                self.at(self.now + delay, self._record_drain, entry_vm, upstream.name)

    def _record_drain(self, entry_vm, name):
        entry_vm.state(name, self.now).set_leaving(LeavingSource.RULE, True, self.now)
