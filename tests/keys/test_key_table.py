"""Guards against accepting a withdrawn key, or a key for a wrong organisation."""

import hashlib

from hypothesis import settings, stateful
from hypothesis import strategies as st

from rattanlug.errors import error, kind
from rattanlug.keys import key_table
from rattanlug.model import configuration, key

_keys = st.sampled_from([f"secret-{index:02}" for index in range(8)])


class KeyTableMachine(stateful.RuleBasedStateMachine):
    """Compares the table with a dictionary of the valid keys."""

    def __init__(self):
        super().__init__()
        self.valid, self.seen = {}, set()
        self.table = key_table.KeyTable(configuration.Configuration())

    def _load(self):
        entries = {}
        for text, owner in self.valid.items():
            digest = hashlib.sha256(text.encode()).hexdigest()
            entries[digest] = key.Key(owner, "k", digest)
        changed = configuration.Configuration(keys=entries)
        self.table = key_table.KeyTable(changed, earlier=self.table)

    @stateful.rule(text=_keys, owner=st.sampled_from(["urdina", "gorria"]))
    def issue(self, text, owner):
        self.valid[text] = owner
        self.seen.add(text)
        self._load()

    @stateful.rule(text=_keys)
    def withdraw(self, text):
        self.valid.pop(text, None)
        self._load()

    @stateful.rule(text=_keys | st.text())
    def authenticate(self, text):
        try:
            owner = self.table.authenticate(text).organisation
        except error.RefusedError as exc:
            withdrawn = text in self.seen
            expected = (
                kind.ErrorKind.KEY_WITHDRAWN
                if withdrawn
                else kind.ErrorKind.KEY_UNKNOWN
            )
            assert text not in self.valid and exc.kind is expected
        else:
            assert self.valid[text] == owner


KeyTableMachine.TestCase.settings = settings(max_examples=50, deadline=None)
TestKeyTable = KeyTableMachine.TestCase
