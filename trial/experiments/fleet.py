"""Discrete-event model of a fleet: requests, slots, loans, answers."""

import heapq
import itertools
import random

from rattanlug.routing import load_report, policy, upstream_state
from trial.experiments import arrival, deployment, outcome, upstream_model, vm

LINK_BYTES_PER_SECOND = 4e9 / 8
REPORT_SECONDS = 1.0
SIGN = upstream_state.LeavingSource


class Request:
    """One request on its way."""

    def __init__(self, item: arrival.Arrival, pool: deployment.Pool):
        self.item = item
        self.pool = pool
        self.attempts = 0
        self.deadline = item.moment + pool.deadline
        self.over = False


class Fleet:
    """All VMs and upstreams of one run.

    Parameters
    ----------
    where : deployment.Deployment
    policy_name : str
        ``ideal`` chooses with perfect, instant knowledge among all free slots.
    seed : int
    duration : float
        Seconds.
    health : bool
        False leaves failing upstreams in the choice.
    retry_limit : bool
        False allows one retry to every failed idempotent request.
    """

    def __init__(
        self, where, policy_name, seed, duration, *, health=True, retry_limit=True
    ):
        rng = random.Random(seed)
        self.where = where
        self.now = 0.0
        self.duration = duration
        self.result = outcome.Outcome(warm_up=5.0)
        self.lying: dict[str, str] = {}
        self._ideal = policy_name == "ideal"
        self._avoid_suspects = policy_name == policy.DEFAULT
        self._health = health
        self._retry_limit = retry_limit
        self._events = []
        self._numbers = itertools.count()
        centres = len(where.vms)
        self.pools = []
        for pool in where.pools:
            self.pools.append(
                [
                    upstream_model.UpstreamModel(
                        f"{pool.service}-{n}",
                        pool.slots,
                        n % centres,
                        pool.work,
                        rng,
                        duration,
                    )
                    for n in range(pool.upstreams)
                ]
            )
        self.upstreams = {item.name: item for pool in self.pools for item in pool}
        seats = [c for c in range(centres) for _ in range(where.vms[c])]
        owned = [{} for _ in seats]
        for item in self.upstreams.values():
            own_seats = [n for n, c in enumerate(seats) if c == item.data_centre]
            first = rng.randrange(len(own_seats))
            for number in range(item.slots):
                seat = own_seats[(number + first) % len(own_seats)]
                owned[seat].setdefault(item.name, []).append(number)
        self.vms = []
        for n, centre in enumerate(seats):
            both = 2 * sum(where.vms) / len(where.regions)
            rates = {
                str(r): 0.9 * LINK_BYTES_PER_SECOND / both
                for r in range(len(where.regions))
                if r != self.region(centre)
            }
            chosen = "round_robin" if self._ideal else policy_name
            self.vms.append(
                vm.Vm(f"vm{n}", centre, owned[n], chosen, rates, random.Random(seed))
            )
        self._by_name = {each.name: each for each in self.vms}
        self._near = [
            [[u for u in pool if u.data_centre == c] for pool in self.pools]
            for c in range(centres)
        ]

    def region(self, centre: int) -> int:
        """Return the region of a data centre; each region has two."""
        return centre // 2

    def at(self, moment, action, *arguments):
        """Run an action later."""
        entry = (moment, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, arrivals) -> outcome.Outcome:
        """Run all arrivals to their end."""
        for item in arrivals:
            self.at(item.moment, self._arrive, item)
        for n, each in enumerate(self.vms):
            self.at(n * 0.07, self._poll_reports, each)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.result

    def _distance(self, centre: int, other: int) -> float:
        if centre == other:
            return 0.0003
        if self.region(centre) == self.region(other):
            return self.where.between_data_centres
        return self.where.between_regions

    def _poll_reports(self, each):
        if not each.alive or self.now > self.duration:
            return
        for item in self.upstreams.values():
            if item.data_centre != each.data_centre:
                continue
            lie = self.lying.get(item.name)
            if lie == "stopped":
                continue
            report = load_report.LoadReport(
                0 if lie == "idle" else item.in_flight,
                item.slots,
                item.draining_since is not None,
                "v1",
            )
            each.state(item.name, self.now).receive_report(report, self.now)
        self.at(self.now + REPORT_SECONDS, self._poll_reports, each)

    def _arrive(self, item):
        alive = [each for each in self.vms if each.alive]
        each = alive[int(item.place * len(alive))]
        request = Request(item, self.where.pools[item.pool])
        each.retries.count_request(self.now)
        busy = sum(u.in_flight for u in self.pools[item.pool])
        slots = sum(u.slots for u in self.pools[item.pool])
        if self.now > self.result.warm_up:
            self.result.busy_peak = max(self.result.busy_peak, busy / slots)
        queue = each.queues.get(item.pool)
        if (queue and len(queue)) or not self._start(each, request):
            self._wait(each, request)

    def _wait(self, each, request):
        pool = request.item.pool
        if pool not in each.queues:
            each.queues[pool] = vm.fair_queue.FairQueue()
        organisation = request.item.organisation
        weight = deployment.ORGANISATION_SHARES[organisation]
        place = each.queues[pool].put(
            str(organisation), weight, self.now, request.deadline
        )
        if place is None:
            self._end(request, "refused")
            return
        each.waiting[pool, place.number] = request
        self.at(place.expires_at, self._serve, each, pool)
        self._poll(each, pool)

    def _serve(self, each, pool):
        queue = each.queues.get(pool)
        if queue is None:
            return
        for place in queue.expired(self.now):
            self._end(each.waiting.pop((pool, place.number)), "refused")
        while len(queue):
            slot = self._find(each, pool, self.now + self.where.pools[pool].deadline)
            if slot is None:
                self._poll(each, pool)
                return
            place = queue.take(self.now)
            self._send(each, each.waiting.pop((pool, place.number)), *slot)

    def _poll(self, each, pool):
        if pool not in each.polls:
            each.polls.add(pool)
            self.at(self.now + vm.POLL_SECONDS, self._poll_due, each, pool)

    def _poll_due(self, each, pool):
        each.polls.discard(pool)
        self._serve(each, pool)

    def _start(self, each, request, avoid=None):
        slot = self._find(each, request.item.pool, request.deadline, avoid)
        if slot is None:
            return False
        self._send(each, request, *slot)
        return True

    def _find(self, each, pool, deadline, avoid=None):
        """Return upstream, hold, lender and delay, or None."""
        if self._ideal:
            return self._find_ideal(each, pool)
        if self._avoid_suspects:
            found = self._find_slot(each, pool, deadline, avoid, include_suspects=False)
            if found is not None:
                return found
        return self._find_slot(each, pool, deadline, avoid, include_suspects=True)

    def _find_slot(self, each, pool, deadline, avoid, *, include_suspects):
        options = {
            "include_suspects": include_suspects,
            "exclude_ejected": self._health,
        }
        near = [u for u in self._near[each.data_centre][pool] if u.name != avoid]
        hold = each.ledger.acquire(each.select(near, self.now, **options), self.now)
        if hold is not None:
            return self.upstreams[hold.upstream], hold, None, 0.0
        others = sorted(
            (o for o in self.vms if o.alive and o is not each),
            key=lambda o: (
                self._distance(each.data_centre, o.data_centre),
                (o.name < each.name, o.name),
            ),
        )
        for other in others:
            distance = self._distance(each.data_centre, other.data_centre)
            region = self.region(other.data_centre)
            across = region != self.region(each.data_centre)
            if across and not each.link.allows(str(region), self.now):
                continue
            near = self._near[other.data_centre][pool]
            allowed = [u for u in near if u.name != avoid]
            names = other.select(allowed, self.now, **options)
            loan = other.ledger.lend("s", "v1", names, self.now, deadline)
            if loan is None:
                continue
            hold = each.ledger.acquire_borrowed(loan, self.now, self.now)
            if hold is None:
                other.ledger.reclaim(loan.loan_id, self.now)
                continue
            return self.upstreams[loan.upstream], hold, other, 2 * distance
        return None

    def _find_ideal(self, each, pool):
        best = None
        for item in self.pools[pool]:
            if item.in_flight >= item.slots or item.draining_since is not None:
                continue
            if item.failing or not self._alive_centre(item.data_centre):
                continue
            distance = self._distance(each.data_centre, item.data_centre)
            expected = distance + item.expected(self.now)
            if best is None or expected < best[0]:
                best = (expected, item, distance)
        return None if best is None else (best[1], None, None, best[2])

    def _alive_centre(self, centre):
        return any(o.alive for o in self.vms if o.data_centre == centre)

    def _send(self, each, request, item, hold, lender, delay):
        request.attempts += 1
        item.in_flight += 1
        item.last_start = self.now
        if item.in_flight > item.slots:
            self.result.above_slots += 1
        if item.draining_since is not None and self.now > item.draining_since + 3:
            self.result.work_after_sign += 1
        number = each.state(item.name, self.now).start(self.now)
        charged = None
        if lender is not None:
            region = self.region(lender.data_centre)
            if region != self.region(each.data_centre):
                charged = str(region), each.link.start(str(region), 500, self.now)
        work = item.expected(self.now) * request.item.work
        failed = item.failing
        if failed:
            work = 0.005
        elif item.error_share:
            # The place is uniform; scaled, it gives each attempt its own draw.
            failed = request.item.place * 1e6 * request.attempts % 1 < item.error_share
        end = self.now + delay + work
        use = (each, request, item, hold, lender, number, charged)
        if end <= request.deadline:
            self.at(end, self._finish, use, "failed" if failed else "good")
        else:
            self.at(max(self.now, request.deadline), self._finish, use, "abandoned")

    def _finish(self, use, kind):
        each, request, item, hold, lender, number, charged = use
        item.in_flight -= 1
        if item.draining_since is not None and item.in_flight == 0:
            item.empty_since = self.now
        state = each.state(item.name, self.now)
        state.finish(
            number, self.now, failed=kind == "failed", abandoned=kind == "abandoned"
        )
        if charged is not None:
            size = request.pool.answer_bytes if kind == "good" else 200
            each.link.finish(*charged, size, self.now)
        if not each.alive or not self._alive_centre(item.data_centre):
            self._end(request, "failed")
            return
        if hold is not None:
            each.ledger.release(hold, self.now, answered=kind != "abandoned")
            self._return_loans(each)
            if kind == "abandoned":
                self.at(self.now + 1.001, self._return_loans, each)
        owner = lender or each
        if kind == "failed" and not request.pool.once and request.attempts < 2:
            allowed = each.retries.try_retry(self.now)
            if allowed or not self._retry_limit:
                self.result.retries += 1
                if self._start(each, request, avoid=item.name):
                    return
        self._end(request, kind)
        self._serve(owner, request.item.pool)

    def _return_loans(self, each):
        for loan in each.ledger.due_returns(self.now):
            lender = self._by_name[loan.loan_id.partition("/")[0]]
            lender.ledger.reclaim(loan.loan_id, self.now)

    def _end(self, request, kind):
        if request.over:
            raise AssertionError("a request ended twice")
        request.over = True
        latency = self.now - request.item.moment + self.where.to_clients
        item = request.item
        self.result.count(item.moment, item.organisation, latency, kind)

    def lose_region(self, region):
        """Stop all VMs and upstreams of a region."""
        for each in self.vms:
            if self.region(each.data_centre) == region:
                each.alive = False
                for request in each.waiting.values():
                    self._end(request, "failed")
                each.waiting.clear()
                each.queues.clear()

    def drain(self, items):
        """Start a planned drain; VMs learn the rule within 1 s, reports say it too."""
        for item in items:
            item.draining_since = self.now
            for n, each in enumerate(self.vms):
                delay = 1.0 * n / len(self.vms)
                self.at(self.now + delay, self._learn_drain, each, item.name)

    def _learn_drain(self, each, name):
        each.state(name, self.now).set_leaving(SIGN.RULE, True, self.now)
