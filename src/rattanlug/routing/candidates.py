"""Eligible upstreams of a service and version, grouped by distance."""

from rattanlug.model import configuration, drain
from rattanlug.routing import tiers


def candidates(
    current: configuration.Configuration,
    service: str,
    version: str,
    data_centre: str,
    region: str,
) -> tiers.Tiers:
    """Return the upstreams of a service and version by distance.

    Upstreams are excluded if a drain rule names them or their data centre. The result
    depends on the configuration only, so callers may cache it per configuration
    version.

    Parameters
    ----------
    current : configuration.Configuration
    service, version : str
    data_centre, region : str
        Where the VM is.

    Returns
    -------
    tiers.Tiers
    """
    drained = {(rule.target, rule.name) for rule in current.drains}
    near, regional, far = [], [], []
    for item in current.upstreams.values():
        if item.service != service or item.version != version:
            continue
        if (drain.DrainTarget.UPSTREAM, item.name) in drained or (
            drain.DrainTarget.DATA_CENTRE,
            item.data_centre,
        ) in drained:
            continue
        centre = current.data_centres.get(item.data_centre)
        if item.data_centre == data_centre:
            near.append(item)
        elif centre is not None and centre.region == region:
            regional.append(item)
        else:
            far.append(item)
    return tiers.Tiers(tuple(near), tuple(regional), tuple(far))
