"""Faults in the configuration modules that tests must detect.

Each entry is (name, path, old line part, new line part, test).
"""

_WORKS = "packages/verbenaworks/src/verbenaworks"
_DOCUMENT = f"{_WORKS}/config_document.py"
_ADMIN_API = "packages/verbenad/src/verbenad/admin_api.py"
_RACES = "tests/test_edit_races.py"
_CONFIG_TEST = "tests/test_config_document.py"
_VERBENA_TEST = "tests/test_verbena.py"

MUTATIONS = [
    (
        "a withdrawn key is still found",
        f"{_WORKS}/settings_tree.py",
        "            if not is_within(other, path)",
        '            if not is_within(other, path) or "/keys/" in other',
        f"{_CONFIG_TEST}::test_withdrawn_key_is_not_found",
    ),
    (
        "a key is accepted without its secret",
        f"{_WORKS}/key_digest.py",
        "    same = hmac.compare_digest(actual, expected)",
        "    same = len(actual) == len(expected)",
        f"{_CONFIG_TEST}::test_compiled_config",
    ),
    (
        "an edit id is applied twice",
        _DOCUMENT,
        "        earlier = self.find_edit(edit.edit_id)",
        "        earlier = None",
        _RACES,
    ),
    (
        "a racing edit overwrites unseen",
        _DOCUMENT,
        "            if accepted.config_revision <= edit.read_revision:",
        "            if accepted.config_revision >= edit.read_revision:",
        _RACES,
    ),
    (
        "the expected revision is ignored",
        _DOCUMENT,
        "        if edit.expected_revision is not None:",
        "        if edit.expected_revision == -1:",
        _RACES,
    ),
    (
        "an edit is applied although its id left the history",
        _DOCUMENT,
        "        if not self._has_history_since(edit.read_revision):",
        "        if edit.read_revision < 0:",
        f"{_CONFIG_TEST}::test_edit_id_that_left_the_history_is_refused",
    ),
    (
        "a deleted branch hides a change made below it",
        f"{_WORKS}/edit.py",
        "    if isinstance(first, DeleteBranch) and is_within("
        "second.path, first.path):",
        "    if isinstance(first, DeleteBranch) and first is second:",
        f"{_CONFIG_TEST}::test_delete_conflicts_with_a_change_below",
    ),
    (
        "an operator with the role read edits",
        _ADMIN_API,
        '    if operator.role != "write":',
        '    if operator.role == "none":',
        f"{_VERBENA_TEST}::test_operators_and_roles",
    ),
    (
        "the bootstrap token works beside operators",
        _ADMIN_API,
        '        if not tree.names("/operators"):',
        '        if not tree.names("/operators") or "_" not in token:',
        f"{_VERBENA_TEST}::test_operators_and_roles",
    ),
    (
        "a refusal after a lost answer is taken as conclusive",
        "packages/verbena/src/verbena/admin_client.py",
        "                case _ if attempts.maybe_sent and not dry_run:",
        "                case _ if attempts.maybe_sent and dry_run:",
        f"{_VERBENA_TEST}::test_refusal_after_a_lost_answer",
    ),
]
