"""Tests of the acceptance of configurations, in one process and a fleet."""

import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from nutmegpost_core import acceptance
from nutmegpost_core import configuration
from nutmegpost_core import invariants


def _document(version, bound=1.25):
    content = {
        "version": version,
        "load_bound": bound,
        "classes": [
            {"name": "quick", "rank": 1, "first_token_ms": 500, "worth": 5}
        ],
        "accounts": [],
        "models": [],
        "services": [],
    }
    return json.dumps(content).encode()


def _accepted(data):
    return acceptance.Accepted(configuration.parse(data, "test"))


def test_higher_version_is_accepted():
    state = acceptance.Acceptance()
    assert not state.ready
    assert state.consider(_document(3), "test") == _accepted(_document(3))
    assert state.consider(_document(5), "test") == _accepted(_document(5))
    assert (state.version, state.ready) == (5, True)


def test_same_older_and_invalid_documents_change_nothing():
    state = acceptance.Acceptance()
    state.consider(_document(3), "test")
    assert state.consider(_document(3), "test") == acceptance.Unchanged()
    assert state.consider(_document(2), "test") == acceptance.Outdated(2)
    refused = state.consider(b"{}", "test")
    assert isinstance(refused, acceptance.Refused)
    invalid = state.consider(_document(4, bound=0), "test")
    assert isinstance(invalid, acceptance.Refused)
    assert state.version == 3


def test_different_content_is_a_conflict_until_the_next_version():
    state = acceptance.Acceptance()
    state.consider(_document(3), "test")
    verdict = state.consider(_document(3, bound=2), "test")
    assert isinstance(verdict, acceptance.Conflict)
    assert state.has_conflict
    assert state.in_force.document["load_bound"] == 1.25
    state.consider(_document(4), "test")
    assert not state.has_conflict


def test_content_of_a_peer_is_compared_by_digest():
    state = acceptance.Acceptance()
    state.consider(_document(3), "test")
    digest = state.in_force.digest
    assert state.compare(3, digest)
    assert state.compare(3, digest[:8])
    assert state.compare(2, "00")
    assert not state.has_conflict
    assert not state.compare(3, "00")
    assert state.has_conflict


def test_new_process_accepts_nothing_below_an_observed_version():
    state = acceptance.Acceptance()
    assert state.observe_version(5)
    assert state.consider(_document(4), "test") == acceptance.Outdated(4)
    assert not state.ready
    state.consider(_document(5), "test")
    assert state.ready


def test_new_process_is_not_ready_while_it_is_behind():
    state = acceptance.Acceptance()
    state.consider(_document(3), "test")
    state.observe_version(5)
    assert not state.ready
    state.consider(_document(4), "test")
    assert (state.version, state.ready) == (4, False)
    state.consider(_document(5), "test")
    assert state.ready


def test_reverting_violates_an_invariant():
    state = acceptance.Acceptance()
    state.consider(_document(3), "test")
    with pytest.raises(invariants.InvariantError):
        state._accept(configuration.parse(_document(2), "test"))


class _Process:
    def __init__(self):
        self.state = acceptance.Acceptance()
        self.version = 0
        self.digests = {}
        self.observed_version = 0


class Fleet(stateful.RuleBasedStateMachine):
    """Processes that read from an unreliable service and from each other."""

    def __init__(self):
        super().__init__()
        self.published = {1: [_document(1)]}
        self.served = (1, 0)
        self.processes = {name: _Process() for name in "abc"}

    @stateful.rule(contents=st.sampled_from([1, 1, 1, 2]))
    def publish(self, contents):
        version = max(self.published) + 1
        self.published[version] = [
            _document(version, bound=1 + number) for number in range(contents)
        ]

    @stateful.rule(data=st.data())
    def serve(self, data):
        """Makes the service return any published version and content."""
        version = data.draw(st.sampled_from(sorted(self.published)))
        contents = self.published[version]
        self.served = (version, data.draw(st.integers(0, len(contents) - 1)))

    @stateful.rule(name=st.sampled_from("abc"), is_truncated=st.booleans())
    def read(self, name, is_truncated):
        version, content = self.served
        data = self.published[version][content]
        self.processes[name].state.consider(
            data[:-1] if is_truncated else data, "service"
        )

    @stateful.rule(name=st.sampled_from("abc"), peer=st.sampled_from("abc"))
    def read_from_peer(self, name, peer):
        in_force = self.processes[peer].state.in_force
        if in_force:
            self.processes[name].state.consider(in_force.data, peer)

    @stateful.rule(name=st.sampled_from("abc"), peer=st.sampled_from("abc"))
    def gossip(self, name, peer):
        in_force = self.processes[peer].state.in_force
        process = self.processes[name]
        if in_force:
            process.observed_version = max(
                process.observed_version, in_force.version
            )
            same = process.state.compare(in_force.version, in_force.digest)
            own = process.state.in_force
            if own and own.version == in_force.version:
                assert same == (own.digest == in_force.digest)

    @stateful.rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.processes[name] = _Process()

    @stateful.invariant()
    def never_reverts(self):
        for process in self.processes.values():
            in_force = process.state.in_force
            if in_force is None:
                continue
            assert in_force.version >= process.version
            process.version = in_force.version
            first_digest = process.digests.setdefault(
                in_force.version, in_force.digest
            )
            assert first_digest == in_force.digest

    @stateful.invariant()
    def ready_only_at_the_observed_version(self):
        for process in self.processes.values():
            if process.state.ready:
                assert process.state.version >= process.observed_version

    def teardown(self):
        """A new version with one content resolves every difference."""
        version = max(self.published) + 1
        for process in self.processes.values():
            process.state.consider(_document(version), "service")
        states = [process.state for process in self.processes.values()]
        assert len({state.in_force.digest for state in states}) == 1
        assert all(state.ready for state in states)
        assert not any(state.has_conflict for state in states)


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=30
)
