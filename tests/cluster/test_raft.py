"""Raft consensus: random faults in virtual time with a history checker, planted faults, and single cases."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from raft_faults import ActsAfterItsLease, VotesDuringALease, VotesTwice

from valeturn.cluster import raft
from valeturn.cluster.raft import Persist, RaftNode, Role, Send
from valeturn.cluster.raft_log import DurableState, LogEntry
from valeturn.cluster.replicated_state import ClusterState
from valeturn.lab.ownervirtual import LEASE, FaultSimulation, measure_owner_loss, play
from valeturn.transport.seeded_random import SeededRandom

FAST = settings(derandomize=True, deadline=None, max_examples=200)


@pytest.mark.parametrize("count, seed", [(3, n) for n in range(1, 9)] + [(5, n) for n in range(1, 9)])
def test_random_faults_never_give_two_leases_at_once_and_never_change_committed_entries(count, seed):
    storm = play(count, 60, seed)
    checker = storm.checker
    assert not checker.violation_count(), (
        checker.simultaneous_owners[:2],
        checker.diverging_commands[:2],
        checker.duplicate_leaders[:2],
        checker.decreased_fencing_tokens[:2],
    )
    assert len(checker.terms) > 3 and checker.committed_commands, "there were faults"
    assert storm.leader() is not None and not storm.wiped, "and it ends with a leader"


class PersistsOnlyItsFirstEntries(RaftNode):
    def take_effects(self):
        effects = super().take_effects()
        if self.last_position().last_index > 4:
            effects = [effect for effect in effects if not isinstance(effect, Persist)]
        return effects


class LeaseFromTheAcknowledgement(RaftNode):
    """Starts the lease when an acknowledgement arrives, however old its round is."""

    def on_append_response(self, now, sender, message):
        answered = self.rounds.get(message.round_number)
        if answered is not None:
            self.rounds[message.round_number] = answered._replace(sent_at=now)
        super().on_append_response(now, sender, message)


PLANTED = [
    VotesDuringALease,
    ActsAfterItsLease,
    PersistsOnlyItsFirstEntries,
    VotesTwice,
    LeaseFromTheAcknowledgement,
]
# Rarer faults, such as acknowledgements of an earlier incarnation, have tests of their own below.


@pytest.mark.parametrize("planted", PLANTED)
def test_history_checker_finds_each_planted_fault(planted, monkeypatch):
    """Here all election time-outs are equal and a third of the messages late or lost, so that votes split."""
    monkeypatch.setattr(raft, "ELECTION_SPREAD", 0.0)
    for seed in range(1, 201):
        if play(3 + 2 * (seed % 2), 40, seed, owner=planted, loss=0.1, late=0.25).checker.violation_count():
            return
    raise AssertionError("two hundred fault schedules and nothing found")


def test_history_checker_finds_nothing_without_a_planted_fault(monkeypatch):
    monkeypatch.setattr(raft, "ELECTION_SPREAD", 0.0)
    for seed in range(1, 13):
        assert not play(3 + 2 * (seed % 2), 40, seed, loss=0.1, late=0.25).checker.violation_count()


def stable_cluster(count=3, seed=1):
    storm = FaultSimulation(count, seed, loss=0.0, duplicated=0.0, late=0.0)
    storm.run(5 * LEASE)
    assert storm.leader() is not None
    return storm


def test_paused_leader_does_not_act_when_it_resumes_and_follows_its_successor():
    storm = stable_cluster()
    old_leader = storm.leader()
    old_leader.suspended = True
    storm.run(storm.now + 4 * LEASE)
    new_leader = storm.leader()
    assert new_leader is not None and new_leader is not old_leader
    old_leader.suspended = False
    assert not old_leader.owner.holds_lease(old_leader.clock()), "before it has received any message"
    assert not old_leader.owner.propose(old_leader.clock(), ("grant", "d", old_leader.name, 1))
    storm.resume(old_leader)
    storm.run(storm.now + LEASE)
    assert (
        old_leader.owner.role == Role.FOLLOWER
        and old_leader.owner.durable.term >= new_leader.owner.durable.term
    )


@pytest.mark.parametrize("hears", [True, False])
def test_one_way_partition_of_the_leader_leads_to_another_leader(hears):
    storm = stable_cluster()
    old_leader = storm.leader()
    others = [name for name in storm.voters if name != old_leader.name]
    storm.blocked_links = {
        (name, old_leader.name) if not hears else (old_leader.name, name) for name in others
    }
    storm.run(storm.now + 6 * LEASE)
    assert storm.leader() is not None and storm.leader() is not old_leader
    assert not storm.checker.violation_count()


def test_no_leader_without_a_majority_until_the_partition_heals():
    storm = stable_cluster(4)
    names = sorted(storm.voters)
    storm.blocked_links = {(a, b) for a in names for b in names if (a in names[:2]) != (b in names[:2])}
    storm.run(storm.now + 10 * LEASE)
    assert storm.leader() is None
    storm.blocked_links = set()
    storm.run(storm.now + 6 * LEASE)
    assert storm.leader() is not None and not storm.checker.violation_count()


def test_pre_vote_keeps_a_partitioned_voter_from_deposing_the_leader():
    storm = stable_cluster()
    leader = storm.leader()
    term, away = leader.owner.durable.term, next(n for n in storm.voters if n != leader.name)
    storm.blocked_links = {(a, b) for a in storm.voters for b in storm.voters if away in (a, b)}
    storm.run(storm.now + 20 * LEASE)
    storm.blocked_links = set()
    storm.run(storm.now + 5 * LEASE)
    assert storm.leader() is leader and leader.owner.durable.term == term, "it only requested pre-votes"


def test_voter_without_durable_state_votes_only_after_removal_and_addition():
    storm = stable_cluster()
    leader = storm.leader()
    lost = next(v for v in storm.voters.values() if v is not leader)
    lost.up = False
    storm.run(storm.now + LEASE)
    storm.wiped.add(lost.name)
    storm.restart(lost, True)
    assert lost.owner.durable.state_lost and not lost.owner.may_vote()
    assert lost.owner.receive(lost.clock(), "x", "vote", [99, 99, 99, True]) == []
    storm.run(storm.now + 8 * LEASE)
    assert not lost.owner.durable.state_lost and lost.owner.may_vote()
    changes = [
        fact
        for _, fact in sorted(storm.checker.committed_commands.items())
        if fact[0] in ("admit", "dismiss")
    ]
    assert changes == [("dismiss", lost.name), ("admit", lost.name, 2)]
    assert lost.owner.durable.vote is not None, "its vote of this term may have been given before"


def test_voters_without_durable_state_never_replace_a_lost_majority():
    storm = stable_cluster()
    survivor, *rest = storm.voters.values()
    for voter in rest:
        voter.up = False
    storm.run(storm.now + LEASE)
    for voter in rest:
        voter.disk, voter.incarnation, voter.up = None, 2, True
        voter.start()
    storm.run(storm.now + 20 * LEASE)
    assert storm.leader() is None and not storm.checker.violation_count()


def test_leadership_transfer_is_quick_and_the_old_leader_stops_acting():
    storm = stable_cluster()
    old_leader = storm.leader()
    successor = next(name for name in storm.voters if name != old_leader.name)
    started_at = storm.now
    old_leader.apply_effects(old_leader.owner.transfer_leadership(old_leader.clock(), successor))
    assert not old_leader.owner.holds_lease(old_leader.clock())
    while storm.leader() is None:
        storm.run(storm.now + 0.01)
    assert storm.leader().name == successor and storm.now - started_at < 0.3 * LEASE
    assert not storm.checker.violation_count()


def test_lost_leader_is_replaced_within_a_few_leases():
    """A replacement takes a lease and a randomized time-out, twice that if two candidates split the vote."""
    lost = sorted(measure_owner_loss(3, 1, 8) + measure_owner_loss(5, 2, 8))
    assert lost[len(lost) // 2] < 1.5 * LEASE and lost[-1] < 3.5 * LEASE


def test_long_log_is_compacted_and_an_absent_follower_gets_the_snapshot():
    storm = stable_cluster()
    leader = storm.leader()
    away = next(v for v in storm.voters.values() if v is not leader)
    away.up = False
    for number in range(3 * raft.LOG_ENTRIES_RETAINED):
        assert leader.owner.propose(leader.clock(), ("grant", f"d{number % 5}", leader.name, 1))
        leader.apply_effects(leader.owner.tick(leader.clock()))
        if number % 16 == 0:
            storm.run(storm.now + 0.1)
    storm.run(storm.now + LEASE)
    assert (
        len(leader.owner.durable.entries) <= 2 * raft.LOG_ENTRIES_RETAINED + 16
        and leader.owner.durable.snapshot_index > raft.LOG_ENTRIES_RETAINED
    )
    storm.restart(away, False)
    storm.run(storm.now + 3 * LEASE)
    assert (
        away.owner.state == leader.owner.state
        and away.owner.state.fencing_token == 3 * raft.LOG_ENTRIES_RETAINED
    )


def voter(name="a", durable=None, now=0.0, incarnation=1):
    founders = () if durable else (("a", 1), ("b", 1), ("c", 1))
    return RaftNode(name, incarnation, 1.0, SeededRandom(1), now, durable, founders)


def sent(effects, kind):
    return [
        (effect.to, effect.fields) for effect in effects if isinstance(effect, Send) and effect.kind == kind
    ]


def test_vote_is_given_once_per_term_even_after_a_restart_and_persisted_before_it_is_sent():
    node = voter()
    effects = node.receive(5.0, "b", "vote", [3, 1, 0, False])
    assert isinstance(effects[0], Persist) and effects[0].durable.vote == "b" and sent(effects, "voted")
    assert not sent(node.receive(5.1, "c", "vote", [3, 1, 0, False]), "voted")
    restarted = voter(durable=effects[0].durable, now=5.2)
    assert not sent(restarted.receive(9.0, "c", "vote", [3, 1, 0, False]), "voted")
    assert sent(restarted.receive(9.0, "b", "vote", [3, 1, 0, False]), "voted"), "the same vote is repeated"


def test_vote_is_withheld_for_an_outdated_log_and_while_a_lease_may_depend_on_it():
    node = voter()
    node.receive(5.0, "b", "append", [2, 1, 1, 0, [[2, ["begin"]]], 2])
    assert not sent(node.receive(5.5, "c", "vote", [9, 2, 2, False]), "voted"), (
        "a lease of b may depend on it"
    )
    assert node.durable.term == 2, "its term does not rise in the meantime"
    assert not sent(node.receive(7.0, "c", "vote", [9, 1, 0, False]), "voted"), "an older log"
    assert sent(node.receive(7.0, "c", "vote", [10, 2, 2, False]), "voted")


def leading(term_before=0, entries=()):
    """Return `a` of three voters, just elected, with entries of earlier terms in its log, and the time."""
    durable = DurableState(
        term=term_before,
        snapshot_index=1,
        snapshot=ClusterState((("a", 1), ("b", 1), ("c", 1))),
        entries=entries,
    )
    node = voter(durable=durable)
    now = 5.0
    node.tick(now)
    node.receive(now, "b", "would", [node.durable.term + 1, node.durable.term, True])
    node.receive(now, "b", "voted", [node.durable.term])
    assert node.role == Role.LEADER
    return node, now


def test_lease_counts_from_the_sending_of_the_acknowledged_round():
    node, now = leading()
    assert not node.holds_lease(now), "elected, but no round is acknowledged yet"
    number, last = node.round_number, node.last_position().last_index
    node.receive(now + 0.9, "b", "appended", [node.durable.term, number, True, last, 1])
    assert node.lease_until == now + 1.0 and not node.holds_lease(now + 1.0)


def test_acknowledgements_of_another_incarnation_do_not_count():
    node, now = leading()
    number, last = node.round_number, node.last_position().last_index
    for incarnation in (0, 2):
        node.receive(now, "b", "appended", [node.durable.term, number, True, last, incarnation])
        assert not node.holds_lease(now) and node.commit_index == 1
    node.receive(now, "b", "appended", [node.durable.term, number, True, last, 1])
    assert node.holds_lease(now) and node.commit_index == last


def test_single_voter_admits_a_second_that_has_to_acknowledge_before_it_votes():
    """Its addition commits with its own acknowledgement, as it may be half of the new majority."""
    alone = RaftNode("a", 1, 1.0, SeededRandom(1), 0.0, voters=(("a", 1),))
    new, now = RaftNode("b", 7, 1.0, SeededRandom(2), 0.0), 0.0

    def pass_on(effects, sender, to):
        for effect in effects:
            if isinstance(effect, Send):
                pass_on(to.receive(now, sender.name, effect.kind, effect.fields), to, sender)

    for step in range(60):
        now = step / 12
        if alone.holds_lease(now):
            alone.readmit_voter(now, "b", 7)
        pass_on(alone.tick(now), alone, new)
    assert alone.holds_lease(now) and new.may_vote() and len(alone.state.voters) == 2


def test_new_voter_votes_before_it_knows_that_its_addition_is_committed():
    """Its log has the addition, not known as committed; the majority, three of four, needs its vote."""
    founders = (("a", 1), ("b", 1), ("c", 1))
    now = 0.0
    fleet = {
        name: RaftNode(name, 1, 1.0, SeededRandom(n), 0.0, voters=founders) for n, name in enumerate("abc")
    }
    fleet["d"] = RaftNode("d", 9, 1.0, SeededRandom(9), 0.0)

    def play(until, stopped="", is_leader=None):
        nonlocal now
        while now < until:
            now += 1 / 12
            for name in fleet:
                if name in stopped:
                    continue
                pending = [(name, effect) for effect in fleet[name].tick(now)]
                while pending:
                    sender, effect = pending.pop(0)
                    if isinstance(effect, Send) and effect.to not in stopped:
                        pending += [
                            (effect.to, response)
                            for response in fleet[effect.to].receive(now, sender, effect.kind, effect.fields)
                        ]
                if is_leader is not None and is_leader(name):
                    return name
        return None

    leader = play(20.0, is_leader=lambda name: fleet[name].holds_lease(now) and fleet[name].commit_index > 1)
    fleet[leader].readmit_voter(now, "d", 9)
    pending = fleet[leader].tick(now)
    while pending:  # it reaches all; only the new voter's acknowledgement arrives, and no commit index
        effect = pending.pop(0)
        if isinstance(effect, Send) and effect.kind in ("append", "snapshot"):
            answers = fleet[effect.to].receive(now, leader, effect.kind, effect.fields)
            for answer in answers if effect.to == "d" else ():
                if isinstance(answer, Send):
                    pending += fleet[leader].receive(now, "d", answer.kind, answer.fields)
    assert fleet["d"].commit_index < fleet["d"].last_position().last_index and fleet["d"].may_vote()
    assert play(now + 20.0, stopped=leader, is_leader=lambda name: fleet[name].holds_lease(now)) not in (
        None,
        leader,
    )


def test_entry_of_an_earlier_term_is_committed_only_with_one_of_this_term():
    node, now = leading(2, (LogEntry(1, ("grant", "d", "a", 1)),))
    assert node.last_position() == (3, 3)
    node.receive(now, "b", "appended", [3, node.round_number, True, 2, 1])
    assert node.commit_index == 1, "a majority has it, but a later leader could still replace it"
    node.receive(now, "b", "appended", [3, node.round_number, True, 3, 1])
    assert node.commit_index == 3


def test_late_snapshot_does_not_truncate_the_log():
    node = voter()
    entries = [[2, ["begin"]], [2, ["grant", "d", "b", 1]], [2, ["grant", "d", "c", 1]]]
    node.receive(5.0, "b", "append", [2, 1, 1, 0, entries, 2])
    facts = [[["a", 1], ["b", 1], ["c", 1]], [["d", "b", 1, 1]], 1, [], False]
    node.receive(5.1, "b", "snapshot", [2, 1, 3, 2, facts])
    assert node.last_position() == (4, 2) and node.durable.snapshot_index == 3, "acknowledged entries stay"


@FAST
@given(
    st.lists(
        st.tuples(
            st.sampled_from([*RaftNode.KINDS, "odd"]),
            st.lists(
                st.one_of(
                    st.integers(-2, 5),
                    st.booleans(),
                    st.none(),
                    st.text(max_size=2),
                    st.lists(st.integers(0, 3), max_size=3),
                ),
                max_size=8,
            ),
        ),
        max_size=10,
    )
)
def test_malformed_messages_are_ignored(messages):
    node = RaftNode("a", 1, 1.0, SeededRandom(1), 0.0, None, (("a", 1), ("b", 1), ("c", 1)))
    for number, (kind, fields) in enumerate(messages):
        node.receive(0.1 * number, "b", kind, fields)
        node.tick(0.1 * number + 0.05)
    assert node.role in range(4) and node.last_position().last_index >= 1


@pytest.mark.parametrize(
    "command",
    [
        [],
        [["begin"]],
        ["admit"],
        ["admit", "d", True],
        ["admit", 5, 1],
        ["dismiss"],
        ["grant", "d", "b"],
        ["grant", "d", "b", 1.5],
        ["drop", None],
        ["turn", "d"],
        ["epoch", "9"],
        ["hold"],
        ["begin", 1],
    ],
)
def test_entries_with_a_malformed_command_are_not_appended(command):
    """Guards against an IndexError for an empty command, and a command with too few arguments in the log."""
    node = voter()
    before = node.durable
    node.receive(5.0, "b", "append", [2, 1, 1, 0, [[2, command]], 2])
    assert node.durable == before
    node.receive(5.1, "b", "append", [2, 2, 1, 0, [[2, ["begin"]], [2, ["from a later version", 1]]], 3])
    assert node.last_position().last_index == 3, "a command of an unknown kind is kept"


@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        ("vote", [True, 1, 0, False]),
        ("vote", [3, True, 0, False]),
        ("vote", [3.0, 1, 0, False]),
        ("vote", [3, 1, 0, 1]),
        ("append", [True, 1, 1, 0, [], 1]),
        ("append", [2, 1, True, 0, [], 1]),
        ("append", [2, 1, 1, False, [], 1]),
        ("append", [2, 1, 1, 0, [[True, ["begin"]]], 2]),
        ("snapshot", [2, 1, True, 2, [[["a", 1]], [], 0, [], False]]),
        ("snapshot", [2, 1, 9, 2, [[["a", True]], [], 0, [], False]]),
        ("snapshot", [2, 1, 9, 2, [[["a", 1]], [], "7", [], False]]),
    ],
)
def test_values_of_another_type_change_nothing_that_is_durable(kind, fields):
    """Guards against True being accepted as 1, and 3.0 as 3, in terms and indexes."""
    node = voter()
    node.take_effects()
    before = node.durable
    assert not [effect for effect in node.receive(5.0, "b", kind, fields) if not isinstance(effect, Send)]
    assert node.durable == before
