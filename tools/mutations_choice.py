"""One-line faults in the choice of target, and the test that finds each.

Fields: name, path, old text, new text, test.
"""

_LIBRARY = "packages/verbenaworks/src/verbenaworks"

MUTATIONS = [
    (
        "a draining target is still chosen",
        f"{_LIBRARY}/target_choice.py",
        "LeavingSignal.DRAIN_SETTING, info.draining",
        "LeavingSignal.DRAIN_SETTING, False",
        "tests/test_target_choice.py",
    ),
    (
        "a target that refuses is still chosen",
        f"{_LIBRARY}/target_choice.py",
        "stats.record_refusal(now_s)",
        "stats.record_failure()",
        "tests/test_target_choice.py",
    ),
    (
        "a retry ignores that bytes were sent",
        f"{_LIBRARY}/retry_budget.py",
        "return idempotent or not bytes_sent",
        "return True",
        "tests/test_retry_budget.py",
    ),
    (
        "ejection ignores the floor",
        f"{_LIBRARY}/ejection.py",
        "0, len(self._records) - unavailable_count - min_in_service",
        "0, len(self._records)",
        "tests/test_ejection.py",
    ),
    (
        "the admission queue serves first come, first served",
        f"{_LIBRARY}/admission_queue.py",
        "key = units, queue.last_start_at_s",
        "key = 0.0 * units, queue.entries[0].arrived_s",
        "tests/test_admission_queue.py",
    ),
    (
        "the region's limit is ignored",
        f"{_LIBRARY}/target_choice.py",
        "if not self._region_units.take(row.region, workspace):",
        "if False:",
        "tests/test_target_choice.py",
    ),
    (
        "a late request is started",
        f"{_LIBRARY}/target_choice.py",
        "if now_s + min_time_s > request.deadline_s:",
        "if False:",
        "tests/test_target_choice.py",
    ),
    (
        "wants that the owner has not seen count as denied",
        f"{_LIBRARY}/unit_split.py",
        "if answered is self._answered.get(target):",
        'answered = answered or {"w": 3}\n        if False:',
        "tests/test_unit_split.py",
    ),
    (
        "held units move to the first target",
        f"{_LIBRARY}/unit_split.py",
        "group, remaining, result, region_remaining, self._granted_units",
        "[], remaining, result, region_remaining, self._granted_units",
        "tests/test_unit_split.py",
    ),
    (
        "slots are asked for in a full region",
        f"{_LIBRARY}/unit_split.py",
        "if region_remaining.get(target.region) == 0:",
        "if False:",
        "tests/test_unit_split.py",
    ),
    (
        "load is asked for in regions without slots",
        "packages/verbenad/src/verbenad/region_units.py",
        "wanted = max(in_use, self._slots.get(region, 0))",
        "wanted = in_use + 4",
        "tests/test_region_units.py",
    ),
    (
        "an ended request serves its own service only",
        "packages/verbenad/src/verbenad/dispatcher.py",
        "self._serve_all()",
        "self.serve()",
        "tests/test_service_scheduler.py",
    ),
]
