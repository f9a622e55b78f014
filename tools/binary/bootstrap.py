"""Runs rattanlug from the archive that is appended to the executable.

This is ``__main__`` of the archive. Extension modules and shared libraries are loaded
from anonymous memory files, because the dynamic loader needs a file and nothing may be
written to disk.
"""

import _imp
import importlib.machinery
import os
import sys
import zipimport

import _launcher

_LIBRARIES = "native/libraries/"
_MODULES = "native/modules/"


class NativeFinder:
    """Finder and loader of the extension modules in the archive."""

    def __init__(self, archive):
        self._archive = archive
        # Libraries that each extension module of the archive needs.
        self._needs = {}
        text = archive.get_data("native/needs.txt").decode()
        for line in text.splitlines():
            module, *libraries = line.split()
            self._needs[module] = libraries
        self._loaded = set()
        self._count = 0

    def find_spec(self, name, path=None, target=None):
        """Return the specification of an extension module of the archive."""
        if name not in self._needs:
            return None
        return importlib.machinery.ModuleSpec(name, self, origin="memory")

    def create_module(self, spec):
        """Load an extension module with the libraries that it needs."""
        for library in self._needs[spec.name]:
            if library not in self._loaded:
                self._loaded.add(library)
                self._load(_LIBRARIES + library, _launcher.load_library)
        return self._load(
            f"{_MODULES}{spec.name}.so",
            lambda path: _imp.create_dynamic(
                importlib.machinery.ModuleSpec(spec.name, self, origin=path)
            ),
        )

    def exec_module(self, module):
        """Run the second phase of the module's initialisation."""
        _imp.exec_dynamic(module)

    def _load(self, member, load):
        descriptor = os.memfd_create(member.rpartition("/")[2])
        try:
            data = memoryview(self._archive.get_data(member))
            while data:
                data = data[os.write(descriptor, data) :]
            # The dynamic loader identifies libraries by path, and descriptor numbers
            # are reused; the dots make each path unique.
            self._count += 1
            return load(f"/proc/self/fd/{'./' * self._count}{descriptor}")
        finally:
            os.close(descriptor)


if __name__ == "__main__":
    sys.meta_path.insert(0, NativeFinder(zipimport.zipimporter(sys.executable)))
    # Imported here, because it needs extension modules.
    from rattanlug import __main__ as entry

    entry.main()
