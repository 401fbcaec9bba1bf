"""Faults of messages and of what idle instances send, and their tests."""

from mutants import Mutation

_SRC = "packages/verbenad/src/verbenad"
_SILENT = "tests/test_bus.py::test_silent_connection_is_opened_anew"
_LINK = "tests/test_peer_connection.py"
_BUDGETS = "tests/test_budget_loop.py"

MUTATIONS = [
    Mutation(
        name="a silent connection stays while the peer sends",
        path=f"{_SRC}/peer_connection.py",
        old="            self._is_stale = True",
        new="            self._is_stale = False",
        test=f"{_SILENT}[talks]",
    ),
    Mutation(
        name="a connection that is silent both ways stays",
        path=f"{_SRC}/peer_connection.py",
        old="return self._is_stale or "
        "_is_late(now_s, self._unanswered_since_s)",
        new="return self._is_stale",
        test=f"{_SILENT}[is-quiet]",
    ),
    Mutation(
        name="answers that nobody answers open a new connection",
        path=f"{_SRC}/peer_connection.py",
        old="if not is_answer and self._unanswered_since_s is None:",
        new="if self._unanswered_since_s is None:",
        test=f"{_LINK}::test_rare_messages_keep_their_connection",
    ),
    Mutation(
        name="frames acknowledge what never arrived",
        path=f"{_SRC}/bus.py",
        old="                peer.received,\n",
        new="                peer.next_number(now_s, is_answer=True),\n",
        test=f"{_SILENT}[talks]",
    ),
    Mutation(
        name="a lack does not wake the budget loop",
        path=f"{_SRC}/budget_loop.py",
        old="if due_at_s < self._wake_at_s and self._wake is not None:",
        new="if due_at_s < 0 and self._wake is not None:",
        test=f"{_BUDGETS}::test_requests_are_sent_when_they_are_due",
    ),
    Mutation(
        name="an instance answers for a shard that it has lost",
        path=f"{_SRC}/budget_loop.py",
        old="self._owners.pop(shard, None)\n            return None",
        new="pass\n            return known",
        test=f"{_BUDGETS}::test_a_new_owner_answers_at_once",
    ),
    Mutation(
        name="periodic calls missed in a pause are made up for",
        path=f"{_SRC}/loop_timers.py",
        old="periods = late_s // self._period_s + 1",
        new="periods = 1.0 + 0.0 * late_s",
        test="tests/test_loop_timers.py::test_periodic_timers_share_wake_ups",
    ),
    Mutation(
        name="addresses of unknown senders are kept without bound",
        path=f"{_SRC}/bus.py",
        old="if len(self._peers) >= MAX_PEERS:",
        new="if len(self._peers) < 0:",
        test="tests/test_bus.py::test_messages_and_locks_under_eventlet",
    ),
]
