"""Faults of the agreement and the membership, and the tests for them."""

from mutants import Mutation

_SRC = "packages/verbenaworks/src/verbenaworks"
_RULES = "tests/test_agreement.py"

MUTATIONS = [
    Mutation(
        name="a relay accepts an older revision",
        path=f"{_SRC}/applied_state.py",
        old="        if self.compare(state, data) is not Comparison.NEWER:",
        new="        if self.compare(state, data) is Comparison.SAME:",
        test=f"{_RULES}::test_relayed_state_with_a_lower_revision_is_refused",
    ),
    Mutation(
        name="a writer attests with an unsettled write",
        path=f"{_SRC}/agreement.py",
        old="            and self._writes.is_settled\n",
        new="",
        test=f"{_RULES}::test_writer_attests_only_while_settled",
    ),
    Mutation(
        name="a new owner skips its wait",
        path=f"{_SRC}/shard_ownership.py",
        old="            wait_s = 0.0 if owner.handed_over else"
        " FENCING_WAIT_S",
        new="            wait_s = 0.0",
        test=f"{_RULES}::test_new_owner_waits_and_must_be_confirmed_after_the"
        "_wait",
    ),
    Mutation(
        name="a new owner skips its wait (seeded histories)",
        path=f"{_SRC}/shard_ownership.py",
        old="            wait_s = 0.0 if owner.handed_over else"
        " FENCING_WAIT_S",
        new="            wait_s = 0.0",
        test="tests/test_agreement_histories.py::test_seeded_histories",
    ),
    Mutation(
        name="freshness is measured from the receive time",
        path=f"{_SRC}/agreement.py",
        old="        self._freshness.confirm_by_store(sent_at_s)",
        new="        self._freshness.confirm_by_store(now_s)",
        test=f"{_RULES}::test_delayed_store_answer_confirms_its_send_time",
    ),
    Mutation(
        name="freshness is measured from the receive time (histories)",
        path=f"{_SRC}/agreement.py",
        old="        self._freshness.confirm_by_store(sent_at_s)",
        new="        self._freshness.confirm_by_store(now_s)",
        test="tests/test_agreement_histories.py::test_seeded_histories",
    ),
    Mutation(
        name="some writers' attestations count as all",
        path=f"{_SRC}/attestations.py",
        old="            elif writer.instance not in resigned:\n"
        "                return None",
        new="            elif writer.instance not in resigned:\n"
        "                continue",
        test=f"{_RULES}::test_one_of_two_writers_is_not_enough",
    ),
    Mutation(
        name="some writers' attestations count as all (histories)",
        path=f"{_SRC}/attestations.py",
        old="            elif writer.instance not in resigned:\n"
        "                return None",
        new="            elif writer.instance not in resigned:\n"
        "                continue",
        test="tests/test_agreement_histories.py::test_seeded_histories",
    ),
    Mutation(
        name="a relay's age is ignored",
        path=f"{_SRC}/freshness.py",
        old="sent_at_s - age_s * (1 + MAX_CLOCK_DRIFT)",
        new="sent_at_s",
        test="tests/test_freshness.py::test_relay_age_includes_clock_drift",
    ),
    Mutation(
        name="an owner goes on at once after a gap",
        path=f"{_SRC}/shard_ownership.py",
        old="            and confirmed_s >= resumed_s + FENCING_WAIT_S\n",
        new="",
        test=f"{_RULES}::test_owner_waits_again_after_a_gap",
    ),
    Mutation(
        name="a shard is handed over during the owner's own wait",
        path=f"{_SRC}/shard_ownership.py",
        old="            if (shard, owned.epoch) in self._wait_completed\n",
        new="",
        test=f"{_RULES}::test_shard_is_not_handed_over_during_the_wait",
    ),
    Mutation(
        name="a version is trusted after a gap",
        path=f"{_SRC}/agreement.py",
        old="            and sent_at_s < self._stored_seen_s + "
        "_VERSION_TRUST_S\n",
        new="",
        test=f"{_RULES}::test_version_is_not_trusted_after_a_gap",
    ),
    Mutation(
        name="an unknown outcome is settled by an unchanged version",
        path=f"{_SRC}/state_writes.py",
        old="            return None, [self._make_put(attempt, now_s)]",
        new="            self._attempt = None\n            return None, []",
        test="tests/test_state_writes.py::test_unknown_outcome_is_sent_again"
        "_until_the_version_changes",
    ),
    Mutation(
        name="an edit is written without a successful probe",
        path=f"{_SRC}/state_writes.py",
        old="StoreUnavailable | StoreOutcomeUnknown):\n            return []",
        new="StoreUnavailable | StoreOutcomeUnknown):\n"
        "            version = basis.version",
        test="tests/test_state_writes.py::test_no_write_without_a_successful"
        "_probe",
    ),
    Mutation(
        name="a resigned writer writes again",
        path=f"{_SRC}/agreement.py",
        old="        self._writes.close()\n",
        new="        self._is_resigning = False\n",
        test=f"{_RULES}::test_resigned_writer_sends_nothing_more",
    ),
    Mutation(
        name="a takeover does not wait for the attestations to end",
        path=f"{_SRC}/control_maintenance.py",
        old="            wait_s = (\n"
        "                MAX_ATTESTATION_AGE_S * (1 + 2 * MAX_CLOCK_DRIFT)\n"
        "                + FENCING_WAIT_S\n"
        "            )",
        new="            wait_s = 0.0",
        test=f"{_RULES}::test_lost_writers_are_replaced_only_after_the_limit",
    ),
    Mutation(
        name="a writer attests during a takeover",
        path=f"{_SRC}/agreement.py",
        old="            and state.control.takeover is None\n",
        new="",
        test=f"{_RULES}::test_writer_does_not_attest_during_a_takeover",
    ),
    Mutation(
        name="an accepted edit that a restore lost is not applied again",
        path=f"{_SRC}/agreement.py",
        old="            elif not isinstance(edit.change(state), "
        "AlreadyApplied):",
        new="            elif False:",
        test="tests/test_agreement_histories.py::test_seeded_histories",
    ),
    Mutation(
        name="a suspected member does not refute",
        path=f"{_SRC}/membership.py",
        old="        self._own = replace(own, counter=update.counter + 1)\n",
        new="",
        test="tests/test_membership.py::test_suspicion_is_refuted_under_a"
        "_higher_counter",
    ),
    Mutation(
        name="dead members are never probed",
        path=f"{_SRC}/membership.py",
        old="            if self._dead_since_s:\n",
        new="            if False:\n",
        test="tests/test_membership.py::test_partition_heals_by_itself",
    ),
    Mutation(
        name="members known only by brief records are not asked for",
        path=f"{_SRC}/membership.py",
        old="                self._unknown_names.add(update.name)",
        new="                self._unknown.discard(update.name)",
        test="tests/test_membership.py",
    ),
]
