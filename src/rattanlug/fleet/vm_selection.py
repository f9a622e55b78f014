"""Which VMs a caller is told to use."""

from collections.abc import Iterable, Mapping

from rattanlug.fleet import digest

# Answers name at most this many VMs.
MAX_ADDRESSES = 64


def choose_vms(
    live: Iterable[digest.Digest],
    data_centre: str,
    region: str,
    region_of: Mapping[str, str],
) -> list[digest.Digest]:
    """Return the VMs nearest to a caller.

    Those of the caller's data centre; without one, those of its region; without one,
    all. While one in the data centre is overloaded, those of the region that are not
    take their part. This answers data centres with unequal numbers of VMs whose
    callers ask for more than their processors can do.

    Parameters
    ----------
    live : iterable of digest.Digest
        VMs that are believed to be alive, this one included.
    data_centre : str
        Where the caller is.
    region : str
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
