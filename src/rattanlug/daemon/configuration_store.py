"""Reads and writes configuration versions in the platform."""

from typing import NamedTuple

from rattanlug.daemon import stored_version
from rattanlug.errors import error, kind
from rattanlug.table_service import client, write
from rattanlug.table_service import error as platform_error

_TABLE = "configuration"
_HEAD = "head"
_VERSION_PREFIX = "version/"
_VERSION_DIGITS = 12
_WRITE_TIMEOUT_SECONDS = 3.0
# Bounds the row of the first version, whose changes are all of its lines.
_MAX_HISTORY_LINES = 100


class Head(NamedTuple):
    """The newest version in the store.

    Attributes
    ----------
    revision : int
        Revision of the row, 0 when no version was ever stored.
    version : int
    digest : str
    """

    revision: int = 0
    version: int = 0
    digest: str = ""


class ConfigurationStore:
    """Stores each configuration version as a row and an object.

    Parameters
    ----------
    platform : client.PlatformClient
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def read_head(self) -> Head:
        """Return the newest version's number and digest.

        Raises
        ------
        error.PlatformError
        """
        found = await self._platform.get(_TABLE, _HEAD)
        if found is None:
            return Head()
        return Head(found.revision, found.value["version"], found.value["digest"])

    async def read_version(
        self, version: int, digest: str
    ) -> stored_version.StoredVersion:
        """Return one version.

        Raises
        ------
        error.PlatformError
            Also when the object is absent, cannot be decoded or does not match
            ``version`` and ``digest``.
        """
        name = stored_version.object_name(version, digest)
        data = await self._platform.get_object(name)
        if data is None:
            raise platform_error.PlatformError(f"object {name} is absent", False)
        try:
            found = stored_version.StoredVersion.from_bytes(data)
        except ValueError as exc:
            raise platform_error.PlatformError(
                f"object {name} cannot be decoded", False
            ) from exc
        if found.digest != digest or found.version != version:
            raise platform_error.PlatformError(
                f"object {name} does not match its version and digest", False
            )
        return found

    async def append(
        self,
        head: Head,
        candidate: stored_version.StoredVersion,
        changes: list[str],
    ) -> None:
        """Store a version that follows ``head``.

        Parameters
        ----------
        head : Head
        candidate : stored_version.StoredVersion
        changes : list of str
            Lines removed and added, for the history.

        Raises
        ------
        error.ConflictError
            Another version was stored first; the candidate is not in force.
        error.PlatformError
            With ``maybe_applied``; when it is true, the response was lost and the
            version could not be read back.
        """
        await self._platform.put_object(candidate.object_name, candidate.to_bytes())
        value = {"version": candidate.version, "digest": candidate.digest}
        entry = value | {
            "author": candidate.author,
            "time": candidate.at,
            "changes": changes[:_MAX_HISTORY_LINES],
        }
        writes = [
            write.Write(_TABLE, _HEAD, head.revision, value),
            write.Write(_TABLE, _version_key(candidate.version), 0, entry),
        ]
        try:
            await self._platform.commit(writes, timeout=_WRITE_TIMEOUT_SECONDS)
        except platform_error.PlatformError as exc:
            if not exc.maybe_applied:
                raise
            await self._read_back(candidate, exc)

    async def history(self, limit: int) -> list[dict]:
        """Return number, digest, author, time and changes of the newest versions.

        Parameters
        ----------
        limit : int

        Returns
        -------
        list of dict
            Newest first.
        """
        rows = await self._platform.scan(_TABLE, _VERSION_PREFIX)
        rows.sort(key=lambda found: found.key, reverse=True)
        return [found.value for found in rows[:limit]]

    async def _read_back(
        self,
        candidate: stored_version.StoredVersion,
        original_error: platform_error.PlatformError,
    ) -> None:
        """Read the version's row back after the response to its write was lost."""
        found = await self._platform.get(_TABLE, _version_key(candidate.version))
        if found is None:
            raise original_error
        if found.value["digest"] != candidate.digest:
            raise error.ConflictError(
                kind.ErrorKind.VERSION_CONFLICT,
                f"version {candidate.version} was stored by {found.value['author']}",
            )


def _version_key(version: int) -> str:
    return _VERSION_PREFIX + str(version).zfill(_VERSION_DIGITS)
