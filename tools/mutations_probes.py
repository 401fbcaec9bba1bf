"""One-line faults in the shared probes, and the test that finds each.

Fields: name, path, old text, new text, test.
"""

_LIBRARY = "packages/verbenaworks/src/verbenaworks"
_TEST = "tests/test_shared_health.py"

MUTATIONS = [
    (
        "probes: a shared failure acts without an own probe",
        f"{_LIBRARY}/shared_health.py",
        "elif record.local_health in _FAILING:",
        "elif record.local_health in _FAILING or healths & _FAILING:",
        f"{_TEST}::test_one_blind_prober_removes_no_target",
    ),
    (
        "probes: a shared sign of leaving is ignored",
        f"{_LIBRARY}/shared_health.py",
        "if Health.LEAVING in healths "
        "or record.local_health is Health.LEAVING:",
        "if record.local_health is Health.LEAVING:",
        f"{_TEST}::test_dead_probers",
    ),
    (
        "probes: an older report replaces a newer one",
        f"{_LIBRARY}/shared_health.py",
        "if known is not None and (report.incarnation, report.seq) <= (",
        "if known is not None and (report.incarnation, report.seq) == (",
        f"{_TEST}::test_reports_are_applied_in_order",
    ),
    (
        "probes: the report of a dead prober stays",
        f"{_LIBRARY}/shared_health.py",
        "and member.incarnation <= report.incarnation",
        "and member.incarnation <= report.incarnation\n            or True",
        f"{_TEST}::test_recovery_while_the_prober_with_the_report_dies",
    ),
    (
        "probes: an instance that is cut off waits",
        f"{_LIBRARY}/shared_health.py",
        "self._is_isolated = now_s - last_contact_s > ISOLATION_TIMEOUT_S",
        "self._is_isolated = False",
        f"{_TEST}::test_an_instance_of_a_large_fleet_that_receives_nothing",
    ),
    (
        "probes: a few instances that are cut off together wait",
        f"{_LIBRARY}/shared_health.py",
        "suspects >= _MIN_SUSPECTS_IN_PARTITION\n",
        "suspects >= 1000\n",
        f"{_TEST}::test_a_few_instances_that_are_cut_off_together",
    ),
    (
        "probes: a relay keeps the news",
        f"{_LIBRARY}/shared_health.py",
        "if address in self._members and address != self._own_address:",
        "if False:",
        f"{_TEST}::test_relays_of_a_large_fleet_that_die_and_lose_messages",
    ),
    (
        "probes: a relay keeps the acknowledgements",
        f"{_LIBRARY}/shared_health.py",
        "self._acks[key].update(message.takers)",
        "self._acks[key].update(())",
        f"{_TEST}::test_relays_of_a_large_fleet_that_die_and_lose_messages",
    ),
    (
        "probes: a target that refused once stays out",
        "packages/verbenad/src/verbenad/target_prober.py",
        "if now_s >= self._next_refusal_check_s:",
        "if False:",
        "tests/test_target_prober.py",
    ),
    (
        "probes: a target that is not configured yet is acknowledged",
        f"{_LIBRARY}/shared_health.py",
        "taken=tuple((c.target, c.seq) for c in known),",
        "taken=tuple((c.target, c.seq) for c in message.changes),",
        f"{_TEST}::test_only_known_targets_are_acknowledged",
    ),
    (
        "probes: a change is sent once",
        f"{_LIBRARY}/health_sender.py",
        "attempts.next_s = now_s + min(wait_s, _MAX_RESEND_INTERVAL_S)",
        "attempts.next_s = now_s + 1000 * wait_s",
        "tests/test_health_sender.py",
    ),
    (
        "probes: suspects count as probers",
        f"{_LIBRARY}/probe_assignment.py",
        "return sum(m.state is MemberState.ALIVE for m in chosen)",
        "return len(chosen)",
        "tests/test_probe_assignment.py",
    ),
    (
        "probes: all probers may be in one failure domain",
        f"{_LIBRARY}/probe_assignment.py",
        "if member.failure_domain in domains:",
        "if False:",
        "tests/test_probe_assignment.py",
    ),
    (
        "probes: load batches ignore their rate",
        f"{_LIBRARY}/load_sender.py",
        "self._credit_bytes -= size",
        "self._credit_bytes -= 30",
        "tests/test_load_sender.py",
    ),
]
