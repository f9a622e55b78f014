"""Which objects an upstream is likely to have warm."""

import collections

# Objects that an upstream is taken to keep warm; the number is not published.
KEPT_OBJECTS = 32


class ObjectMemory:
    """The objects most recently sent to one upstream by this VM.

    Parameters
    ----------
    kept : int
        Objects that the upstream is taken to keep.
    """

    def __init__(self, kept: int = KEPT_OBJECTS) -> None:
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

    def holds(self, object_id: str) -> bool:
        """Tell whether the upstream handled an object recently."""
        return object_id in self._objects

    def clear(self) -> None:
        """Forget all objects, for instance since the upstream is cold again."""
        self._objects.clear()
