"""The two deployments of the design page and their loopback addresses."""

import datetime
import hashlib
from typing import NamedTuple

VM_PORT = 8080
PEER_PORT = 7000
UPSTREAM_PORT = 9000
PLATFORM_PORT = 8000
CONNECT_S = 0.001
RELAY_PORT = 8600
REGION_BITS_PER_S = 4_000_000_000
OPERATOR = "trial"


class ServicePlan(NamedTuple):
    """A service of a deployment.

    Attributes
    ----------
    name : str
    prefix : str
        Prefix of the names of its upstreams.
    upstreams, slots, connections : int
    view, once, open : tuple of (str, str, str)
        Name, method and path of a keyed idempotent route, a keyed route whose requests
        are executed at most once, and an open route.
    """

    name: str
    prefix: str
    upstreams: int
    slots: int
    connections: int
    view: tuple[str, str, str]
    once: tuple[str, str, str]
    open: tuple[str, str, str]


class OrganisationPlan(NamedTuple):
    """An organisation with its rate in requests/s and its burst in requests."""

    name: str
    rate: float
    burst: float


class Deployment(NamedTuple):
    """A deployment.

    Attributes
    ----------
    name : str
    data_centres : tuple of (str, str)
        Data centre and region; the platform is in the first one.
    vms_per_data_centre : int
    near_s, far_s, client_s : float
        Round-trip times between data centres of a region, between regions and to
        clients, seconds.
    services : tuple of ServicePlan
        The first one takes part in the move between versions.
    organisations : tuple of OrganisationPlan
    moving_upstreams : int
        Number of upstreams with version v2 of the first service.
    """

    name: str
    data_centres: tuple[tuple[str, str], ...]
    vms_per_data_centre: int
    near_s: float
    far_s: float
    client_s: float
    services: tuple[ServicePlan, ...]
    organisations: tuple[OrganisationPlan, ...]
    moving_upstreams: int


def _data_centres(*regions: str) -> tuple[tuple[str, str], ...]:
    return tuple((f"{each}-{i}", each) for each in regions for i in (1, 2))


def _organisations(*names: str) -> tuple[OrganisationPlan, ...]:
    """Return two large organisations, a medium one and five small ones."""
    rates = (60, 40, 20, 10, 10, 10, 10, 10)
    pairs = zip(names, rates, strict=True)
    return tuple(OrganisationPlan(name, rate, 2 * rate) for name, rate in pairs)


DEPLOYMENTS = {
    "txiki": Deployment(
        "txiki",
        _data_centres("bizkaia", "gipuzkoa", "navarra"),
        2,
        0.001,
        0.035,
        0.003,
        (
            ServicePlan(
                "listings",
                "l",
                24,
                5,
                360,
                ("view", "GET", "/listings"),
                ("claim", "POST", "/claims"),
                ("browse", "GET", "/public/listings"),
            ),
            ServicePlan(
                "ledger",
                "c",
                12,
                3,
                360,
                ("balance", "GET", "/balances"),
                ("settle", "POST", "/settlements"),
                ("terms", "GET", "/public/terms"),
            ),
        ),
        _organisations(
            "urdina", "gorria", "berdea", "horia", "beltza", "zuria", "morea", "grisa"
        ),
        12,
    ),
    "nool": Deployment(
        "nool",
        _data_centres("colombo", "kandy", "galle"),
        2,
        0.0015,
        0.055,
        0.001,
        (
            ServicePlan(
                "portal",
                "p",
                34,
                9,
                390,
                ("preview", "GET", "/previews"),
                ("order", "POST", "/orders"),
                ("gallery", "GET", "/public/gallery"),
            ),
            ServicePlan(
                "release",
                "r",
                12,
                3,
                390,
                ("download", "GET", "/files"),
                ("approve", "POST", "/approvals"),
                ("formats", "GET", "/public/formats"),
            ),
        ),
        _organisations(
            "araliya", "nelum", "olu", "manel", "ehela", "sapu", "kadupul", "binara"
        ),
        17,
    ),
}


def small(deployment: Deployment) -> Deployment:
    """Reduce to one data centre, its 2 VMs and 3 upstreams a service and version."""
    return deployment._replace(
        data_centres=deployment.data_centres[:1],
        services=tuple(each._replace(upstreams=3) for each in deployment.services),
        moving_upstreams=3,
    )


def one_way_s(plan: Deployment, first: str, second: str) -> float:
    """Return the one-way network delay between two data centres, seconds."""
    regions = dict(plan.data_centres)
    if first == second:
        return 0.0
    if regions[first] == regions[second]:
        return plan.near_s / 2
    return plan.far_s / 2


class VmPlace(NamedTuple):
    """An entry VM and its addresses; the advertised ones lead through a relay."""

    vm: str
    data_centre: str
    host: str
    advertised_host: str


class UpstreamPlace(NamedTuple):
    """An upstream and its addresses; the advertised one leads through a relay."""

    name: str
    service: str
    version: str
    data_centre: str
    slots: int
    connections: int
    host: str
    advertised_host: str


class Places(NamedTuple):
    """The addresses of all processes of a deployment.

    Attributes
    ----------
    octet : int
        Private addresses are 127.<octet>.<data centre>.<number>, advertised ones
        127.<octet + 1>.<data centre>.<number>.
    relayed : bool
        Whether advertised addresses differ from private ones.
    vms, upstreams : tuple
    platform_host, advertised_platform_host : str
    client_hosts : dict
        Source address of clients by data centre.
    relay_hosts : dict
        Control address of the relay by data centre.
    """

    octet: int
    relayed: bool
    vms: tuple[VmPlace, ...]
    upstreams: tuple[UpstreamPlace, ...]
    platform_host: str
    advertised_platform_host: str
    client_hosts: dict[str, str]
    relay_hosts: dict[str, str]


_PLATFORM_NUMBER = 2
_RELAY_NUMBER = 3
_VM_NUMBER = 11
_UPSTREAM_NUMBER = 101
_CLIENT_NUMBER = 200


def assign_places(deployment: Deployment, octet: int, relayed: bool) -> Places:
    """Assign addresses; a service's upstreams go to the data centres round-robin."""

    def private(data_centre_index: int, number: int) -> str:
        return f"127.{octet}.{data_centre_index + 1}.{number}"

    def advertised(data_centre_index: int, number: int) -> str:
        return f"127.{octet + relayed}.{data_centre_index + 1}.{number}"

    names = [name for name, _ in deployment.data_centres]
    vms = [
        VmPlace(
            f"{name}-vm{number + 1}",
            name,
            private(index, _VM_NUMBER + number),
            advertised(index, _VM_NUMBER + number),
        )
        for index, name in enumerate(names)
        for number in range(deployment.vms_per_data_centre)
    ]
    upstreams = []
    assigned = [0] * len(names)
    moving = deployment.services[0]._replace(
        prefix=deployment.services[0].prefix + "2",
        upstreams=deployment.moving_upstreams,
    )
    groups = [*((each, "v1") for each in deployment.services), (moving, "v2")]
    for service, version in groups:
        for number in range(service.upstreams):
            index = number % len(names)
            host_number = _UPSTREAM_NUMBER + assigned[index]
            assigned[index] += 1
            upstreams.append(
                UpstreamPlace(
                    f"{service.prefix}-{number + 1:02d}",
                    service.name,
                    version,
                    names[index],
                    service.slots,
                    service.connections,
                    private(index, host_number),
                    advertised(index, host_number),
                )
            )
    return Places(
        octet,
        relayed,
        tuple(vms),
        tuple(upstreams),
        private(0, _PLATFORM_NUMBER),
        advertised(0, _PLATFORM_NUMBER),
        {name: private(index, _CLIENT_NUMBER) for index, name in enumerate(names)},
        {name: private(index, _RELAY_NUMBER) for index, name in enumerate(names)},
    )


def build_rule_lines(
    deployment: Deployment, places: Places, keys: dict[str, str]
) -> list[str]:
    """Return the rule lines of a deployment.

    Parameters
    ----------
    deployment : Deployment
    places : Places
    keys : dict
        Key by its name ``organisation/name``.
    """
    lines = [
        f"data_centre {name} region={region} vms={deployment.vms_per_data_centre}"
        for name, region in deployment.data_centres
    ]
    regions = sorted({region for _, region in deployment.data_centres})
    lines += [
        f"link {first}/{second} bits_per_second={REGION_BITS_PER_S}"
        for index, first in enumerate(regions)
        for second in regions[index + 1 :]
    ]
    for each in deployment.services:
        lines.append(f"service {each.name} version=v1 deadline=2")
        for (name, method, path), semantics, access in (
            (each.view, "idempotent", "keyed"),
            (each.once, "once", "keyed"),
            (each.open, "idempotent", "open"),
        ):
            lines.append(
                f"route {name} service={each.name} method={method} path={path} "
                f"semantics={semantics} access={access}"
            )
    lines += [
        f"upstream {each.name} service={each.service} version={each.version} "
        f"data_centre={each.data_centre} address={each.advertised_host}:"
        f"{UPSTREAM_PORT} slots={each.slots} connections={each.connections}"
        for each in places.upstreams
    ]
    lines += [
        f"organisation {each.name} rate={each.rate:g} burst={each.burst:g}"
        for each in deployment.organisations
    ]
    lines += [
        f"key {name} digest={hashlib.sha256(key.encode()).hexdigest()}"
        for name, key in keys.items()
    ]
    lines.append("objective */* target=0.99 latency=0.3")
    return [f"{line}  # {OPERATOR}: initial rules" for line in lines]


def build_move_line(
    deployment: Deployment, until: datetime.datetime, cap: float
) -> str:
    """Return the rule line that moves the first service from v1 to v2."""
    service = deployment.services[0].name
    by = until.astimezone(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return (
        f"move {service}-v2 service={service} from=v1 to=v2 by={by} cap={cap:g}"
        f"  # {OPERATOR}: new version"
    )
