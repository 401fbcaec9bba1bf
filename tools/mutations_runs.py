"""Named faults of runs, crashes, shifts and lookups."""

from mutants import Mutation

_LIBRARY = "packages/verbenaworks/src/verbenaworks/"

MUTATIONS = [
    Mutation(
        name="a new owner runs a key of an earlier epoch",
        path=_LIBRARY + "run_ledger.py",
        old="if request.shard != self.shard or request.epoch != self.epoch:",
        new="if request.shard != self.shard:",
        test="tests/test_run_ledger.py::TestRunMachine",
    ),
    Mutation(
        name="a key runs after its record was forgotten",
        path=_LIBRARY + "run_ledger.py",
        old="return oldest <= request.generation <= current",
        new="return request.generation <= current",
        test="tests/test_run_ledger.py::TestRunMachine",
    ),
    Mutation(
        name="a late report frees another attempt's claim",
        path=_LIBRARY + "run_ledger.py",
        old="if record.attempt_id != report.attempt_id or record.is_ended:",
        new="if record.is_ended:",
        test="tests/test_run_ledger.py",
    ),
    Mutation(
        name="an unknown outcome frees the key",
        path=_LIBRARY + "run_ledger.py",
        old="            case ReportNotRun():",
        new="            case ReportNotRun() | ReportUnknown():",
        test="tests/test_run_ledger.py",
    ),
    Mutation(
        name="a shift ignores its cap",
        path=_LIBRARY + "shift_plan.py",
        old="            Fraction(self.spec.cap_share),\n        )\n",
        new="            Fraction(1),\n        )\n",
        test="tests/test_shift_plan.py::test_no_mix_of_steps_exceeds_the_cap",
    ),
    Mutation(
        name="a shift does not wait for callers' caches",
        path=_LIBRARY + "shift_driver.py",
        old="remaining_s = self._confirmed_at_s + lookup_ttl_s - now_s",
        new="remaining_s = 0.0",
        test="tests/test_shift_driver.py",
    ),
    Mutation(
        name="a repeated crash message counts again",
        path=_LIBRARY + "crash_ledger.py",
        old="        entry.crash_ids.add(crash_id)\n",
        new="        entry.crash_ids.add(str(len(entry.crash_ids)))\n",
        test="tests/test_crash_ledger.py",
    ),
    Mutation(
        name="an unusable instance is named in lookup answers",
        path=_LIBRARY + "entry_lookup.py",
        old="            if is_usable(instance.name):\n                found",
        new="            if True:\n                found",
        test="tests/test_entry_lookup.py",
    ),
    Mutation(
        name="a new owner is rarely asked for its generation",
        path="packages/verbenad/src/verbenad/run_claims.py",
        old="known is not None and known.epoch == owner.epoch\n",
        new="known is not None\n",
        test="tests/test_run_claims.py",
    ),
]
