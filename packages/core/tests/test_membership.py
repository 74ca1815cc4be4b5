import random

import cbor2
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from nutmegpost_core import budget
from nutmegpost_core import datagrams
from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import membership
from nutmegpost_standins import network

State = membership.State
# Simulated seconds within which views converge once faults end, at ten members.
CONVERGENCE_S = 60
DEATH_S = 30


def _member(number=1, address="10.0.0.1:7000", **fields):
    return membership.Member(
        f"router-{number:04d}", 1000 + number, address, address, "a", **fields
    )


def _fleet(count, seed=1):
    net = network.Network(seed)
    addresses = [net.start(number) for number in range(count)]
    net.seed_all()
    assert net.run(CONVERGENCE_S, net.has_converged)
    return net, addresses


def _state(net, watcher, number):
    return net.nodes[watcher].members.members[f"router-{number:04d}"].state


def test_empty_disseminator_is_used():
    disseminator = dissemination.Disseminator(random.Random(1))
    view = membership.Membership(
        _member(), random.Random(1), disseminator=disseminator
    )
    other = membership.Membership(_member(2, "10.0.0.2:7000"), random.Random(2))
    disseminator.publish(
        dissemination.Kind.SUCCESSOR, b"key", b"value", 0.0, 60
    )
    view.seed(["10.0.0.2:7000"])
    for datagram in view.tick(0.0):
        for reply in other.receive(datagram.data, "10.0.0.1:7000", 0.0):
            view.receive(reply.data, "10.0.0.2:7000", 0.0)
    sent = view.announce(1.0)
    assert any(b"value" in datagram.data for datagram in sent)


@pytest.mark.parametrize("count", [2, 4, 16])
def test_members_discover_each_other_from_the_vm_list(count):
    net, _ = _fleet(count)
    names = [f"router-{number:04d}" for number in range(count)]
    for node in net.nodes.values():
        assert node.members.alive == names


def test_killed_member_is_dead_everywhere_and_restart_is_new():
    net, addresses = _fleet(5)
    old = net.nodes[addresses[2]].members.local.incarnation
    net.kill(addresses[2])
    assert net.run(DEATH_S, net.has_converged)
    assert _state(net, addresses[0], 2) is State.DEAD
    net.start(2)
    assert net.run(DEATH_S, net.has_converged)
    seen = net.nodes[addresses[0]].members.members["router-0002"]
    assert seen.incarnation != old


def test_restart_before_detection_replaces_the_incarnation():
    for seed in range(12):
        net, addresses = _fleet(4, seed)
        net.kill(addresses[1])
        net.start(1)
        local_member = net.nodes[addresses[1]].members.local
        assert net.run(DEATH_S, net.has_converged)
        for node in net.nodes.values():
            seen = node.members.members[local_member.name]
            assert seen.incarnation == local_member.incarnation


def test_leaving_member_takes_no_work_while_it_is_suspected():
    net, addresses = _fleet(3)
    leaving = net.nodes[addresses[1]].members
    net.send(addresses[1], leaving.announce_leaving(net.now))
    net.run(3)
    watcher = net.nodes[addresses[0]].members
    assert "router-0001" not in watcher.alive
    assert "router-0001" not in leaving.alive
    net.kill(addresses[1])

    def suspected():
        return _state(net, addresses[0], 1) is State.SUSPECT

    assert net.run(DEATH_S, suspected, 0.1)
    assert "router-0001" not in watcher.alive


def test_member_that_left_is_not_declared_dead():
    net, addresses = _fleet(4)
    leaving = net.nodes[addresses[1]].members
    net.send(addresses[1], leaving.announce_leaving(net.now))
    net.send(addresses[1], leaving.announce_left(net.now))
    net.kill(addresses[1])
    net.run(DEATH_S)
    assert _state(net, addresses[0], 1) is State.LEFT


def test_paused_process_declares_no_death_before_an_acknowledgement():
    net, addresses = _fleet(4)
    net.pause(addresses[0], 40)
    net.run(39)
    survivors = {a: n for a, n in net.nodes.items() if a != addresses[0]}
    for node in survivors.values():
        assert "router-0000" not in node.members.alive
    net.nodes[addresses[0]].members.changes()
    net.run(15)
    changes = net.nodes[addresses[0]].members.changes()
    assert not [c for c in changes if c.member.state is State.DEAD]
    assert net.run(CONVERGENCE_S, net.has_converged)


def test_paused_process_without_acknowledgements_declares_deaths_late():
    net, addresses = _fleet(3)
    net.pause(addresses[0], 5)
    net.kill(addresses[1])
    net.kill(addresses[2])
    net.run(6)
    view = net.nodes[addresses[0]].members
    assert view.is_stale
    assert len(view.alive) == 3
    net.run(60)
    assert view.alive == ["router-0000"]


def test_partition_heals():
    net, addresses = _fleet(8)
    net.partition([addresses[:3], addresses[3:]])
    net.run(60)
    assert len(net.nodes[addresses[0]].members.alive) == 3
    assert len(net.nodes[addresses[7]].members.alive) == 5
    net.partition([])
    assert net.run(CONVERGENCE_S, net.has_converged)


def test_partition_longer_than_the_retention_of_dead_members_heals():
    net, addresses = _fleet(4)
    net.partition([addresses[:2], addresses[2:]])
    net.run(700)
    assert len(net.nodes[addresses[0]].members.members) == 4
    net.partition([])
    assert net.run(CONVERGENCE_S, net.has_converged)


def test_flapping_member_is_held_down():
    net, addresses = _fleet(4)
    view = net.nodes[addresses[0]].members
    for _ in range(3):
        net.partition([[addresses[3]]])
        assert net.run(DEATH_S, lambda: _state(net, addresses[0], 3) == "dead")
        net.partition([])
        assert net.run(DEATH_S, lambda: _state(net, addresses[0], 3) == "alive")
    assert "router-0003" not in view.alive
    net.run(40)
    assert "router-0003" in view.alive


def test_dead_members_outside_the_vm_list_are_removed():
    net, addresses = _fleet(3)
    net.kill(addresses[2])
    assert net.run(DEATH_S, net.has_converged)
    net.vm_addresses.remove(addresses[2])
    net.seed_all()
    net.run(700)
    assert "router-0002" not in net.nodes[addresses[0]].members.members


def test_configuration_is_disseminated():
    net, addresses = _fleet(4)
    net.nodes[addresses[0]].members.set_configuration(9, "cd" * 32)
    net.run(10)
    for address in addresses[1:]:
        view = net.nodes[address].members
        assert view.members["router-0000"].config_version == 9
        changed = [
            member
            for member in view.changed_configurations()
            if member.name == "router-0000"
        ]
        assert changed[-1].config_digest == "cd" * 32
        assert not view.changed_configurations()


def test_urgent_items_arrive_within_a_second():
    net, addresses = _fleet(16)
    net.run(20)
    node = net.nodes[addresses[0]]
    node.disseminator.publish(
        dissemination.Kind.SUSPECT_REQUEST, b"k" * 20, b"1", net.now, 600
    )
    net.send(addresses[0], node.members.announce(net.now))
    net.run(1)
    for address in addresses[1:]:
        assert len(net.nodes[address].disseminator) == 1


def test_joining_member_receives_synchronized_items():
    net, addresses = _fleet(4)
    disseminator = net.nodes[addresses[0]].disseminator
    for number in range(100):
        disseminator.publish(
            dissemination.Kind.SUCCESSOR,
            b"%d" % number,
            b"v" * 20,
            net.now,
            3_600,
        )
    net.run(60)
    address = net.start(9)
    net.seed_all()
    net.run(60)
    assert len(net.nodes[address].disseminator) == 100


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x80",
        b"\xa0",
        b"x" * 1_201,
        b"\x9f" * 300,
        datagrams.encode(
            datagrams.Packet(
                1,
                0,
                0,
                datagrams.Entry("r", 1, 0, 99, b"123456", b"123456", "a"),
                0,
                b"",
            )
        ),
        datagrams.encode(
            datagrams.Packet(
                1, 0, 0, datagrams.Entry("r", 1, 0, 0, b"1", b"1", "a"), 0, b""
            )
        ),
    ],
)
def test_malformed_datagrams_are_refused(data):
    view = membership.Membership(_member(), random.Random(1))
    with pytest.raises(errors.PeerError):
        view.receive(data, "10.0.0.9:7000", 0.0)


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "999.1.1.1:80"]
)
def test_malformed_address_in_the_vm_list_is_ignored(address):
    view = membership.Membership(_member(), random.Random(1))
    view.seed([address, "10.0.0.2:7000"])
    targets = {
        datagram.address
        for second in range(20)
        for datagram in view.tick(float(second))
    }
    assert targets == {"10.0.0.2:7000"}


def test_member_with_port_0_is_refused():
    entry = datagrams.Entry("r", 1, 0, 0, b"1234\0\0", b"1234\0\0", "a")
    data = datagrams.encode(datagrams.Packet(1, 0, 0, entry, 0, b""))
    view = membership.Membership(_member(), random.Random(1))
    with pytest.raises(errors.PeerError):
        view.receive(data, "10.0.0.9:7000", 0.0)


def test_unknown_trailing_fields_of_a_datagram_are_ignored():
    packet = datagrams.Packet(
        2,
        0,
        7,
        datagrams.Entry("r", 1, 0, 0, b"123456", b"123456", "a"),
        0,
        b"",
    )
    data = datagrams.encode((*packet, "later"))
    assert datagrams.decode(data) == packet


def test_traffic_does_not_grow_with_the_fleet():
    rates = []
    for count in (4, 32):
        net, _ = _fleet(count)
        before = sum(node.sent_bytes for node in net.nodes.values())
        net.run(60)
        after = sum(node.sent_bytes for node in net.nodes.values())
        rates.append((after - before) / count / 60)
    assert rates[1] < 1.3 * rates[0]


def test_no_member_is_suspected_while_a_fleet_starts():
    net = network.Network(1)
    for number in range(120):
        net.start(number)
    net.seed_all()
    net.run(20)
    for node in net.nodes.values():
        assert node.members.local.revision == 0
        states = {member.state for member in node.members.members.values()}
        assert states == {State.ALIVE}


def test_members_from_a_snapshot_are_not_disseminated():
    view = membership.Membership(_member(), random.Random(1))
    others = [_member(n, f"10.0.0.{n}:7000") for n in range(1, 40)]
    view.add_members(others, 0.0)
    assert len(view.alive) == 39
    sent = view.announce(0.0)
    assert all(b"router-0009" not in item.data for item in sent)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Random faults in a fleet; views converge once the faults end."""

    count = 6

    @stateful.initialize(seed=st.integers(0, 2**20))
    def start(self, seed):
        self.net = network.Network(seed)
        self.numbers = {}
        for number in range(self.count):
            self.numbers[self.net.start(number)] = number
        self.net.seed_all()

    def _address(self, number):
        addresses = [a for a, n in self.numbers.items() if n == number]
        return addresses[0] if addresses[0] in self.net.nodes else None

    @stateful.rule(seconds=st.sampled_from([0.5, 2, 7, 20]))
    def run(self, seconds):
        self.net.run(seconds)

    @stateful.rule(
        loss=st.sampled_from([0, 0.1, 0.3]),
        doubling=st.sampled_from([0, 0.2]),
        delay=st.sampled_from([0.005, 0.3, 1.5]),
    )
    def disturb(self, loss, doubling, delay):
        self.net.faults = network.Faults(loss, doubling, delay)

    @stateful.rule(number=st.integers(0, 5))
    def kill(self, number):
        address = self._address(number)
        if address is not None and len(self.net.nodes) > 1:
            self.net.kill(address)

    @stateful.rule(number=st.integers(0, 5))
    def restart(self, number):
        if self._address(number) is not None:
            self.net.kill(self._address(number))
        self.net.start(number)

    @stateful.rule(number=st.integers(0, 5), seconds=st.sampled_from([2, 30]))
    def pause(self, number, seconds):
        address = self._address(number)
        if address is not None:
            self.net.pause(address, seconds)

    @stateful.rule(at=st.integers(1, 5))
    def partition(self, at):
        addresses = list(self.numbers)
        self.net.partition([addresses[:at], addresses[at:]])

    @stateful.rule(number=st.integers(0, 5))
    def publish(self, number):
        address = self._address(number)
        if address is not None:
            self.net.nodes[address].disseminator.publish(
                dissemination.Kind.SUCCESSOR,
                b"%d" % number,
                b"%d" % self.net.now,
                self.net.now,
                3_600,
            )

    @stateful.rule()
    def settle(self):
        """Checks that all views converge after the faults end."""
        self.net.faults = network.Faults()
        self.net.partition([])
        for node in self.net.nodes.values():
            if node.paused_until:
                node.paused_until = self.net.now
        assert self.net.run(CONVERGENCE_S, self._agrees)

    def _agrees(self):
        nodes = list(self.net.nodes.values())
        digests = {node.disseminator.digest() for node in nodes}
        return self.net.has_converged() and len(digests) == 1

    @stateful.invariant()
    def budget_holds(self):
        for node in getattr(self, "net", network.Network(0)).nodes.values():
            assert node.peak_bytes <= budget.RATE_BYTES_PER_S + 1


FleetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFleet = FleetMachine.TestCase


@pytest.mark.parametrize("seed", range(20))
def test_joining_member_syncs_as_soon_as_it_has_the_vm_list(seed):
    local_member = membership.Member(
        "router-0001", 1001, "10.0.0.1:7000", "10.0.0.1:7000", "a"
    )
    view = membership.Membership(local_member, random.Random(seed))
    assert view.tick(0.0) == []
    view.seed(["10.0.0.2:7000"])
    assert view.tick(0.05)


def _have_state(net, number, state):
    name = f"router-{number:04d}"
    return [
        node.members.members[name].state is state
        for node in net.nodes.values()
        if node.members.local.name != name and name in node.members.members
    ]


@pytest.mark.parametrize("seed", range(5))
def test_suspicion_is_announced_at_once(seed):
    net, addresses = _fleet(4, seed)
    net.kill(addresses[2])
    assert net.run(
        DEATH_S, lambda: any(_have_state(net, 2, State.SUSPECT)), 0.01
    )
    net.run(0.1)
    assert all(_have_state(net, 2, State.SUSPECT))


@pytest.mark.parametrize("seed", range(5))
def test_restart_is_announced_at_once(seed):
    net, addresses = _fleet(4, seed)
    net.kill(addresses[1])
    assert net.run(DEATH_S, lambda: all(_have_state(net, 1, State.DEAD)), 0.1)
    net.start(1)
    net.seed_all()
    assert net.run(DEATH_S, lambda: any(_have_state(net, 1, State.ALIVE)), 0.01)
    net.run(0.1)
    assert all(_have_state(net, 1, State.ALIVE))


def test_suspect_is_alive_and_not_reachable():
    view = membership.Membership(_member(), random.Random(1))
    suspect = _member(2, "10.0.0.2:7000", state=State.SUSPECT)
    view.add_members([suspect, _member(3, "10.0.0.3:7000")], 0.0)
    assert view.alive == ["router-0001", "router-0002", "router-0003"]
    assert view.reachable == ["router-0001", "router-0003"]


def test_joining_member_syncs_with_all_contacts():
    view = membership.Membership(_member(), random.Random(1))
    contacts = [f"10.0.0.{number}:7000" for number in (2, 3, 4)]
    view.seed(contacts)
    assert sorted(item.address for item in view.tick(0.0)) == contacts


def _exchange(first, second, now=1.0):
    """Runs probes of the first member until the second has replied."""
    first.seed(["10.0.0.2:7000"])
    for datagram in first.tick(now):
        for reply in second.receive(datagram.data, "10.0.0.1:7000", now):
            first.receive(reply.data, "10.0.0.2:7000", now)


def test_capacity_arrives_with_the_description_of_a_member():
    """Guards against members whose capacity is unknown until they probe."""
    view = membership.Membership(_member(capacity=700), random.Random(1))
    other = membership.Membership(
        _member(2, "10.0.0.2:7000", capacity=300), random.Random(2)
    )
    third = _member(3, "10.0.0.3:7000")
    other.add_members([third._replace(capacity=900)], 0.0)
    other._pending_updates[third.name] = 0
    view.set_load(41)
    version = view.view_version
    _exchange(view, other)
    members = view.members
    assert members["router-0002"].capacity == 300
    assert members["router-0003"].capacity == 900
    assert view.view_version > version
    assert other.members["router-0001"].capacity == 700
    assert other.loads["router-0001"].load == 41


def test_builds_without_capacities_understand_the_datagrams():
    """Guards against datagrams that older builds refuse, or lose members by."""
    entry = datagrams.Entry("r", 1, 0, 0, b"123456", b"123456", "a")
    packet = datagrams.Packet(1, 0, 5, entry, 0, b"", entries=[entry])
    encoded = datagrams.encode(packet)
    assert len(cbor2.loads(encoded)) == 12
    assert datagrams.decode(encoded) == packet
    announcing = packet._replace(capacity=36, load=5, entry_capacities=[9])
    view = membership.Membership(_member(), random.Random(1))
    view.add_members([_member(2, "10.0.0.2:7000")], 0.0)
    for datagram in view.tick(1.0):
        assert len(cbor2.loads(datagram.data)) == 12
    fields = cbor2.loads(datagrams.encode(announcing))
    # A build without the fields cuts those that it does not know.
    assert fields[:12] == cbor2.loads(encoded)
    assert datagrams.decode(datagrams.encode(announcing)) == announcing
