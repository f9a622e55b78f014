"""The mix of requests that a trial sends."""

from trial import deployment
from trial.caller import settings

DEADLINE_S = 1.5
_KIND_WEIGHTS = {"view": 0.6, "once": 0.15, "open": 0.25}
_SERVICE_WEIGHTS = (0.7, 0.3)
# The last organisation exceeds its rate by this factor, so that its limit is tested.
_OVERLOAD_FACTOR = 1.5
_MAX_OVERLOAD_SHARE = 0.3
# Share of the first organisation's requests with the key that is withdrawn later.
_OLD_KEY_SHARE = 0.2


def build_settings(
    plan: deployment.Deployment,
    places: deployment.Places,
    keys: dict[str, str],
    *,
    seed: int,
    start: float,
    seconds: float,
    rate: float,
) -> settings.CallerSettings:
    """Return the settings of the caller process."""
    routes = [
        settings.CallerRoute(
            *getattr(service, kind), kind, service_weight * kind_weight
        )
        for service, service_weight in zip(plan.services, _SERVICE_WEIGHTS, strict=True)
        for kind, kind_weight in _KIND_WEIGHTS.items()
    ]
    return settings.CallerSettings(
        seed,
        start,
        seconds,
        rate,
        DEADLINE_S,
        places.client_hosts,
        {each.host: each.advertised_host for each in places.vms},
        _build_keys(plan, keys, rate * (1 - _KIND_WEIGHTS["open"])),
        routes,
        [
            settings.CallerVm(
                each.vm, each.data_centre, each.advertised_host, deployment.VM_PORT
            )
            for each in places.vms
        ],
    )


def _build_keys(
    plan: deployment.Deployment, keys: dict[str, str], keyed_rate: float
) -> list[settings.CallerKey]:
    *others, last = plan.organisations
    shares = {
        last.name: min(_MAX_OVERLOAD_SHARE, _OVERLOAD_FACTOR * last.rate / keyed_rate)
    }
    total = sum(each.rate for each in others)
    for each in others:
        shares[each.name] = (1 - shares[last.name]) * each.rate / total
    caller_keys = []
    for name, key in keys.items():
        organisation = name.partition("/")[0]
        share = shares[organisation]
        if organisation == plan.organisations[0].name:
            share *= _OLD_KEY_SHARE if name.endswith("/old") else 1 - _OLD_KEY_SHARE
        caller_keys.append(settings.CallerKey(name, organisation, key, share))
    return caller_keys
