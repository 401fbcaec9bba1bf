"""Tests of the verbena command line against a fake operator port."""

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from fake_agreement import BOOTSTRAP_TOKEN, FakeAgreement, serve
from test_config_document import KEY, make_edit, sample
from verbena.main import run
from verbenaworks.compiled_config import compile_config
from verbenaworks.edit import CreateBranch


@dataclass(frozen=True, kw_only=True)
class Shell:
    """Runs verbena commands against one instance.

    :ivar agreement: stand-in for the instance behind the operator port.
    :ivar address: operator port of that instance.
    :ivar run: runs a command line; returns exit code, stdout and stderr.
    """

    agreement: FakeAgreement
    address: str
    run: Callable[..., tuple[int, str, str]]

    def json(self, *arguments: str) -> object:
        """Return the JSON output of a command that must succeed."""
        code, out, err = self.run(*arguments, "--json")
        assert code == 0, out + err
        return json.loads(out)


@pytest.fixture
def shell(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> Iterator[Shell]:
    """Serve a small deployment."""
    agreement = FakeAgreement(sample())

    def run_verbena(*arguments: str) -> tuple[int, str, str]:
        try:
            code = run(list(arguments))
        except SystemExit as error:
            code = int(error.code or 0)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    with serve(agreement) as address:
        monkeypatch.setenv("VERBENA_INSTANCES", address)
        monkeypatch.setenv("VERBENA_TOKEN", BOOTSTRAP_TOKEN)
        yield Shell(agreement=agreement, address=address, run=run_verbena)


def unused_address() -> str:
    """Return an address at which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_set_and_get(shell: Shell) -> None:
    """Guards against an edit that is reported but not applied."""
    code, out, _ = shell.run("set", "/workspaces/acme", "burst=11", "--wait")
    assert code == 0 and "(revision 2)" in out and "in force" in out
    assert shell.json("get", "/workspaces/acme", "burst") == {
        "burst": {"value": 11.0, "origin_path": "/workspaces/acme"}
    }
    code, out, _ = shell.run("get", "/workspaces/acme")
    assert "deadline_s" in out and "(default)" in out
    shell.json("unset", "/workspaces/acme", "burst")
    found = shell.json("get", "/workspaces/acme", "burst")
    assert found == {"burst": {"value": 50.0, "origin_path": None}}


@pytest.mark.parametrize(
    ("expected_code", "arguments"),
    [
        (1, ["set", "/workspaces/acme", "burst=1"]),
        (1, ["delete", "/regions/west"]),
        (1, ["set", "/", "burst=70", "--expected-revision", "9"]),
        (2, ["set", "/workspaces/acme", "burst=lots"]),
        (2, ["set", "/workspaces/acme", "burst"]),
        (2, ["get", "/nowhere"]),
        (2, ["bogus"]),
        (2, ["writers", "replace"]),
        (2, ["shift", "pause", "none"]),
        (2, ["key", "withdraw", "none"]),
        (2, ["import", "/does/not/exist"]),
    ],
)
def test_refusals(
    shell: Shell, expected_code: int, arguments: list[str]
) -> None:
    """Guards against scripts that mistake a refusal for success."""
    code, out, err = shell.run(*arguments)
    assert code == expected_code, out + err
    assert shell.agreement.document().config_revision == 1
    assert "remedy" in err or arguments == ["bogus"]


def test_dry_run_changes_nothing(shell: Shell) -> None:
    """Guards against a dry run that changes the configuration."""
    code, out, _ = shell.run("set", "/", "burst=70", "--dry-run", "--wait")
    assert code == 0 and "dry run" in out
    assert shell.agreement.document().config_revision == 1


def test_keys(shell: Shell) -> None:
    """Guards against keys that do not work or outlive their withdrawal."""
    created = shell.json("key", "create", "acme")
    assert isinstance(created, dict)
    keys = compile_config(shell.agreement.document()).keys
    assert keys.find(created["key"]) is not None
    stored = shell.agreement.document().to_bytes()
    assert created["key"].encode() not in stored
    shell.json("key", "withdraw", created["key_id"])
    keys = compile_config(shell.agreement.document()).keys
    assert keys.find(created["key"]) is None
    assert keys.find(KEY.key) is not None


def test_branches_shifts_and_drains(shell: Shell) -> None:
    """Guards against commands that write the wrong settings."""
    shell.json("workspace", "create", "beta", "rate_per_s=5")
    shell.json("service", "create", "stock", "host=stock.example")
    target = ["--address", "127.0.0.1:9001", "--region", "east"]
    more = ["--failure-domain", "east-1", "slots=9"]
    shell.json("target", "add", "stock", "t1", *target, *more)
    shell.json("drain", "start", "/regions/east")
    regions = ["--from-region", "west", "--to-region", "east"]
    shell.json("shift", "start", "s1", *regions, "--cap-share", "0.3")
    config = compile_config(shell.agreement.document())
    assert config.services["stock"].targets["t1"].draining
    assert config.shifts["s1"].state == "running"
    shell.json("drain", "stop", "/regions/east")
    shell.json("shift", "pause", "s1")
    config = compile_config(shell.agreement.document())
    assert not config.services["stock"].targets["t1"].draining
    assert config.shifts["s1"].state == "paused"
    shell.json("shift", "abort", "s1")
    assert shell.run("shift", "start", "s1")[0] == 2


def test_status_and_wait(shell: Shell) -> None:
    """Guards against a --wait that ignores a lagging instance."""
    code, out, _ = shell.run("status")
    assert code == 0 and "entry-2" in out and "dead" in out
    shell.agreement.in_force_revision = 1
    zero_timeout = ["--wait", "--timeout-s", "0"]
    code, out, err = shell.run("set", "/", "lookup_ttl_s=3", *zero_timeout)
    assert code == 5 and "entry-1" in err and "entry-2" not in err
    code, out, err = shell.run(
        "key", "create", "acme", *zero_timeout, "--json"
    )
    body = json.loads(out)
    assert code == 5 and body["in_force"] is False
    keys = compile_config(shell.agreement.document()).keys
    assert keys.find(body["key"]) is not None
    assert shell.agreement.document().config_revision == 3


def test_import_and_export(shell: Shell, tmp_path: Path) -> None:
    """Guards against an export that does not restore the settings."""
    file = str(tmp_path / "settings.json")
    before = shell.agreement.document().tree
    shell.run("export", file)
    shell.json("delete", "/regions/east")
    shell.json("set", "/blocks", "10.7.0.0/16=port")
    code, out, _ = shell.run("diff", file, "--replace")
    assert "create /regions/east" in out and "unset /blocks" in out
    shell.json("import", file, "--replace")
    assert shell.agreement.document().tree == before
    assert shell.json("import", file) == {"changes": 0, "edits": 0}


def test_import_does_not_bring_a_key_back(
    shell: Shell, tmp_path: Path
) -> None:
    """Guards against an old file that makes a withdrawn key valid again."""
    file = str(tmp_path / "settings.json")
    shell.run("export", file)
    shell.json("key", "withdraw", KEY.key_id)
    assert shell.run("import", file)[0] == 2
    keys = compile_config(shell.agreement.document()).keys
    assert keys.find(KEY.key) is None
    shell.json("import", file, "--restore-access")
    keys = compile_config(shell.agreement.document()).keys
    assert keys.find(KEY.key) is not None


def test_large_import_is_split(shell: Shell, tmp_path: Path) -> None:
    """Guards against an import that exceeds the size limit of an edit."""
    file = tmp_path / "settings.json"
    exported = shell.json("export")
    assert isinstance(exported, dict)
    blocks = {f"10.{n >> 8}.{n & 255}.0/24": "port" for n in range(4000)}
    exported["blocks"].update(blocks)
    file.write_text(json.dumps(exported))
    imported = shell.json("import", str(file))
    assert isinstance(imported, dict) and imported["edits"] > 1
    assert len(shell.agreement.document().tree.blocks) == 4002


@pytest.mark.parametrize("loss", ["before", "after"])
def test_lost_answer_is_settled(shell: Shell, loss: str) -> None:
    """Guards against a wrong outcome for an edit whose response was lost."""
    agreement = shell.agreement
    agreement.lost = [loss]
    code, out, _ = shell.run("set", "/", "lookup_ttl_s=3", "--json")
    assert code == 3
    remedy = json.loads(out)["error"]["remedy"]
    edit_id = remedy.split()[-1]
    code, _, err = shell.run("settle", edit_id)
    assert code == (0 if loss == "after" else 1)
    for edit in agreement.lost_edits:
        assert agreement.submit(edit).is_err()
    value = agreement.document().tree.value("/", "lookup_ttl_s")
    assert value == (3.0 if loss == "after" else 5.0)
    assert shell.run("settle", edit_id)[0] == (0 if loss == "after" else 1)


def test_lost_answer_to_the_first_operator(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a deployment whose only token was never printed."""
    shell.agreement.lost = ["after"]
    create = ["operator", "create", "ana", "--role", "write"]
    code, out, _ = shell.run(*create)
    assert code == 3
    assert shell.run("status")[0] == 1
    monkeypatch.setenv("VERBENA_TOKEN", out.split()[0])
    assert shell.run("status")[0] == 0
    shell.agreement.lost = ["before"]
    code, out, _ = shell.run("key", "create", "acme", "--json")
    assert code == 3 and json.loads(out)["error"]["secret"].startswith("vk_")


def test_settle_of_an_edit_beyond_the_history(shell: Shell) -> None:
    """Guards against "not applied" for an edit older than the history."""
    shell.json("set", "/", "lookup_ttl_s=3", "--edit-id", "1-old")
    for number in range(257):
        revision = shell.agreement.document().config_revision
        change = CreateBranch(path=f"/workspaces/w{number}")
        edit = make_edit(f"w{number}", change, read=revision)
        assert shell.agreement.submit(edit).is_ok()
    assert shell.run("settle", "1-old")[0] == 3


def test_same_edit_id_twice(shell: Shell) -> None:
    """Guards against a script's resent edit that is applied twice."""
    create = ["workspace", "create", "beta", "--edit-id", "mine"]
    assert shell.run(*create)[0] == 0
    assert shell.run(*create)[0] == 0
    assert shell.agreement.document().config_revision == 2


def test_instances_are_tried_in_turn(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one dead instance that locks operators out."""
    dead = unused_address()
    monkeypatch.setenv("VERBENA_INSTANCES", f"{dead},{shell.address}")
    assert shell.run("set", "/", "lookup_ttl_s=3")[0] == 0
    assert shell.run("status", "--instance", dead)[0] == 4


def test_refusal_after_a_lost_answer(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against "refused" while the edit may still be applied.

    The first instance may apply an edit whose response was lost, although
    the next instance refuses it.
    """
    instances = f"{shell.address},{shell.address}"
    monkeypatch.setenv("VERBENA_INSTANCES", instances)
    shell.agreement.lost = ["before"]
    code, _, err = shell.run("set", "/workspaces/acme", "burst=1")
    assert code == 3 and "verbena settle" in err
    shell.agreement.lost = ["after"]
    assert shell.run("set", "/", "lookup_ttl_s=3")[0] == 0
    assert shell.agreement.document().config_revision == 2


def test_operators_and_roles(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against edits by operators with the role read."""
    assert shell.run("operator", "create", "eve")[0] == 1
    ana = shell.json("operator", "create", "ana", "--role", "write")
    assert shell.run("status")[0] == 1
    assert isinstance(ana, dict)
    monkeypatch.setenv("VERBENA_TOKEN", ana["token"])
    eve = shell.json("operator", "create", "eve")
    assert isinstance(eve, dict)
    monkeypatch.setenv("VERBENA_TOKEN", eve["token"])
    assert shell.run("status")[0] == 0
    code, _, err = shell.run("set", "/", "lookup_ttl_s=3")
    assert code == 1 and "role read" in err
    # Exit code 1 of settle would say that the edit was not applied.
    assert shell.run("settle", "1-unknown")[0] == 3
    monkeypatch.setenv("VERBENA_TOKEN", eve["token"] + "0")
    assert shell.run("status")[0] == 1
    assert shell.run("settle", "1-unknown")[0] == 3


def test_history_and_writers(shell: Shell) -> None:
    """Guards against a history that names no operator."""
    shell.json("set", "/", "lookup_ttl_s=3")
    code, out, _ = shell.run("history", "--path", "/", "--limit", "1")
    assert "bootstrap" in out and "set / lookup_ttl_s=3.0" in out
    replaced = shell.json("writers", "replace", "--confirm-dead")
    assert isinstance(replaced, dict) and replaced["writers"] == ["entry-1"]


def test_help_has_examples_and_exit_codes(shell: Shell) -> None:
    """Guards against commands whose help lacks an example."""
    code, out, _ = shell.run("--help")
    assert code == 0 and "outcome unknown" in out
    for command in ("get", "set", "import", "status", "settle"):
        code, out, _ = shell.run(command, "--help")
        assert code == 0 and "Example" in out
    for name in ("bash", "zsh", "fish"):
        code, out, _ = shell.run("completion", name)
        assert code == 0 and "--completion=complete" in out


def test_explain_needs_an_instance(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command that asks nobody."""
    monkeypatch.delenv("VERBENA_METRICS", raising=False)
    arguments = ("explain", "--host", "shop.example", "--path", "/x")
    code, _, err = shell.run(*arguments)
    assert code == 2
    assert "--metrics" in err


def test_explain_names_an_address_that_serves_none(
    shell: Shell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a table made of another page."""
    monkeypatch.setenv("VERBENA_METRICS", shell.address)
    arguments = ("explain", "--host", "shop.example", "--path", "/x")
    code, _, err = shell.run(*arguments)
    assert code == 1
    assert "metrics address" in err
