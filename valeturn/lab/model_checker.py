"""A model checker of our own for the owner's decision: all orders of messages, losses, doubles, timeouts,
pauses and restarts, breadth first, up to stated bounds.

The real decision is driven. Time is one clock in steps of half a lease, which any voter may sleep through:
an owner that is stopped is one that does not tick. States are kept by a hash of what each voter holds, with
all times relative to now, and what is on its way; the voters are alike at the start, so that only the first
of them may stand first. What is found is the shortest way there, as a story that can be played again.

What a duty touches is there too: an owner that holds the duty may have an effect, which then flies as any
message does, past its owner's end; the sink compares its fence.
"""

from __future__ import annotations

import time
from collections import deque
from typing import NamedTuple

from ..cluster.raft import Committed, HeartbeatRound, Persist, RaftNode, Role, Send

STEP = 0.52  # of a lease: one keeps within it, two pass a promise


class Even:
    """No spread of waiting times: who stands first is the explorer's choice."""

    def random(self):
        return 0.0


class Bounds(NamedTuple):
    """How far is looked."""

    states: int = 60_000
    depth: int = 40
    term: int = 2  # the largest
    flying: int = 6  # messages on their way at once
    steps: int = 3  # of time
    losses: int = 0  # what is never delivered is lost as well; losing only makes room for others
    doubles: int = 0
    restarts: int = 0
    wipes: int = 0
    proposals: int = 0
    effects: int = 0
    readmissions: int = 0


class Found(NamedTuple):
    states: int
    depth: int
    seconds: float
    broken: str | None  # the invariant's name
    story: tuple  # the actions that lead there
    whole: bool  # all within the bounds was seen


class World:
    """One state: voters, what they kept, what flies, and what the witness knows."""

    __slots__ = ("disks", "facts", "flying", "holders", "leaders", "lives", "now", "owners", "seen", "used")

    def clone(self):
        other = World.__new__(World)
        other.owners = {name: copy_of(owner) for name, owner in self.owners.items()}
        other.disks, other.lives = dict(self.disks), dict(self.lives)
        other.flying, other.now, other.used = list(self.flying), self.now, dict(self.used)
        other.facts, other.leaders = dict(self.facts), dict(self.leaders)
        other.seen, other.holders = self.seen, dict(self.holders)
        return other


def copy_of(owner):
    other = object.__new__(type(owner))
    for key, value in vars(owner).items():
        if isinstance(value, dict):
            value = {
                k: HeartbeatRound(v.sent_at, set(v.acknowledged_by)) if isinstance(v, HeartbeatRound) else v
                for k, v in value.items()
            }
        elif isinstance(value, (set, list)):
            value = type(value)(value)
        other.__dict__[key] = value
    return other


def begin(make=RaftNode, count=3):
    world = World.__new__(World)
    names = [chr(ord("a") + n) for n in range(count)]
    founders = tuple((name, 1) for name in names)
    world.now, world.flying, world.facts, world.leaders = 0.0, [], {}, {}
    world.seen, world.holders = 0, {}  # the highest fence at the sink; fence -> who had it
    world.owners = {name: make(name, 1, 1.0, Even(), -9.0, None, founders) for name in names}
    world.disks = {name: owner.durable for name, owner in world.owners.items()}
    world.lives = dict.fromkeys(names, 1)
    world.used = dict.fromkeys(Bounds._fields[4:], 0)
    return world


def led(make=RaftNode, count=3):
    """The first leads, by the second's answers alone; nothing flies."""
    world = begin(make, count)
    a, b = sorted(world.owners)[:2]
    for _ in range(8):
        world, _ = act(world, ("tick", a, ""), make)
        for _ in range(24):
            ready = [n for n, (to, sender, _, _) in enumerate(world.flying) if {to, sender} == {a, b}]
            if not ready:
                break
            world, _ = act(world, ("deliver", ready[0], ""), make)
        world.flying = []
    assert world.owners[a].holds_lease(world.now)
    return world


def carry(world, name, effects):
    """Carries effects out; what it returns is a broken invariant, or None."""
    for effect in effects:
        if isinstance(effect, Persist):
            world.disks[name] = effect.durable
        elif isinstance(effect, Send):
            world.flying.append((effect.to, name, effect.kind, freeze(effect.fields)))
        elif isinstance(effect, Committed) and effect.command[0] != "snapshot":
            if world.facts.setdefault(effect.log_index, effect.command) != effect.command:
                return "committed facts stay"
            if effect.command[0] == "grant":
                _, owner, life, fence = effect.state.task_lease(effect.command[1])
                holder = owner, life, effect.log_index
                if world.holders.setdefault(fence, holder) != holder:
                    return "one holder of a fence"
    return None


def freeze(value):
    return tuple(freeze(one) for one in value) if isinstance(value, (list, tuple)) else value


def thaw(value):
    return [thaw(one) for one in value] if isinstance(value, tuple) else value


def judge(world):
    acting = [
        (name, owner.durable.term) for name, owner in world.owners.items() if owner.holds_lease(world.now)
    ]
    if len(acting) > 1:
        return "one acts at a time"
    for name, owner in world.owners.items():
        if owner.role == Role.LEADER and world.leaders.setdefault(owner.durable.term, name) != name:
            return "one leader a term"
    return None


def actions(world, bounds):
    """What may happen next, as values that `act` takes."""
    used, out = world.used, []
    for number, (to, sender, kind, _) in enumerate(world.flying):
        if any(other == world.flying[number] for other in world.flying[:number]):
            continue  # the same twice: one order is enough
        out.append(("deliver", number, f"{sender}->{to} {kind}"))
        if used["losses"] < bounds.losses:
            out.append(("lose", number, f"{sender}->{to} {kind}"))
        if used["doubles"] < bounds.doubles:
            out.append(("double", number, f"{sender}->{to} {kind}"))
    if used["steps"] < bounds.steps:
        out.append(("time", 0, "half a lease"))
    for name, owner in world.owners.items():
        first = name == min(world.owners) or any(o.durable.term for o in world.owners.values())
        room = len(world.flying) <= bounds.flying - 2
        if first and room and owner.durable.term < bounds.term + (owner.role == Role.LEADER):
            out.append(("tick", name, ""))
        if used["restarts"] < bounds.restarts and owner.durable.term:
            out.append(("restart", name, ""))
        if used["wipes"] < bounds.wipes and owner.durable.term:
            out.append(("wipe", name, ""))
        if used["proposals"] < bounds.proposals and owner.holds_lease(world.now):
            out.append(("propose", name, ""))
        if used["effects"] < bounds.effects and fence_of(world, name) is not None:
            out.append(("effect", name, ""))
        if used["readmissions"] < bounds.readmissions and owner.holds_lease(world.now):
            out += [
                ("readmit", name, other)
                for other, life in world.lives.items()
                if life > 1 and (other, life) not in owner.voters()
            ]
    return out


def fence_of(world, name):
    """Under which it would have an effect now: its grant was committed in a term that it leads."""
    owner = world.owners[name]
    row = owner.state.task_lease("d")
    if row is None or row[1:3] != (name, world.lives[name]) or not owner.holds_lease(world.now):
        return None
    return row.fencing_token if owner.term_of(owner.commit_index) == owner.durable.term else None


class Sink:
    """What a duty touches: refuses a lower fence than it has seen."""

    @staticmethod
    def takes(seen, fence):
        return fence >= seen


COUNTED = {
    "effect": "effects",
    "readmit": "readmissions",
    "time": "steps",
    "lose": "losses",
    "double": "doubles",
    "restart": "restarts",
    "wipe": "wipes",
    "propose": "proposals",
}


def act(world, action, make=RaftNode, sink=Sink):
    """The next state, and a broken invariant or None."""
    what, which, _ = action
    world = world.clone()
    if what in COUNTED:
        world.used[COUNTED[what]] += 1
    broken = None
    if what in ("deliver", "double"):
        to, sender, kind, fields = world.flying[which]
        if what == "deliver":
            del world.flying[which]
        if to == "sink":
            if sink.takes(world.seen, fields[0]) and fields[0] < world.seen:
                return world, "no effect after a higher fence was seen"
            world.seen = max(world.seen, fields[0])
            return world, None
        broken = carry(world, to, world.owners[to].receive(world.now, sender, kind, thaw(fields)))
    elif what == "lose":
        del world.flying[which]
    elif what == "time":
        world.now = round(world.now + STEP, 3)
    elif what == "tick":
        broken = carry(world, which, world.owners[which].tick(world.now))
    elif what == "effect":
        world.flying.append(("sink", which, "effect", (fence_of(world, which),)))
    elif what == "readmit":
        owner, other = world.owners[which], action[2]
        owner.readmit_voter(world.now, other, world.lives[other])
        broken = carry(world, which, owner.take_effects())
    elif what == "propose":
        owner = world.owners[which]
        owner.propose(world.now, ("grant", "d", which, world.lives[which]))
        broken = carry(world, which, owner.take_effects())
    else:
        if what == "wipe":
            world.disks[which], world.lives[which] = None, world.lives[which] + 1
        world.owners[which] = make(which, world.lives[which], 1.0, Even(), world.now, world.disks[which])
    return world, broken or judge(world)


def key(world):
    """What makes two states the same: times count from now, and long ago is long ago."""

    def ago(at):
        return round(max(-1.1, at - world.now), 3)

    rows = []
    for name, o in sorted(world.owners.items()):
        rounds = tuple(
            sorted(
                (o.round_number - n, ago(at), tuple(sorted(who)))
                for n, (at, who) in o.rounds.items()
                if world.now - at <= 1.0
            )
        )
        rows.append(
            (
                o.durable,
                o.commit_index,
                o.role,
                o.leader,
                ago(o.votes_withheld_until),
                ago(o.election_at),
                ago(o.lease_until),
                ago(o.step_down_at),
                ago(o.heartbeat_at),
                o.transferring,
                tuple(sorted(o.votes_granted)),
                rounds,
                tuple(sorted(o.next_index.items())),
                tuple(sorted(o.match_index.items())),
                world.disks[name],
            )
        )
    return hash(
        (
            tuple(rows),
            tuple(sorted(world.flying, key=repr)),
            tuple(sorted(world.used.items())),
            tuple(sorted(world.leaders.items())),
            world.seen,
            tuple(sorted(world.holders.items())),
        )
    )


def explore(bounds, make=RaftNode, count=3, start=None, sink=Sink):
    """From a world on: the first broken invariant is by a shortest story."""
    return search(
        start or begin(make, count),
        bounds,
        lambda world: actions(world, bounds),
        lambda world, action: act(world, action, make, sink),
        key,
    )


def search(first, bounds, actions, act, key):
    """Breadth first, of any world with `flying`."""
    began = time.perf_counter()
    seen, queue, deepest = {key(first)}, deque([(first, None, 0)]), 0
    while queue:
        world, path, depth = queue.popleft()
        deepest = max(deepest, depth)
        if depth >= bounds.depth:
            continue
        for action in actions(world):
            after, broken = act(world, action)
            trace = (action, path)
            if broken:
                return Found(len(seen), depth + 1, time.perf_counter() - began, broken, story(trace), False)
            mark = key(after)
            if mark in seen or len(after.flying) > bounds.flying:
                continue
            if len(seen) >= bounds.states:
                return Found(len(seen), deepest, time.perf_counter() - began, None, (), False)
            seen.add(mark)
            queue.append((after, trace, depth + 1))
    return Found(len(seen), deepest, time.perf_counter() - began, None, (), True)


def story(trace):
    out = []
    while trace is not None:
        action, trace = trace
        out.append(action)
    return tuple(reversed(out))


def replay(actions_, make=RaftNode, count=3, start=None, sink=Sink):
    """Plays a story again; the broken invariant at its end, or None: also where it can't go on so, as the
    message that is to arrive was never sent."""
    world, broken = start or begin(make, count), None
    for action in actions_:
        what, which, text = action
        if what in ("deliver", "lose", "double"):
            there = [
                n for n, (to, sender, kind, _) in enumerate(world.flying) if f"{sender}->{to} {kind}" == text
            ]
            if not there:
                return None
            which = which if which in there else there[0]
        if what == "effect" and fence_of(world, which) is None:
            return None
        world, broken = act(world, (what, which, text), make, sink)
    return broken


def tell(actions_):
    """The story for a person, a line each."""
    words = {
        "deliver": "arrives: {}",
        "lose": "is lost: {}",
        "double": "arrives and flies on: {}",
        "time": "{} passes",
        "tick": "{0} looks at its clock",
        "restart": "{0} is killed and back with its disk",
        "wipe": "{0} is killed and back without its disk",
        "propose": "{0} proposes a grant",
        "effect": "{0} looks at its lease and has an effect",
        "readmit": "{0} is taken back in",
    }
    return [words[what].format(which if not text else text) for what, which, text in actions_]
