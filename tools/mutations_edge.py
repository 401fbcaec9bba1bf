"""Named one-line faults in the callers' side and the forwarder.

Each entry is (name, path, old text, new text, test that must fail).
"""

_SOURCE = "packages/verbenad/src/verbenad/"

MUTATIONS = [
    (
        "the key header is forwarded",
        _SOURCE + "forwarded_headers.py",
        '    "x-request-id",\n    KEY_HEADER,\n',
        '    "x-request-id",\n',
        "tests/test_forwarder.py::test_key_in_headers_is_removed",
    ),
    (
        "the key parameter is forwarded",
        _SOURCE + "forwarded_headers.py",
        "        if _is_key_parameter(part.partition",
        "        if False and _is_key_parameter(part.partition",
        "tests/test_forwarder.py::test_key_in_the_query_is_removed",
    ),
    (
        "a short body is handed on",
        _SOURCE + "request_body.py",
        "        if not count:\n            raise BodyTooShortError\n",
        "        if not count:\n            self._remaining_bytes = 0\n",
        "tests/test_request_body.py"
        "::test_short_body_raises_and_goes_on_raising",
    ),
    (
        "a truncated response ends with a terminating chunk",
        _SOURCE + "http_protocol.py",
        '            self.http_server.count("aborted_responses")\n',
        "            writer.finish()\n",
        "tests/test_http_protocol.py::test_failed_chunked_response_has_no_end",
    ),
    (
        "a truncated response is taken as complete",
        _SOURCE + "upstream_response.py",
        "        if not self._receive():\n            raise",
        "        if not self._receive():\n            self._left_bytes = 0\n"
        "            return\n            raise",
        "tests/test_forwarder.py::test_truncated_response_raises",
    ),
    (
        "a byte sent is reported as not run",
        _SOURCE + "forwarder.py",
        "                may_have_run=any_sent,\n",
        "                may_have_run=False,\n",
        "tests/test_forwarder.py::test_close_before_the_response_may_have_run",
    ),
    (
        "any 503 counts as not run",
        _SOURCE + "forwarder.py",
        "        if head.status == 503 and _says_not_run(head):\n",
        "        if head.status == 503:\n",
        "tests/test_forwarder.py::test_503_without_the_mark_is_a_response",
    ),
    (
        "an order goes over an old connection",
        _SOURCE + "upstream_pool.py",
        "            settings.idle_timeout_s\n"
        "            if idempotent\n"
        "            else settings.non_idempotent_max_idle_s\n",
        "            settings.idle_timeout_s\n",
        "tests/test_upstream_pool.py"
        "::test_old_connection_is_not_used_for_non_idempotent_requests",
    ),
    (
        "a connection in doubt is reused",
        _SOURCE + "forwarder.py",
        "        if can_reuse and read_to_end:\n",
        "        if can_reuse:\n",
        "tests/test_forwarder.py"
        "::test_body_closed_early_gives_the_connection_up",
    ),
    (
        "a repeated length is accepted",
        _SOURCE + "http_syntax.py",
        "    if len(values) > 1 or _DIGITS",
        "    if _DIGITS",
        "tests/test_http_protocol.py::test_malformed_head_is_refused",
    ),
    (
        "a connection goes on after malformed input",
        _SOURCE + "http_protocol.py",
        "            self._refuse_head(error)\n            return False\n",
        "            self._refuse_head(error)\n            return True\n",
        "tests/test_http_protocol.py::test_malformed_head_is_refused",
    ),
]
