"""A model checker for the election of the cluster's owner.

It searches all orders of messages, losses, duplicates, timeouts, pauses and restarts, breadth first, up to
given bounds, with the real Raft nodes. Time is one clock that advances in steps of about half a lease. A
suspended node is one that does not tick, which any node may do at any time. A state is identified by a hash
of what each voter holds, with all times relative to now, and of the messages in flight. All voters are alike
at the start, so only the first of them may become the first candidate. The result is a shortest sequence of
actions that breaks an invariant; it can be replayed.

The resource that a singleton task writes to is modelled, too: a node that holds the task's lease may send an
effect, which is in flight like a message and may outlive its sender's leadership. The resource, called sink,
compares its fencing token.
"""

from __future__ import annotations

import time
from collections import deque
from typing import NamedTuple

from ..cluster.raft import Committed, HeartbeatRound, Persist, RaftNode, Role, Send

STEP_LEASES = 0.52  # in leases: one step stays within a lease, two exceed it and any promise of a voter


class ConstantRandom:
    """Removes the random part of election timeouts: the search decides who becomes a candidate first."""

    def random(self):
        """Return the smallest draw."""
        return 0.0


class Bounds(NamedTuple):
    """The limits of a search; the fields after `flying` limit how often each action is used."""

    states: int = 60_000  # distinct states
    depth: int = 40  # actions in a row
    term: int = 2  # the highest
    flying: int = 6  # messages in flight at once
    steps: int = 3  # steps of time
    losses: int = 0  # a message that is never delivered counts as lost, too; this only makes room for others
    doubles: int = 0
    restarts: int = 0
    wipes: int = 0
    proposals: int = 0
    effects: int = 0
    readmissions: int = 0


class SearchResult(NamedTuple):
    """The result of a search."""

    states: int  # distinct states that were visited
    depth: int  # of the broken invariant, or the deepest state
    seconds: float
    broken: str | None  # name of the broken invariant
    story: tuple  # the actions that lead to it
    whole: bool  # every state within the bounds was visited


class State:
    """One state: the nodes, their durable states, the messages in flight, and what the invariants need.

    `flying` has (receiver, sender, kind, fields) of each message; `used` counts the limited actions.
    """

    __slots__ = (
        "durable_states",
        "committed_commands",
        "flying",
        "holder_by_fence",
        "leader_by_term",
        "incarnations",
        "now",
        "nodes",
        "highest_fence",
        "used",
    )

    def clone(self):
        """Return an independent copy."""
        other = State.__new__(State)
        other.nodes = {name: copy_raft_node(node) for name, node in self.nodes.items()}
        other.durable_states, other.incarnations = dict(self.durable_states), dict(self.incarnations)
        other.flying, other.now, other.used = list(self.flying), self.now, dict(self.used)
        other.committed_commands, other.leader_by_term = (
            dict(self.committed_commands),
            dict(self.leader_by_term),
        )
        other.highest_fence, other.holder_by_fence = self.highest_fence, dict(self.holder_by_fence)
        return other


def copy_raft_node(node):
    """Return a copy of a node that shares no mutable state with it."""
    other = object.__new__(type(node))
    for attribute, value in vars(node).items():
        if isinstance(value, dict):
            value = {
                name: HeartbeatRound(item.sent_at, set(item.acknowledged_by))
                if isinstance(item, HeartbeatRound)
                else item
                for name, item in value.items()
            }
        elif isinstance(value, (set, list)):
            value = type(value)(value)
        other.__dict__[attribute] = value
    return other


def initial_state(make=RaftNode, count=3):
    """Return a state in which all nodes have just started; `make` is their class."""
    state = State.__new__(State)
    names = [chr(ord("a") + number) for number in range(count)]
    founders = tuple((name, 1) for name in names)
    state.now, state.flying, state.committed_commands, state.leader_by_term = 0.0, [], {}, {}
    state.highest_fence, state.holder_by_fence = 0, {}  # highest fence at the sink; fence -> its holder
    state.nodes = {name: make(name, 1, 1.0, ConstantRandom(), -9.0, None, founders) for name in names}
    state.durable_states = {name: node.durable for name, node in state.nodes.items()}
    state.incarnations = dict.fromkeys(names, 1)
    state.used = dict.fromkeys(Bounds._fields[4:], 0)
    return state


def state_with_leader(make=RaftNode, count=3):
    """Return a state in which the first node leads by the votes of the second; no message is in flight."""
    state = initial_state(make, count)
    leader, voter = sorted(state.nodes)[:2]
    for _ in range(8):
        state, _ = apply_action(state, ("tick", leader, ""), make)
        for _ in range(24):
            deliverable = [
                number
                for number, (to, sender, _, _) in enumerate(state.flying)
                if {to, sender} == {leader, voter}
            ]
            if not deliverable:
                break
            state, _ = apply_action(state, ("deliver", deliverable[0], ""), make)
        state.flying = []
    assert state.nodes[leader].holds_lease(state.now)
    return state


def apply_effects(state, name, effects):
    """Carry out a node's effects; return a broken invariant or None."""
    for effect in effects:
        if isinstance(effect, Persist):
            state.durable_states[name] = effect.durable
        elif isinstance(effect, Send):
            state.flying.append((effect.to, name, effect.kind, to_tuples(effect.fields)))
        elif isinstance(effect, Committed) and effect.command[0] != "snapshot":
            if state.committed_commands.setdefault(effect.log_index, effect.command) != effect.command:
                return "committed facts stay"
            if effect.command[0] == "grant":
                _, holder_name, incarnation, fence = effect.state.task_lease(effect.command[1])
                holder = holder_name, incarnation, effect.log_index
                if state.holder_by_fence.setdefault(fence, holder) != holder:
                    return "one holder of a fence"
    return None


def to_tuples(value):
    """Return nested lists as nested tuples, which can be hashed."""
    return tuple(to_tuples(one) for one in value) if isinstance(value, (list, tuple)) else value


def to_lists(value):
    """Return nested tuples as nested lists, as a decoded message has them."""
    return [to_lists(one) for one in value] if isinstance(value, tuple) else value


def check_invariants(state):
    """Return a broken invariant or None."""
    acting = [(name, node.durable.term) for name, node in state.nodes.items() if node.holds_lease(state.now)]
    if len(acting) > 1:
        return "one acts at a time"
    for name, node in state.nodes.items():
        if node.role == Role.LEADER and state.leader_by_term.setdefault(node.durable.term, name) != name:
            return "one leader a term"
    return None


def possible_actions(state, bounds):
    """Return the actions that are possible within the bounds, as (kind, target, text) for apply_action."""
    used, possible = state.used, []
    for number, (to, sender, kind, _) in enumerate(state.flying):
        if any(other == state.flying[number] for other in state.flying[:number]):
            continue  # an equal message is in flight already: one order of the two is enough
        possible.append(("deliver", number, f"{sender}->{to} {kind}"))
        if used["losses"] < bounds.losses:
            possible.append(("lose", number, f"{sender}->{to} {kind}"))
        if used["doubles"] < bounds.doubles:
            possible.append(("double", number, f"{sender}->{to} {kind}"))
    if used["steps"] < bounds.steps:
        possible.append(("time", 0, "half a lease"))
    for name, node in state.nodes.items():
        may_stand = name == min(state.nodes) or any(other.durable.term for other in state.nodes.values())
        room = len(state.flying) <= bounds.flying - 2
        if may_stand and room and node.durable.term < bounds.term + (node.role == Role.LEADER):
            possible.append(("tick", name, ""))
        if used["restarts"] < bounds.restarts and node.durable.term:
            possible.append(("restart", name, ""))
        if used["wipes"] < bounds.wipes and node.durable.term:
            possible.append(("wipe", name, ""))
        if used["proposals"] < bounds.proposals and node.holds_lease(state.now):
            possible.append(("propose", name, ""))
        if used["effects"] < bounds.effects and current_fence(state, name) is not None:
            possible.append(("effect", name, ""))
        if used["readmissions"] < bounds.readmissions and node.holds_lease(state.now):
            possible += [
                ("readmit", name, other)
                for other, incarnation in state.incarnations.items()
                if incarnation > 1 and (other, incarnation) not in node.voters()
            ]
    return possible


def current_fence(state, name):
    """Return the fence under which a node would send an effect now, or None.

    It must hold the lease of the task, by a grant that was committed, in a term that it leads.
    """
    node = state.nodes[name]
    row = node.state.task_lease("d")
    if row is None or row[1:3] != (name, state.incarnations[name]) or not node.holds_lease(state.now):
        return None
    return row.fencing_token if node.term_of(node.commit_index) == node.durable.term else None


class Sink:
    """The resource that a singleton task writes to: rejects a fence below the highest that it has seen."""

    @staticmethod
    def accepts(highest_fence, fence):
        """Return whether an effect under this fence is accepted."""
        return fence >= highest_fence


# Action kind -> the field of Bounds that limits it.
BOUND_BY_ACTION = {
    "effect": "effects",
    "readmit": "readmissions",
    "time": "steps",
    "lose": "losses",
    "double": "doubles",
    "restart": "restarts",
    "wipe": "wipes",
    "propose": "proposals",
}


def apply_action(state, action, make=RaftNode, sink=Sink):
    """Return the next state, and a broken invariant or None.

    Args:
        action: (kind, target, text), where the target is a node's name or the index of a message in flight.
        make: The class of restarted nodes.
        sink: The class of the resource.
    """
    action_kind, target, _ = action
    state = state.clone()
    if action_kind in BOUND_BY_ACTION:
        state.used[BOUND_BY_ACTION[action_kind]] += 1
    broken = None
    if action_kind in ("deliver", "double"):
        to, sender, kind, fields = state.flying[target]
        if action_kind == "deliver":
            del state.flying[target]
        if to == "sink":
            if sink.accepts(state.highest_fence, fields[0]) and fields[0] < state.highest_fence:
                return state, "no effect after a higher fence was seen"
            state.highest_fence = max(state.highest_fence, fields[0])
            return state, None
        broken = apply_effects(state, to, state.nodes[to].receive(state.now, sender, kind, to_lists(fields)))
    elif action_kind == "lose":
        del state.flying[target]
    elif action_kind == "time":
        state.now = round(state.now + STEP_LEASES, 3)
    elif action_kind == "tick":
        broken = apply_effects(state, target, state.nodes[target].tick(state.now))
    elif action_kind == "effect":
        state.flying.append(("sink", target, "effect", (current_fence(state, target),)))
    elif action_kind == "readmit":
        node, other = state.nodes[target], action[2]
        node.readmit_voter(state.now, other, state.incarnations[other])
        broken = apply_effects(state, target, node.take_effects())
    elif action_kind == "propose":
        node = state.nodes[target]
        node.propose(state.now, ("grant", "d", target, state.incarnations[target]))
        broken = apply_effects(state, target, node.take_effects())
    else:
        if action_kind == "wipe":
            state.durable_states[target], state.incarnations[target] = None, state.incarnations[target] + 1
        state.nodes[target] = make(
            target, state.incarnations[target], 1.0, ConstantRandom(), state.now, state.durable_states[target]
        )
    return state, broken or check_invariants(state)


def state_key(state):
    """Return a hash that is equal for equivalent states.

    Times are relative to now, and all times more than 1.1 leases ago are the same.
    """

    def relative(time_s):
        return round(max(-1.1, time_s - state.now), 3)

    node_rows = []
    for name, node in sorted(state.nodes.items()):
        rounds = tuple(
            sorted(
                (node.round_number - number, relative(sent_at), tuple(sorted(acknowledged_by)))
                for number, (sent_at, acknowledged_by) in node.rounds.items()
                if state.now - sent_at <= 1.0
            )
        )
        node_rows.append(
            (
                node.durable,
                node.commit_index,
                node.role,
                node.leader,
                relative(node.votes_withheld_until),
                relative(node.election_at),
                relative(node.lease_until),
                relative(node.step_down_at),
                relative(node.heartbeat_at),
                node.transferring,
                tuple(sorted(node.votes_granted)),
                rounds,
                tuple(sorted(node.next_index.items())),
                tuple(sorted(node.match_index.items())),
                state.durable_states[name],
            )
        )
    return hash(
        (
            tuple(node_rows),
            tuple(sorted(state.flying, key=repr)),
            tuple(sorted(state.used.items())),
            tuple(sorted(state.leader_by_term.items())),
            state.highest_fence,
            tuple(sorted(state.holder_by_fence.items())),
        )
    )


def explore(bounds, make=RaftNode, count=3, start=None, sink=Sink):
    """Search from a state for the shortest sequence of actions that breaks an invariant."""
    return search(
        start or initial_state(make, count),
        bounds,
        lambda state: possible_actions(state, bounds),
        lambda state, action: apply_action(state, action, make, sink),
        state_key,
    )


def search(start, bounds, possible_actions, apply_action, state_key):
    """Search breadth first; states may be of any class with an attribute `flying`.

    Args:
        start: The first state.
        bounds: Its fields states, depth and flying limit the search.
        possible_actions: Returns the actions that are possible in a state.
        apply_action: Returns the state after an action, and a broken invariant or None.
        state_key: Returns the identity of a state.
    """
    began = time.perf_counter()
    visited, queue, deepest = {state_key(start)}, deque([(start, None, 0)]), 0
    while queue:
        state, path, depth = queue.popleft()
        deepest = max(deepest, depth)
        if depth >= bounds.depth:
            continue
        for action in possible_actions(state):
            after, broken = apply_action(state, action)
            step = (action, path)
            if broken:
                return SearchResult(
                    len(visited), depth + 1, time.perf_counter() - began, broken, action_sequence(step), False
                )
            after_key = state_key(after)
            if after_key in visited or len(after.flying) > bounds.flying:
                continue
            if len(visited) >= bounds.states:
                return SearchResult(len(visited), deepest, time.perf_counter() - began, None, (), False)
            visited.add(after_key)
            queue.append((after, step, depth + 1))
    return SearchResult(len(visited), deepest, time.perf_counter() - began, None, (), True)


def action_sequence(last_step):
    """Return the actions of a linked list of (action, step before), in order."""
    path_actions = []
    while last_step is not None:
        action, last_step = last_step
        path_actions.append(action)
    return tuple(reversed(path_actions))


def replay(sequence, make=RaftNode, count=3, start=None, sink=Sink):
    """Replay a sequence of actions; return the broken invariant at its end, or None.

    None is also returned when an action is impossible, because its message was never sent or its sender has
    no fence.
    """
    state, broken = start or initial_state(make, count), None
    for action in sequence:
        action_kind, target, text = action
        if action_kind in ("deliver", "lose", "double"):
            deliverable_numbers = [
                number
                for number, (to, sender, kind, _) in enumerate(state.flying)
                if f"{sender}->{to} {kind}" == text
            ]
            if not deliverable_numbers:
                return None
            target = target if target in deliverable_numbers else deliverable_numbers[0]
        if action_kind == "effect" and current_fence(state, target) is None:
            return None
        state, broken = apply_action(state, (action_kind, target, text), make, sink)
    return broken


def describe(sequence):
    """Return a sequence of actions as readable lines."""
    templates = {
        "deliver": "arrives: {}",
        "lose": "is lost: {}",
        "double": "arrives and stays in flight: {}",
        "time": "{} passes",
        "tick": "{0} checks its timeouts",
        "restart": "{0} is killed and restarted with its disk",
        "wipe": "{0} is killed and restarted without its disk",
        "propose": "{0} proposes a grant",
        "effect": "{0} checks its lease and sends an effect",
        "readmit": "{0} is readmitted",
    }
    return [
        templates[action_kind].format(target if not text else text) for action_kind, target, text in sequence
    ]
