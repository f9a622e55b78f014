"""Selects the VMs that a look-up response names.

By a look-up, a caller asks which VMs it should send its requests to.
"""

from collections.abc import Iterable, Mapping

from rattanlug.fleet import digest

# Maximum number of VMs in a look-up response.
MAX_ADDRESSES = 64


def choose_vms(
    live: Iterable[digest.Digest],
    data_centre: str,
    region: str,
    region_of: Mapping[str, str],
) -> list[digest.Digest]:
    """Return the VMs nearest to a caller that aren't leaving.

    These are the VMs of the caller's data centre, or, if there is none, of its region,
    or, if there is none, all. While a VM in the caller's data centre is overloaded, the
    VMs of the region that aren't overloaded are added. This balances the load if data
    centres have unequal numbers of VMs and the callers of one exceed its processors.

    Parameters
    ----------
    live : iterable of digest.Digest
        VMs that are alive, including this one.
    data_centre, region : str
        Location of the caller.
    region_of : Mapping of str to str
        Region of each data centre.
    """
    serving = [each for each in live if not each.leaving]
    near = [each for each in serving if each.data_centre == data_centre]
    if any(each.overloaded for each in near):
        near += [
            each
            for each in serving
            if region_of.get(each.data_centre) == region
            and each.data_centre != data_centre
            and not each.overloaded
        ]
    if not near:
        near = [each for each in serving if region_of.get(each.data_centre) == region]
    return (near or serving)[:MAX_ADDRESSES]
