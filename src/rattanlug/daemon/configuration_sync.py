"""Keeps the configuration of this VM at the newest version."""

from collections.abc import Awaitable, Callable

from rattanlug.configuration import configuration_state, delta, offer_result
from rattanlug.daemon import (
    active_configuration,
    configuration_store,
    stored_version,
)
from rattanlug.errors import error, kind
from rattanlug.logs import state_log
from rattanlug.peer import configuration_messages
from rattanlug.peer.generated import ttypes
from rattanlug.rules import diff, parser

Push = Callable[["ConfigurationSync", int, str], Awaitable[list[str]]]


class ConfigurationSync:
    """Reads, stores and applies configuration versions.

    Parameters
    ----------
    active : active_configuration.ActiveConfiguration
    store : configuration_store.ConfigurationStore
    may_accept : callable
        ``may_accept(now)`` tells whether operators' changes may be accepted.
    push : callable
        ``push(sync, from_version, from_digest)`` sends the version in force to the
        other VMs and returns the names of those that have not acknowledged it.
    is_accepted : callable
        ``is_accepted(version)`` tells whether a majority of data centres applied it.
    clock, wall_clock : callable
        Return the present time in seconds.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        store: configuration_store.ConfigurationStore,
        may_accept: Callable[[float], bool],
        push: Push,
        is_accepted: Callable[[int], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._active = active
        self._store = store
        self._may_accept = may_accept
        self._push = push
        self._is_accepted = is_accepted
        self._clock = clock
        self._wall_clock = wall_clock
        self._current = stored_version.StoredVersion(0, "", 0.0, "")
        self._newest = self._current
        self._offered = self._current
        self._state = configuration_state.ConfigurationState(self._put_in_force)

    @property
    def newest(self) -> stored_version.StoredVersion:
        """The newest version offered: the one in force or being put in force."""
        return self._newest

    @property
    def current(self) -> stored_version.StoredVersion:
        """The version in force with its author and time."""
        return self._current

    async def refresh(self) -> int:
        """Read the head of the store and apply the version that it names.

        Returns
        -------
        int
            Version that the head named.

        Raises
        ------
        error.PlatformError
        """
        head = await self._store.read_head()
        if head.version > self._active.configuration.version:
            self.apply(await self._store.read_version(head.version, head.digest))
        return head.version

    def apply(self, found: stored_version.StoredVersion) -> bool:
        """Put a version in force if it is newer.

        Raises
        ------
        error.InvalidInputError
            When the rules are not valid; the version in force stays.
        """
        content: str | delta.Delta = found.rules
        if found.version == self._state.version + 1 and found.rules.endswith("\n"):
            # Kept as a delta, which peers that are one version behind can apply.
            content = delta.make_delta(
                self._state.text, found.rules, self._state.version
            )
        self._offered = found
        result = self._state.offer(found.version, found.digest, content, self._clock())
        return result is offer_result.OfferResult.APPLIED

    def apply_message(
        self, message: ttypes.ConfigurationData
    ) -> offer_result.OfferResult:
        """Put the version that a peer sent in force if it is newer.

        Raises
        ------
        error.InvalidInputError
            When the rules are not valid; the version in force stays.
        peer_error.MalformedMessageError
            When the text cannot be decompressed.
        """
        self._offered = stored_version.StoredVersion(
            message.version, message.author, message.at, ""
        )
        return configuration_messages.offer_message(self._state, message, self._clock())

    def to_message(
        self, from_version: int = 0, from_digest: str = ""
    ) -> ttypes.ConfigurationData:
        """Return the version in force for a peer, as deltas or as the full text."""
        message = configuration_messages.to_message(
            self._state, from_version, from_digest
        )
        message.author, message.at = self._current.author, self._current.at
        return message

    def _put_in_force(self, version: int, text: str, now: float) -> None:
        previous_version = self._active.configuration.version
        previous = self._newest
        self._newest = self._offered._replace(version=version, rules=text)
        try:
            self._active.apply(text, version, now)
        except error.InvalidInputError:
            self._newest = previous
            raise
        self._current = self._newest
        state_log.log_change(
            "configuration_version",
            previous_version,
            version,
            author=self._current.author,
        )

    async def propose(self, expected_version: int, rules: str, author: str) -> dict:
        """Store an operator's change and put it in force.

        Parameters
        ----------
        expected_version : int
            Version that the operator edited.
        rules : str
        author : str

        Returns
        -------
        dict
            ``version``, ``in_force`` (whether a majority of data centres has applied
            it) and ``missing`` (VMs that have not acknowledged it).

        Raises
        ------
        error.InvalidInputError
            ``rule_invalid``; nothing changes.
        error.RefusedError
            ``no_majority``; nothing changes.
        error.ConflictError
            Another change was stored first; its ``detail`` says by whom.
        error.PlatformError
        """
        parser.parse_rules(rules)
        if not self._may_accept(self._clock()):
            raise error.RefusedError(
                kind.ErrorKind.NO_MAJORITY,
                "this VM is not in contact with a majority of the data centres",
            )
        head = await self._store.read_head()
        if head.version > self._active.configuration.version:
            self.apply(await self._store.read_version(head.version, head.digest))
        if head.version != expected_version:
            raise error.ConflictError(
                kind.ErrorKind.VERSION_CONFLICT,
                f"version {head.version} is in force, not {expected_version}",
            )
        candidate = stored_version.StoredVersion(
            head.version + 1, author, self._wall_clock(), rules
        )
        await self._store.append(head, candidate, _changes(self._active.text, rules))
        base = self._active.configuration.version, self._active.digest
        self.apply(candidate)
        missing = await self._push(self, *base)
        return {
            "version": candidate.version,
            "in_force": self._is_accepted(candidate.version),
            "missing": missing,
        }

    async def describe_conflict(self, expected_version: int) -> dict:
        """Return what changed since a version, and the author of the newest one.

        Returns
        -------
        dict
            ``version``, ``author`` and ``changes`` (lines added and removed).
        """
        try:
            await self.refresh()
            base_text = await self._read_text(expected_version)
        except error.PlatformError:
            base_text = None
        changes: list[str] = []
        if base_text is not None:
            changes = _changes(base_text, self._active.text)
        return {
            "version": self._current.version,
            "author": self._current.author,
            "changes": changes,
        }

    async def history(self, limit: int) -> list[dict]:
        """Return the newest versions, newest first."""
        return await self._store.history(limit)

    async def _read_text(self, version: int) -> str | None:
        if version == 0:
            return ""
        for entry in await self._store.history(limit=1000):
            if entry["version"] == version:
                found = await self._store.read_version(version, entry["digest"])
                return found.rules
        return None


def _changes(old_text: str, new_text: str) -> list[str]:
    found = diff.diff_rules(old_text, new_text)
    return [f"- {line}" for line in found.removed] + [
        f"+ {line}" for line in found.added
    ]
