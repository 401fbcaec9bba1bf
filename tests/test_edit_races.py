"""Concurrent edits by two operators, compared with a plain dictionary."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    Edit,
    SetValue,
    UnsetValue,
)

FIELD = "deadline_s"
DEFAULT = 30.0
# The branches in which a value is looked up, written by hand.
ORDER = {
    "/": ["/"],
    "/workspaces/a": ["/workspaces/a", "/"],
    "/services/s": ["/services/s", "/"],
    "/workspaces/a/services/s": [
        "/workspaces/a/services/s",
        "/workspaces/a",
        "/services/s",
        "/",
    ],
}
NEEDS = {
    "/workspaces/a/services/s": ["/workspaces/a", "/services/s"],
}
OPERATORS = st.sampled_from(["ana", "ben"])
PATHS = st.sampled_from(sorted(ORDER))
CHANGES = st.one_of(
    st.builds(
        lambda path, value: SetValue(path=path, field=FIELD, value=value),
        PATHS,
        st.integers(1, 4),
    ),
    st.builds(lambda path: UnsetValue(path=path, field=FIELD), PATHS),
    st.builds(lambda path: CreateBranch(path=path), PATHS),
    st.builds(lambda path: DeleteBranch(path=path), PATHS),
)


@dataclass
class Oracle:
    """The settings as a dictionary, and the outcome of each edit id."""

    revision: int = 0
    branches: set[str] = field(default_factory=lambda: {"/"})
    values: dict[str, float] = field(default_factory=dict)
    touched: list[tuple[int, str, bool]] = field(default_factory=list)
    outcomes: dict[str, str] = field(default_factory=dict)

    def lookup(self, path: str) -> float:
        """Return the effective value."""
        for branch in ORDER[path]:
            if branch in self.values:
                return self.values[branch]
        return DEFAULT

    def deliver(self, edit: Edit) -> bool:
        """Apply an edit once; return whether it is accepted."""
        known = self.outcomes.get(edit.edit_id)
        if known is not None:
            return known == "applied"
        if any(self._conflicts(edit, change) for change in edit.changes):
            return False
        branches, values = set(self.branches), dict(self.values)
        for change in edit.changes:
            if not _change(branches, values, change):
                return False
        for path in branches & set(NEEDS):
            if not set(NEEDS[path]) <= branches:
                return False
        self.branches, self.values = branches, values
        self.revision += 1
        self.outcomes[edit.edit_id] = "applied"
        for change in edit.changes:
            deletes = isinstance(change, DeleteBranch)
            self.touched.append((self.revision, change.path, deletes))
        return True

    def cancel(self, edit_id: str) -> bool:
        """Cancel an edit id; return whether the edit was not applied."""
        if edit_id not in self.outcomes:
            self.revision += 1
            self.outcomes[edit_id] = "cancelled"
        return self.outcomes[edit_id] == "cancelled"

    def _conflicts(self, edit: Edit, change: Change) -> bool:
        deletes = isinstance(change, DeleteBranch)
        for revision, path, deleted in self.touched:
            if revision <= edit.read_revision:
                continue
            is_below_change = deletes and path.startswith(change.path + "/")
            is_below_deleted = deleted and change.path.startswith(path + "/")
            if path == change.path or is_below_change or is_below_deleted:
                return True
        return False


def _change(
    branches: set[str], values: dict[str, float], change: Change
) -> bool:
    path = change.path
    match change:
        case CreateBranch():
            parent = path.rsplit("/", 2)[0] or "/"
            allowed = path not in branches and parent in branches
            branches.add(path)
            return allowed
        case DeleteBranch():
            gone = {
                b for b in branches if b == path or b.startswith(path + "/")
            }
            branches -= gone
            for branch in gone:
                values.pop(branch, None)
            return bool(gone) and path != "/"
        case SetValue(value=value):
            values[path] = float(value)  # type: ignore[arg-type]
            return path in branches
        case UnsetValue():
            return values.pop(path, None) is not None


class RacingOperators(RuleBasedStateMachine):
    """Two operators whose requests and answers are sometimes lost."""

    def __init__(self) -> None:
        super().__init__()
        self.document = ConfigDocument()
        self.oracle = Oracle()
        self.read = {"ana": 0, "ben": 0}
        self.unsettled: list[Edit] = []
        self.count = 0

    @initialize(paths=st.sets(PATHS.filter(lambda path: path != "/")))
    def create_branches(self, paths: set[str]) -> None:
        """Create some branches, so that edits below them can conflict."""
        needed = {need for path in paths for need in NEEDS.get(path, [])}
        changes = [CreateBranch(path=p) for p in sorted(paths | needed)]
        if changes:
            self._deliver(self._new_edit("ana", changes, None))
        self.read = dict.fromkeys(self.read, self.document.config_revision)

    @rule(operator=OPERATORS)
    def read_configuration(self, operator: str) -> None:
        """Let an operator read the newest revision."""
        self.read[operator] = self.document.config_revision

    @rule(
        operator=OPERATORS,
        changes=st.lists(CHANGES, min_size=1, max_size=2),
        loss=st.sampled_from(["none", "request", "answer"]),
        expects=st.booleans(),
    )
    def edit(
        self, operator: str, changes: list[Change], loss: str, expects: bool
    ) -> None:
        """Send an edit; its request or its answer may be lost."""
        expected = self.read[operator] if expects else None
        edit = self._new_edit(operator, changes, expected)
        if loss != "request":
            self._deliver(edit)
        if loss != "none":
            self.unsettled.append(edit)

    @precondition(lambda self: self.unsettled)
    @rule(data=st.data())
    def send_again(self, data: st.DataObject) -> None:
        """Resend an edit whose outcome is unknown."""
        self._deliver(data.draw(st.sampled_from(self.unsettled)))

    @precondition(lambda self: self.unsettled)
    @rule(data=st.data())
    def settle(self, data: st.DataObject) -> None:
        """Cancel an edit whose outcome is unknown."""
        edit = data.draw(st.sampled_from(self.unsettled))
        cancellation = Edit(
            edit_id=edit.edit_id,
            operator=edit.operator,
            read_revision=edit.read_revision,
            changes=(),
        )
        result = self.document.apply_edit(cancellation)
        cancelled = self.oracle.cancel(edit.edit_id)
        assert result.is_ok() == cancelled
        if not cancelled:
            assert result.unwrap_err().code == "already-accepted"
        self.document = result.unwrap_or(self.document)

    @invariant()
    def values_agree(self) -> None:
        """Compare every effective value with the dictionary."""
        assert self.document.config_revision == self.oracle.revision
        tree = self.document.tree
        assert set(tree.paths()) == self.oracle.branches
        for path in self.oracle.branches:
            assert tree.value(path, FIELD) == self.oracle.lookup(path)

    def teardown(self) -> None:
        """Check that the document can be encoded and decoded."""
        decoded = ConfigDocument.from_bytes(self.document.to_bytes())
        assert decoded == self.document

    def _new_edit(
        self, operator: str, changes: list[Change], expected: int | None
    ) -> Edit:
        self.count += 1
        return Edit(
            edit_id=f"e{self.count}",
            operator=operator,
            read_revision=self.read[operator],
            expected_revision=expected,
            changes=tuple(changes),
        )

    def _deliver(self, edit: Edit) -> None:
        known = edit.edit_id in self.oracle.outcomes
        expected = edit.expected_revision
        mismatch = expected not in (None, self.oracle.revision)
        result = self.document.apply_edit(edit)
        if mismatch and not known:
            assert result.unwrap_err().code == "revision-mismatch"
            return
        assert result.is_ok() == self.oracle.deliver(edit), result
        self.document = result.unwrap_or(self.document)


TestRacingOperators = RacingOperators.TestCase
TestRacingOperators.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
)
