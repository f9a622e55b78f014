"""Configurations for tests of the routing package."""

from rattanlug.model import configuration, data_centre, drain, link, upstream

CENTRES = {
    name: data_centre.DataCentre(name, name[0], 2) for name in ("a1", "a2", "b1")
}


def build(drains=()):
    upstreams = {
        f"{centre}-{n}": upstream.Upstream(
            f"{centre}-{n}", "s", f"v{n}", centre, "127.0.0.1", 9000, 3, 30
        )
        for centre in CENTRES
        for n in (1, 2)
    }
    return configuration.Configuration(
        version=1,
        upstreams=upstreams,
        data_centres=CENTRES,
        links=(link.Link("a", "b", 8000.0),),
        drains=tuple(drain.Drain(*item) for item in drains),
    )
