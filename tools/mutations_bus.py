"""Faults of the messages between instances, and the tests for them."""

from mutants import Mutation

_SRC = "packages/verbenad/src/verbenad"
_SILENT = "tests/test_bus.py::test_silent_connection_is_opened_anew"
_LINK = "tests/test_peer_link.py"

MUTATIONS = [
    Mutation(
        name="a silent connection stays while the peer sends",
        path=f"{_SRC}/peer_link.py",
        old="            self._is_stale = True",
        new="            self._is_stale = False",
        test=f"{_SILENT}[talks]",
    ),
    Mutation(
        name="a connection that is silent both ways stays",
        path=f"{_SRC}/peer_link.py",
        old="return self._is_stale or _is_late(now_s, self._asked_since_s)",
        new="return self._is_stale",
        test=f"{_SILENT}[is-quiet]",
    ),
    Mutation(
        name="answers that nobody answers open a new connection",
        path=f"{_SRC}/peer_link.py",
        old="if not is_answer and self._asked_since_s is None:",
        new="if self._asked_since_s is None:",
        test=f"{_LINK}::test_rare_messages_keep_their_connection",
    ),
    Mutation(
        name="frames acknowledge what never arrived",
        path=f"{_SRC}/bus.py",
        old="                link.received,\n",
        new="                link.number(now_s, is_answer=True),\n",
        test=f"{_SILENT}[talks]",
    ),
]
