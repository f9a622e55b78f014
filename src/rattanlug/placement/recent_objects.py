"""The objects that an upstream is likely to have cached."""

import collections

# Objects that are tracked per upstream.
MAX_RECENT_OBJECTS = 64


class RecentObjects:
    """LRU set of the objects whose requests this VM sent to one upstream.

    Parameters
    ----------
    capacity : int
        Maximum number of objects.
    """

    def __init__(self, capacity: int = MAX_RECENT_OBJECTS) -> None:
        self._capacity = capacity
        self._objects: collections.OrderedDict[str, None] = collections.OrderedDict()

    @property
    def size(self) -> int:
        """Number of objects in the set."""
        return len(self._objects)

    def touch(self, object_id: str) -> None:
        """Add an object, or mark it as the most recent one."""
        self._objects[object_id] = None
        self._objects.move_to_end(object_id)
        if len(self._objects) > self._capacity:
            self._objects.popitem(last=False)

    def __contains__(self, object_id: str) -> bool:
        return object_id in self._objects

    def is_among_latest(self, object_id: str, cache_size: float) -> bool:
        """Tell whether an object is among the most recent ones.

        Parameters
        ----------
        object_id : str
        cache_size : float
            Estimated number of objects that the upstream caches.
        """
        if object_id not in self._objects:
            return False
        if len(self._objects) <= cache_size:
            return True
        for rank, each in enumerate(reversed(self._objects)):
            if rank >= cache_size:
                return False
            if each == object_id:
                return True
        return False

    def clear(self) -> None:
        """Remove all objects, for instance after a restart of the upstream."""
        self._objects.clear()
