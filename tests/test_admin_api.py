"""Admin API: malformed requests, tokens and the audit log."""

import io
import json

import logbook
from hypothesis import given, settings
from hypothesis import strategies as st

from fake_agreement import BOOTSTRAP_TOKEN, FakeAgreement
from test_config_document import KEY, make_edit, sample, set_value
from verbenad.admin_api import AdminApi
from verbenaworks.admin_messages import (
    EDITS_PATH,
    EditAccepted,
    RequestRefused,
    answer_from_json,
    to_json,
)
from verbenaworks.edit import CreateBranch


def request(
    agreement: FakeAgreement,
    method: str,
    path: str,
    body: bytes = b"",
    **environ: str,
) -> tuple[str, bytes]:
    """Return the status and the body of the response."""
    statuses: list[str] = []
    api = AdminApi(agreement, lambda: 7.0, BOOTSTRAP_TOKEN)
    parts = api(
        {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": "",
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_AUTHORIZATION": f"Bearer {BOOTSTRAP_TOKEN}",
            "wsgi.input": io.BytesIO(body),
            **environ,
        },
        lambda status, headers: statuses.append(status),
    )
    return statuses[0], b"".join(parts)


def test_edit_is_audited_under_the_token_s_operator() -> None:
    """Guards against an edit that is logged under another operator."""
    agreement = FakeAgreement(sample())
    path = "/operators/ana"
    edit = make_edit(
        "a",
        CreateBranch(path=path),
        set_value(path, "role", "write"),
        set_value(path, "token_digest", KEY.digest),
        read=1,
        operator="mallory",
    )
    with logbook.TestHandler() as handler:
        status, body = request(agreement, "POST", EDITS_PATH, to_json(edit))
    assert status == "200 OK"
    assert answer_from_json(body) == EditAccepted(config_revision=2)
    line = dict(handler.records[0].extra)
    assert line["operator"] == "bootstrap" and line["sent_at_s"] == 7.0
    assert line["answer"]["config_revision"] == 2
    assert KEY.digest not in json.dumps(line)
    accepted = agreement.document().find_edit("a")
    assert accepted is not None and accepted.edit.operator == "bootstrap"


def test_requests_without_a_valid_token() -> None:
    """Guards against access to the configuration without a valid token."""
    agreement = FakeAgreement(sample())
    for token in ("", "Bearer ", "Bearer x", "Basic " + BOOTSTRAP_TOKEN):
        status, body = request(
            agreement, "GET", "/v1/admin/config", HTTP_AUTHORIZATION=token
        )
        assert status.startswith("401")
        assert isinstance(answer_from_json(body), RequestRefused)
    status, _ = request(
        agreement,
        "GET",
        "/v1/admin/config",
        HTTP_AUTHORIZATION=f"Bearer {KEY.key}",
    )
    assert status.startswith("401")


@settings(derandomize=True, max_examples=300, database=None)
@given(
    st.sampled_from(["GET", "POST", "PUT"]),
    st.sampled_from([EDITS_PATH, EDITS_PATH + "/", "/v1/admin/status", "/"]),
    st.one_of(
        st.binary(max_size=60),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda inner: st.dictionaries(
                st.sampled_from(["edit_id", "changes", "type", "path"]),
                inner | st.lists(inner, max_size=2),
            ),
            max_leaves=5,
        ).map(lambda data: json.dumps(data).encode()),
    ),
    st.text(max_size=12),
)
def test_malformed_requests_are_refused(
    method: str, path: str, body: bytes, length: str
) -> None:
    """Guards against a request that raises inside the server."""
    agreement = FakeAgreement(sample())
    for environ in ({}, {"CONTENT_LENGTH": length}):
        status, _ = request(agreement, method, path, body, **environ)
        assert status[:3] in ("200", "400", "404", "411", "413")
    assert agreement.document().config_revision == 1
