"""Named one-line faults of the links between regions.

Each entry is (name, path, old text, new text, test that must fail).
"""

_LIBRARY = "packages/verbenaworks/src/verbenaworks/"
_DAEMON = "packages/verbenad/src/verbenad/"
_METER = _LIBRARY + "link_meter.py"
_GATE = _DAEMON + "link_limiter.py"
_FORWARDER = _DAEMON + "forwarder.py"

MUTATIONS = [
    (
        "a link's tokens count although they were not taken",
        _METER,
        "self._credit_bytes += count * TOKEN_BYTES",
        "self._credit_bytes += (count + 1) * TOKEN_BYTES",
        "tests/test_link_histories.py",
    ),
    (
        "reserved bytes are given to other bodies",
        _METER,
        "- (\n            self._credit_bytes - self._reserved_bytes",
        "- (\n            self._credit_bytes",
        "tests/test_link_meter.py",
    ),
    (
        "an instance collects the tokens that attempts leave",
        _METER,
        "tokens = (free_bytes - MAX_CARRY_BYTES) // TOKEN_BYTES",
        "tokens = 0",
        "tests/test_link_meter.py",
    ),
    (
        "one dead owner stops a link",
        _METER,
        "            self._uses_all_parts = True\n",
        "            self._uses_all_parts = False\n",
        "tests/test_link_meter.py",
    ),
    (
        "all parts of a link have the whole rate",
        _DAEMON + "budget_plan.py",
        "rate_per_s=bytes_per_s / TOKEN_BYTES / LINK_PARTS,",
        "rate_per_s=bytes_per_s / TOKEN_BYTES,",
        "tests/test_link_limiter.py",
    ),
    (
        "a body does not wait for a full link",
        _GATE,
        "            return self._wait(\n",
        "            return True or self._wait(\n",
        "tests/test_link_limiter.py",
    ),
    (
        "a body waits past its deadline",
        _GATE,
        "while (now_s := self._now_s()) < deadline_s and not is_cancelled():",
        "while (now_s := self._now_s()) < 1e12 and not is_cancelled():",
        "tests/test_link_limiter.py",
    ),
    (
        "requests spill while bodies wait for the link",
        _GATE,
        "if link.meter.has_tokens(now_s, size_bytes) and not link.waiting:",
        "if True:",
        "tests/test_link_limiter.py",
    ),
    (
        "request bodies are not charged",
        _FORWARDER,
        "if link is None or link.send(size_bytes, self._deadline_s):",
        "if True:",
        "tests/test_forwarder.py",
    ),
    (
        "a request that a link cut off is said not to have run",
        _FORWARDER,
        "self._charge_request(len(piece), may_have_run=True)",
        "self._charge_request(len(piece), may_have_run=False)",
        "tests/test_forwarder.py",
    ),
    (
        "a response passes a link without tokens",
        _FORWARDER,
        "if link is not None and not link.receive(size_bytes, deadline_s):",
        "if link is not None and "
        "link.receive(size_bytes, deadline_s) is None:",
        "tests/test_forwarder.py",
    ),
    (
        "requests spill without room on the link",
        _LIBRARY + "target_choice.py",
        "if self._links is None or row.distance < 2:",
        "if True:",
        "tests/test_target_choice.py",
    ),
    (
        "room on a link is not returned",
        _LIBRARY + "target_choice.py",
        "if self._links is not None and choice.link is not None:",
        "if False:",
        "tests/test_target_choice.py",
    ),
    (
        "a shift goes on over a link that is not measured",
        _LIBRARY + "shift_driver.py",
        "if link.free_share is None or link.age_s > MAX_LINK_AGE_S:",
        "if link.age_s > MAX_LINK_AGE_S:",
        "tests/test_shift_driver.py",
    ),
    (
        "a shift goes on over a full link",
        _LIBRARY + "shift_driver.py",
        "if link.free_share < state.min_headroom_share:",
        "if False:",
        "tests/test_shift_driver.py",
    ),
    (
        "a new owner takes its ignorance for a free link",
        _LIBRARY + "budget_owner.py",
        "if now_s < self._issues_from_s + DEMAND_SETTLE_S:",
        "if False:",
        "tests/test_link_usage.py",
    ),
    (
        "a refused request hides the full link",
        _LIBRARY + "admission_queue.py",
        "        self._last_excluded = choice_result.excluded\n",
        "",
        "tests/test_admission_queue.py",
    ),
]
