"""From a client's address to the VMs that it should use."""

from collections.abc import Iterable, Mapping, Sequence

from rattanlug.lookup import block_table, rank_table, ranking

RESPONSE_VMS = 3


class Resolver:
    """Joins the block table, the sites and the live VMs.

    Parameters
    ----------
    table : block_table.BlockTable
    sites : Mapping
        Data centres by site, nearest first.
    default_data_centres : sequence of str
        For sites that ``sites`` does not name, nearest first.
    count : int
        VMs in each response.
    """

    def __init__(
        self,
        table: block_table.BlockTable,
        sites: Mapping[int, Sequence[str]],
        default_data_centres: Sequence[str],
        count: int = RESPONSE_VMS,
    ):
        self._table = table
        self._count = count
        self._tables: dict[str, rank_table.RankTable] = {}
        self.set_sites(sites, default_data_centres)

    @property
    def table(self) -> block_table.BlockTable:
        """The block table in use."""
        return self._table

    def set_table(self, table: block_table.BlockTable) -> None:
        """Use another block table."""
        self._table = table

    def set_sites(
        self, sites: Mapping[int, Sequence[str]], default_data_centres: Sequence[str]
    ) -> None:
        """Use other data centres for the sites."""
        self._sites = {
            site: [self._rank_table(centre).ranks for centre in centres]
            for site, centres in sites.items()
        }
        self._default = [
            self._rank_table(centre).ranks for centre in default_data_centres
        ]

    def set_vms(self, data_centre: str, vms: Iterable[str]) -> None:
        """Replace the VMs of a data centre that take new callers."""
        self._rank_table(data_centre).set_vms(vms)

    def resolve(self, address: str) -> tuple[str, ...]:
        """Return the VMs for a client, best first.

        Parameters
        ----------
        address : str
            IP address of the client.

        Returns
        -------
        tuple of str
            At most ``count`` VMs: of the nearest data centre that has any, filled up
            from the following ones. Empty if no VM is known.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        start, site = self._table.block_of(address)
        slot = ranking.slot_of(start)
        ranks = self._sites.get(site, self._default)
        ranked = ranks[0][slot]
        if len(ranked) == self._count:
            return ranked
        for following in ranks[1:]:
            ranked += following[slot]
        return ranked[: self._count]

    def _rank_table(self, data_centre):
        if data_centre not in self._tables:
            self._tables[data_centre] = rank_table.RankTable(self._count)
        return self._tables[data_centre]
