"""Resolves look-ups with the block table, the configuration and the members."""

from rattanlug.daemon import active_configuration
from rattanlug.lookup import block_table, resolver
from rattanlug.membership import member, view
from rattanlug.model import configuration

# Site of clients whose block is not in the table; they get the VMs nearest to the VM
# that serves the look-up.
UNKNOWN_SITE = 0


class LookupAccess:
    """Keeps the resolver up to date with configuration and members.

    Site numbers are 1 and up for the data centres in the order of their names; site 0
    is the one of clients whose block is not in the table.

    Parameters
    ----------
    active : active_configuration.ActiveConfiguration
    members : view.MembershipView
    data_centre : str
        Data centre of this VM.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        members: view.MembershipView,
        data_centre: str,
    ) -> None:
        self._active = active
        self._members = members
        self._data_centre = data_centre
        self._resolver = resolver.Resolver(
            block_table.BlockTable(UNKNOWN_SITE), {}, [data_centre]
        )
        self._serving: dict[str, frozenset[str]] = {}

    @property
    def blocks(self) -> int:
        """Number of blocks in the table."""
        return len(self._resolver.table)

    def set_table(self, table: block_table.BlockTable) -> None:
        """Replace the block table."""
        self._resolver.set_table(table)

    def configure(self, current: configuration.Configuration) -> None:
        """Apply the data centres of a new configuration."""
        names = sorted(current.data_centres)
        sites = {
            site: self._by_distance(current, name) for site, name in enumerate(names, 1)
        }
        self._resolver.set_sites(sites, self._by_distance(current, self._data_centre))
        self._serving.clear()

    def advance(self, now: float) -> None:
        """Update the VMs that serve in each data centre."""
        for centre in self._active.configuration.data_centres:
            serving = frozenset(
                record.vm for record in self._members.serving_members(now, centre)
            )
            if self._serving.get(centre) != serving:
                self._serving[centre] = serving
                self._resolver.set_vms(centre, serving)

    def resolve(self, client: str) -> list[member.Member]:
        """Return up to three VMs for a client, best first.

        Raises
        ------
        ValueError
            When ``client`` is no IP address.
        """
        found = (self._members.get(vm) for vm in self._resolver.resolve(client))
        return [record for record in found if record is not None]

    def _by_distance(
        self, current: configuration.Configuration, name: str
    ) -> list[str]:
        own = current.data_centres.get(name)

        def distance(other: str) -> tuple[bool, bool, str]:
            region = current.data_centres[other].region
            return (other != name, own is None or region != own.region, other)

        return sorted(current.data_centres, key=distance)
