"""Resolves a client's address to the VMs that it should use."""

from collections.abc import Iterable, Mapping, Sequence

from rattanlug.lookup import block_table, rank_table, ranking

RESPONSE_VMS = 3


class Resolver:
    """Combines the block table, the data centres of each site and the live VMs.

    Parameters
    ----------
    table : block_table.BlockTable
    sites : Mapping
        Data centres, nearest first, by site number of the block table.
    default_data_centres : sequence of str
        Data centres for all other sites, nearest first.
    count : int
        Number of VMs in each response.
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
        self._rank_tables: dict[str, rank_table.RankTable] = {}
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
        """Replace the data centres of the sites."""
        self._ranks_by_site = {
            site: [self._rank_table(centre).ranks for centre in centres]
            for site, centres in sites.items()
        }
        self._default_ranks = [
            self._rank_table(centre).ranks for centre in default_data_centres
        ]

    def set_vms(self, data_centre: str, vms: Iterable[str]) -> None:
        """Replace the VMs of a data centre that accept new callers."""
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
            At most ``count`` VMs: those of the nearest data centre that has any, then
            those of the next ones. Empty if no VM is known.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        start, site = self._table.block_of(address)
        slot = ranking.hash_slot(start)
        ranks = self._ranks_by_site.get(site, self._default_ranks)
        ranked = ranks[0][slot]
        if len(ranked) == self._count:
            return ranked
        for next_ranks in ranks[1:]:
            ranked += next_ranks[slot]
        return ranked[: self._count]

    def _rank_table(self, data_centre):
        if data_centre not in self._rank_tables:
            self._rank_tables[data_centre] = rank_table.RankTable(self._count)
        return self._rank_tables[data_centre]
