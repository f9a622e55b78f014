"""Deployments that a run can have: places, services, routes and bounds."""

from typing import NamedTuple

from trial.shared_platform import boot_file, fleet


class Service(NamedTuple):
    """A service and its upstreams.

    Attributes
    ----------
    name : str
    slots, queue : int
        Requests that an upstream executes at the same time and queues.
    upstreams : tuple of int
        Number of upstreams in each data centre.
    warmup_rate : float
        Requests per second that a cold upstream tolerates.
    warmup_seconds : float
    cached_objects : int
        Objects that an upstream keeps.
    """

    name: str
    slots: int
    queue: int
    upstreams: tuple[int, ...]
    warmup_rate: float = 15.0
    warmup_seconds: float = 3.0
    cached_objects: int = 36


class Route(NamedTuple):
    """A route and the requests that callers send on it.

    Attributes
    ----------
    name, method, kind, service : str
    work_seconds : float
        Mean time for which an upstream executes a request.
    target_seconds, timeout_seconds, deadline_seconds : float
    priority : int
    objects, body_bytes : int
    weight : float
        Share of the requests, relative to the other routes.
    """

    name: str
    method: str
    kind: str
    service: str
    work_seconds: float
    target_seconds: float
    timeout_seconds: float
    deadline_seconds: float
    priority: int
    objects: int
    body_bytes: int
    weight: float


class Site(NamedTuple):
    """A deployment.

    Attributes
    ----------
    data_centres : tuple of (str, str)
        Data centres and their regions.
    bounds, limits : dict
        Bounds and limits of the settings files.
    vms : tuple of int
        Number of VMs in each data centre; empty if a run decides it.
    services : tuple of Service
    routes : tuple of Route
        Empty for the small desired state of the other trials.
    callers : int
    requests_per_second : float
        Of each caller, if responses took no time.
    workers : int
        Processes that play callers, and as many that play upstreams; 0 if the run's own
        process plays them.
    swing : float
        Share by which the rate of callers rises and falls, in waves.
    parted : float
        Share of the requests with a body, and of the responses, that are sent in two
        parts with a pause.
    response_bytes : int
        Length of all responses, if it is larger than that of what they must say.
    spares : int
        VMs that may be added, at most one in each data centre.
    """

    data_centres: tuple[tuple[str, str], ...]
    bounds: dict[str, float]
    limits: dict[str, float] = {}
    vms: tuple[int, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    callers: int = 24
    requests_per_second: float = 5.0
    workers: int = 0
    swing: float = 0.0
    spares: int = 0
    parted: float = 0.0
    response_bytes: int = 0

    def desired_state(
        self,
        version: int,
        organisations: list[dict],
        added_routes: list[str],
        timeout_factor: float = 1.0,
    ) -> dict:
        """Return a desired state; added routes are copies of the first one."""
        if self.routes:
            services = [_service_row(each) for each in self.services]
            paths = [_route_row(each, timeout_factor) for each in self.routes]
            hosts = [{"hostname": fleet.HOST, "paths": paths}]
            changes = {"services": services, "virtual_hosts": hosts}
        else:
            changes = {}
        state = fleet.desired_state(version, tenants=organisations, **changes)
        paths = state["virtual_hosts"][0]["paths"]
        for name in added_routes:
            paths.append({**paths[0], "name": name, "prefix": f"/{name}/"})
        return state


def _service_row(service: Service) -> dict:
    return {
        "name": service.name,
        "health_path": "/healthz",
        "max_conns": 390,
        "warmup_s": service.warmup_seconds,
        "warmup_per_s": service.warmup_rate,
    }


def _route_row(route: Route, timeout_factor: float) -> dict:
    return {
        "name": route.name,
        "prefix": f"/{route.name}/",
        "kind": route.kind,
        "service": route.service,
        "timeout_s": timeout_factor * route.timeout_seconds,
        "target_latency_s": route.target_seconds,
        "priority": route.priority,
        "max_attempts": 3,
        "public": False,
        "session_affinity": True,
        "home_regions": [],
    }


_SMALL = (("north-a", "north"), ("north-b", "north"), ("south-a", "south"))
_SIX = tuple(
    (f"{region}-{letter}", region)
    for letter in "ab"
    for region in ("north", "east", "south")
)
_NINE = (*_SIX, ("north-c", "north"), ("east-c", "east"), ("south-c", "south"))
_VM = {"cpu_share": 0.86, "cores": 1, "memory_mb": 300, "max_fds": 4100}
_SMALL_VM = {"cpu_share": 0.43, "cores": 1, "memory_mb": 200, "max_fds": 4100}


def _routes(
    work: tuple[float, float, float],
    targets: tuple[float, float, float],
    timeouts: tuple[float, float, float],
    deadlines: tuple[float, float, float],
    objects: tuple[int, int, int],
    weights: tuple[float, float, float],
) -> tuple[Route, ...]:
    """Return a safe route and two unsafe ones, the last to the second service."""
    fixed = (
        ("view", "GET", "safe", "service-1", 2, 0),
        ("claim", "POST", "unsafe", "service-1", 1, 1500),
        ("settle", "PUT", "unsafe", "service-2", 0, 300),
    )
    varying = zip(
        fixed, work, targets, timeouts, deadlines, objects, weights, strict=True
    )
    return tuple(
        Route(*names, work, target, timeout, deadline, priority, count, size, weight)
        for (*names, priority, size), work, target, timeout, deadline, count, weight
        in varying
    )  # fmt: skip


def _bounds(**changes: float) -> dict[str, float]:
    return {**boot_file.BOUNDS, **changes}


DEFAULT = Site(_SMALL, _bounds(grace_s=4))
_NOOL_STITCH = Site(
    _SIX,
    _bounds(budget_slack=64),
    _VM,
    (3, 2, 3, 2, 1, 1),
    (
        Service("service-1", 9, 27, (1, 1, 1, 1, 1, 1), 15.0, 3.0, 68),
        Service("service-2", 3, 9, (1, 1, 1, 1, 1, 1), 15.0, 3.0, 36),
    ),
    _routes(
        (0.48, 0.64, 0.336),
        (0.4, 0.5, 0.3),
        (2.0, 2.0, 1.5),
        (2.5, 3.0, 1.5),
        (136, 38, 35),
        (5.7, 1.6, 1.5),
    ),
    callers=150,
    requests_per_second=1.6,
)
# The number of upstreams is that of the platform, scaled to one stand-in process.
SITES = {
    "txiki-swap": Site(
        _SIX,
        _bounds(),
        _VM,
        (2, 2, 2, 2, 1, 1),
        (
            Service("service-1", 5, 15, (2, 1, 2, 2, 1, 2), 7.4, 3.0, 37),
            Service("service-2", 3, 9, (1, 1, 1, 1, 1, 1), 7.4, 3.0, 25),
        ),
        _routes(
            (0.48, 0.64, 0.336),
            (0.4, 0.5, 0.3),
            (1.0, 1.2, 0.8),
            (2.5, 3.0, 1.5),
            (54, 24, 24),
            (6.1, 2.0, 1.7),
        ),
        callers=140,
        requests_per_second=1.4,
    ),
    "nool-stitch": _NOOL_STITCH,
    # Not scaled: 46 upstreams, 416 callers with two connections each, 840 requests a
    # second.
    "nool-stitch-full": _NOOL_STITCH._replace(
        services=(
            Service("service-1", 9, 27, (2, 7, 8, 2, 7, 8), 15.0, 3.0, 68),
            Service("service-2", 3, 9, (1, 2, 3, 1, 2, 3), 15.0, 3.0, 36),
        ),
        callers=832,
        requests_per_second=840 / 832,
        workers=2,
        swing=0.55,
        spares=6,
        parted=0.4,
        response_bytes=1500,
    ),
    "txiki-swap-grown": Site(
        _SIX,
        _bounds(
            budget_slack=168, cold_slack=8, drain_timeout_s=3, config_apply_s=3
        ),
        _SMALL_VM,
        (7, 7, 7, 6, 6, 5),
        (
            Service("service-1", 5, 15, (2, 1, 2, 2, 1, 2), 7.0, 3.0, 49),
            Service("service-2", 4, 12, (1, 1, 1, 1, 1, 1), 7.0, 3.0, 32),
        ),
        _routes(
            (0.52, 0.68, 0.356),
            (0.4, 0.5, 0.3),
            (1.0, 1.5, 1.0),
            (2.5, 3.0, 2.0),
            (311, 102, 102),
            (6.1, 2.0, 1.7),
        ),
        callers=140,
        requests_per_second=1.4,
    ),
    "nool-stitch-grown": Site(
        _NINE,
        _bounds(
            budget_slack=210, cold_slack=8, drain_timeout_s=4, config_apply_s=4
        ),
        _SMALL_VM,
        (5, 4, 4, 4, 4, 5, 4, 5, 5),
        (
            Service("service-1", 9, 27, (1, 3, 4, 1, 3, 4, 1, 3, 4), 4.0, 3.0, 28),
            Service("service-2", 9, 27, (1, 1, 1, 1, 1, 1, 1, 1, 1), 4.0, 3.0, 18),
        ),
        _routes(
            (1.8, 2.36, 1.28),
            (1.2, 1.5, 1.0),
            (5.0, 6.0, 4.0),
            (10.0, 12.0, 6.0),
            (323, 90, 85),
            (5.7, 1.6, 1.5),
        ),
        callers=220,
        requests_per_second=0.8,
    ),
}  # fmt: skip
