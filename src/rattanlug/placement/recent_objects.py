"""Which objects an upstream is likely to have warm."""

import collections

# Objects that are remembered of one upstream.
REMEMBERED_OBJECTS = 64


class RecentObjects:
    """The objects most recently sent to one upstream by this VM.

    Parameters
    ----------
    kept : int
        Objects that the upstream is taken to keep.
    """

    def __init__(self, kept: int = REMEMBERED_OBJECTS) -> None:
        self._kept = kept
        self._objects: collections.OrderedDict[str, None] = collections.OrderedDict()

    @property
    def size(self) -> int:
        """Number of objects that are remembered."""
        return len(self._objects)

    def touch(self, object_id: str) -> None:
        """Note that the upstream handles an object."""
        self._objects[object_id] = None
        self._objects.move_to_end(object_id)
        if len(self._objects) > self._kept:
            self._objects.popitem(last=False)

    def __contains__(self, object_id: str) -> bool:
        return object_id in self._objects

    def holds(self, object_id: str, newest: float) -> bool:
        """Tell whether an object is among the newest ones.

        Parameters
        ----------
        object_id : str
        newest : float
            How many objects the upstream keeps.
        """
        if object_id not in self._objects:
            return False
        if len(self._objects) <= newest:
            return True
        for age, each in enumerate(reversed(self._objects)):
            if age >= newest:
                return False
            if each == object_id:
                return True
        return False

    def clear(self) -> None:
        """Forget all objects, for instance since the upstream is cold again."""
        self._objects.clear()
