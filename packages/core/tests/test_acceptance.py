"""Tests of the acceptance of configurations, alone and in a fleet."""

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


def test_higher_version_comes_into_force():
    held = acceptance.Acceptance()
    assert not held.ready
    assert held.consider(_document(3), "test") == _accepted(_document(3))
    assert held.consider(_document(5), "test") == _accepted(_document(5))
    assert (held.version, held.ready) == (5, True)


def test_same_older_and_broken_documents_change_nothing():
    held = acceptance.Acceptance()
    held.consider(_document(3), "test")
    assert held.consider(_document(3), "test") == acceptance.Same()
    assert held.consider(_document(2), "test") == acceptance.Old(2)
    refused = held.consider(b"{}", "test")
    assert isinstance(refused, acceptance.Refused)
    broken = held.consider(_document(4, bound=0), "test")
    assert isinstance(broken, acceptance.Refused)
    assert held.version == 3


def test_second_content_of_a_version_is_a_conflict_until_the_next():
    held = acceptance.Acceptance()
    held.consider(_document(3), "test")
    found = held.consider(_document(3, bound=2), "test")
    assert isinstance(found, acceptance.Conflict)
    assert held.is_contested
    assert held.in_force.document["load_bound"] == 1.25
    held.consider(_document(4), "test")
    assert not held.is_contested


def test_content_of_a_peer_is_compared():
    held = acceptance.Acceptance()
    held.consider(_document(3), "test")
    digest = held.in_force.digest
    assert held.compare(3, digest)
    assert held.compare(3, digest[:8])
    assert held.compare(2, "00")
    assert not held.is_contested
    assert not held.compare(3, "00")
    assert held.is_contested


def test_new_process_takes_nothing_below_what_it_heard_of():
    held = acceptance.Acceptance()
    assert held.floor(5)
    assert held.consider(_document(4), "test") == acceptance.Old(4)
    assert not held.ready
    held.consider(_document(5), "test")
    assert held.ready


def test_new_process_is_not_ready_while_it_is_behind():
    held = acceptance.Acceptance()
    held.consider(_document(3), "test")
    held.floor(5)
    assert not held.ready
    held.consider(_document(4), "test")
    assert (held.version, held.ready) == (4, False)
    held.consider(_document(5), "test")
    assert held.ready


def test_going_back_is_a_violated_invariant():
    held = acceptance.Acceptance()
    held.consider(_document(3), "test")
    with pytest.raises(invariants.InvariantError):
        held._accept(configuration.parse(_document(2), "test"))


class _Process:
    def __init__(self):
        self.held = acceptance.Acceptance()
        self.version = 0
        self.digests = {}
        self.heard = 0


class Fleet(stateful.RuleBasedStateMachine):
    """Processes that read from an unreliable service and from one another."""

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
        """The service shows any version, new or old, and any content."""
        version = data.draw(st.sampled_from(sorted(self.published)))
        contents = self.published[version]
        self.served = (version, data.draw(st.integers(0, len(contents) - 1)))

    @stateful.rule(name=st.sampled_from("abc"), is_broken=st.booleans())
    def read(self, name, is_broken):
        version, content = self.served
        data = self.published[version][content]
        self.processes[name].held.consider(
            data[:-1] if is_broken else data, "service"
        )

    @stateful.rule(name=st.sampled_from("abc"), peer=st.sampled_from("abc"))
    def read_from_peer(self, name, peer):
        in_force = self.processes[peer].held.in_force
        if in_force:
            self.processes[name].held.consider(in_force.data, peer)

    @stateful.rule(name=st.sampled_from("abc"), peer=st.sampled_from("abc"))
    def gossip(self, name, peer):
        in_force = self.processes[peer].held.in_force
        process = self.processes[name]
        if in_force:
            process.heard = max(process.heard, in_force.version)
            same = process.held.compare(in_force.version, in_force.digest)
            own = process.held.in_force
            if own and own.version == in_force.version:
                assert same == (own.digest == in_force.digest)

    @stateful.rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.processes[name] = _Process()

    @stateful.invariant()
    def never_reverts(self):
        for process in self.processes.values():
            in_force = process.held.in_force
            if in_force is None:
                continue
            assert in_force.version >= process.version
            process.version = in_force.version
            known = process.digests.setdefault(
                in_force.version, in_force.digest
            )
            assert known == in_force.digest

    @stateful.invariant()
    def ready_only_at_what_was_heard(self):
        for process in self.processes.values():
            if process.held.ready:
                assert process.held.version >= process.heard

    def teardown(self):
        """A new version under one content ends every difference."""
        version = max(self.published) + 1
        for process in self.processes.values():
            process.held.consider(_document(version), "service")
        helds = [process.held for process in self.processes.values()]
        assert len({held.in_force.digest for held in helds}) == 1
        assert all(held.ready for held in helds)
        assert not any(held.is_contested for held in helds)


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=30
)
