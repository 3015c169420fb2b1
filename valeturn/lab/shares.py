"""`lab shares`: the split of the calls, by chance over long times and by all orders up to small bounds.

Both drive the real decisions of both sides; the witness adds up what all servers may use, at every moment,
those that are not there too.
"""

from __future__ import annotations

import time
from collections import deque
from typing import NamedTuple

from ..cluster.quota import GrantId, QuotaAllocator, QuotaClient, QuotaGrant, QuotaRequest
from ..cluster.raft import CLOCK_DRIFT
from ..transport.seeded_random import SeededRandom
from .model_checker import search
from .virtual import Timeline

LASTS = 2.0  # s of a grant
ROUND = 0.5
CAP = 60.0
TOLERANCE = 1e-6


class Over(Exception):
    """The sum is over the cap: args are the time and the sum."""


class Play(Timeline):
    """Servers that ask, an owner that changes, messages lost, doubled and late, stops and restarts; clocks
    that differ by as much as is allowed for."""

    def __init__(self, seed, servers, spare=1, holder=QuotaClient, splitter=QuotaAllocator):
        super().__init__()
        self.random_source, self.servers, self.largest = (
            SeededRandom(seed * 7919 + 1),
            servers,
            servers + spare,
        )
        for _ in range(8):
            self.random_source.random()
        self.make_holder, self.make_splitter = holder, splitter
        self.rates = [1 + 0.9 * CLOCK_DRIFT * (self.random_source.random() - 0.5) for _ in range(servers)]
        self.needs = [20 * self.random_source.random() for _ in range(servers)]
        self.stopped, self.fence, self.lent, self.most = [0.0] * servers, 0, 0, 0.0
        self.holders = [holder(self.clock(n), CAP / self.largest, LASTS) for n in range(servers)]
        self.new_owner()
        for number in range(servers):
            self.at(ROUND * self.random_source.random(), self.ask, number)
        self.at(1.0, self.trouble)

    def clock(self, number):
        return self.now * self.rates[number] + 1000.0 * number

    def new_owner(self):
        self.fence, self.owner = self.fence + 1, int(self.random_source.random() * self.servers)
        self.splitter = self.make_splitter(self.clock(self.owner), self.fence, CAP, self.largest, LASTS)

    def send(self, action, *args):
        share = self.random_source.random
        if share() < 0.1:
            return
        for _ in range(1 + (share() < 0.1)):
            self.at(0.01 + 0.1 * share() + (1.5 * LASTS * share() if share() < 0.1 else 0.0), action, *args)

    def ask(self, number):
        self.at(ROUND * (0.8 + 0.4 * self.random_source.random()), self.ask, number)
        if self.now >= self.stopped[number]:
            if self.random_source.random() < 0.05:
                self.needs[number] = 50 * self.random_source.random() ** 3
            holder = self.holders[number]
            self.send(self.asked, number, holder, holder.request(self.clock(number), self.needs[number]))

    def asked(self, number, holder, said):
        wait = self.stopped[self.owner] - self.now
        if wait > 0:
            self.at(wait, self.asked, number, holder, said)
            return
        grant = self.splitter.handle_request(self.clock(self.owner), f"n{number}", said)
        if grant is not None:
            self.send(self.granted, number, holder, grant)

    def granted(self, number, holder, grant):
        wait = self.stopped[number] - self.now
        if holder is not self.holders[number]:
            return  # of an earlier life
        if wait > 0:
            self.at(wait, self.granted, number, holder, grant)
        elif holder.accept(self.clock(number), grant):
            self.lent += grant.amount > holder.guaranteed

    def trouble(self):
        share = self.random_source.random
        self.at(1 + 4 * share(), self.trouble)
        number, kind = int(share() * self.servers), share()
        if kind < 0.25:
            self.holders[number] = self.make_holder(self.clock(number), CAP / self.largest, LASTS)
        elif kind < 0.6:
            self.stopped[number] = self.now + 2 * LASTS * share()
        elif kind < 0.75:
            self.new_owner()

    def look(self):
        absent = (self.largest - self.servers) * CAP / self.largest
        total = sum(one.available(self.clock(n)) for n, one in enumerate(self.holders)) + absent
        self.most = max(self.most, total)
        if total > CAP + TOLERANCE:
            raise Over(self.now, total)


# ---- all orders


class Bounds(NamedTuple):
    states: int = 60_000
    depth: int = 30
    flying: int = 3
    steps: int = 6
    asks: int = 6
    owners: int = 1  # changes of owner
    restarts: int = 0


HALF = 0.55 * LASTS  # a step: two are past a grant, four past a promise
NEEDS = (0.0, 40.0)  # the first lends, the second borrows


class World:
    __slots__ = ("fence", "flying", "holders", "now", "splitter", "used")


def copy_of(one):
    other = object.__new__(type(one))
    slots = getattr(type(one), "__slots__", None)
    for name in slots or vars(one):
        value = getattr(one, name)
        if isinstance(value, dict):
            value = {k: copy_of(v) if hasattr(v, "sent") else v for k, v in value.items()}
        elif isinstance(value, list):
            value = [list(row) if isinstance(row, list) else row for row in value]
        elif isinstance(value, deque):
            value = deque(value, value.maxlen)
        setattr(other, name, value)
    return other


def begin(holder=QuotaClient, splitter=QuotaAllocator):
    """Both hold their sure share, and an owner may lend."""
    world = World()
    world.now, world.flying, world.fence, world.used = 100.0, [], 1, dict.fromkeys(Bounds._fields[3:], 0)
    world.holders = [holder(world.now - 50.0, CAP / 2, LASTS) for _ in NEEDS]
    world.splitter = splitter(world.now - 50.0, 1, CAP, 2, LASTS)
    for number in (0, 1):  # both are known
        world.holders[number].available(world.now)
        world.splitter.handle_request(
            world.now, str(number), QuotaRequest(NEEDS[number], -1.0, GrantId(0, 0))
        )
    return world


def lent(holder=QuotaClient, splitter=QuotaAllocator):
    """The first has promised less and said so; what the second may borrow is on its way."""
    world = begin(holder, splitter)
    for action in (
        ("ask", 0, ""),
        ("deliver", 0, ""),
        ("deliver", 0, ""),
        ("ask", 0, ""),
        ("deliver", 0, ""),
        ("ask", 1, ""),
        ("deliver", 1, ""),
    ):
        world, _ = act(world, action, holder, splitter)
    world.flying = [one for one in world.flying if one[1] == 1]
    world.used = dict.fromkeys(world.used, 0)
    return world


def actions(world, bounds):
    out = [("deliver", n, one[0]) for n, one in enumerate(world.flying) if one not in world.flying[:n]]
    if world.used["asks"] < bounds.asks and len(world.flying) < bounds.flying:
        out += [("ask", n, "") for n in range(len(NEEDS))]
    if world.used["steps"] < bounds.steps:
        out.append(("time", 0, ""))
    if world.used["owners"] < bounds.owners:
        out.append(("owner", 0, ""))
    if world.used["restarts"] < bounds.restarts:
        out += [("restart", n, "") for n in range(len(NEEDS))]
    return out


COUNTED = {"ask": "asks", "time": "steps", "owner": "owners", "restart": "restarts"}


def act(world, action, holder=QuotaClient, splitter=QuotaAllocator):
    """The next state, and the broken invariant or None."""
    what, which, _ = action
    after = World()
    after.now, after.flying, after.fence = world.now, list(world.flying), world.fence
    after.used = dict(world.used)
    after.holders, after.splitter = [copy_of(one) for one in world.holders], copy_of(world.splitter)
    if what in COUNTED:
        after.used[COUNTED[what]] += 1
    if what == "ask":
        need, stamp, holding = after.holders[which].request(after.now, NEEDS[which])
        after.flying.append(("ask", which, need, stamp, tuple(holding)))
    elif what == "time":
        after.now = round(after.now + HALF, 6)
    elif what == "owner":
        after.fence += 1
        after.splitter = splitter(after.now, after.fence, CAP, 2, LASTS)
    elif what == "restart":
        after.holders[which] = holder(after.now, CAP / 2, LASTS)
    else:
        message = after.flying.pop(which)
        if message[0] == "ask":
            _, number, need, stamp, holding = message
            grant = after.splitter.handle_request(
                after.now, str(number), QuotaRequest(need, stamp, GrantId(*holding))
            )
            if grant is not None:
                after.flying.append(("grant", number, grant))
        else:
            after.holders[message[1]].accept(after.now, QuotaGrant(*message[2]))
    total = sum(one.available(after.now) for one in after.holders)
    return after, "the sum of shares is under the cap" if total > CAP + TOLERANCE else None


def key(world):
    def ago(at):
        return round(min(9.0, max(-9.0, at - world.now)), 3)

    s = world.splitter
    places = tuple(
        (
            n,
            p.need,
            ago(p.requested_at),
            p.confirmed_amount,
            ago(p.confirmed_until),
            p.reduced_after,
            tuple((a, b, ago(c)) for a, b, c in p.sent),
        )
        for n, p in sorted(s.servers.items())
    )
    holders = tuple(
        (*h.current_grant, h.source, h.amount, ago(h.valid_until), tuple(map(ago, h.request_times)))
        for h in world.holders
    )
    flying = tuple(
        sorted(
            repr(
                ("ask", one[1], ago(one[3]), one[4])
                if one[0] == "ask"
                else ("grant", one[1], one[2][:3], ago(one[2].request_sent_at))
            )
            for one in world.flying
        )
    )
    return hash(
        (
            world.fence,
            s.number,
            ago(s.lending_from),
            ago(s.targets_computed_at),
            places,
            holders,
            flying,
            tuple(world.used.items()),
        )
    )


def explore(bounds, holder=QuotaClient, splitter=QuotaAllocator, start=begin):
    return search(
        start(holder, splitter),
        bounds,
        lambda world: actions(world, bounds),
        lambda world, action: act(world, action, holder, splitter),
        key,
    )


WORDS = {
    "deliver": "arrives: {1} {0}",
    "ask": "server {0} asks",
    "time": "half a grant's time passes",
    "owner": "another owner",
    "restart": "server {0} is killed and back",
}


def tell(story):
    return [WORDS[what].format(which, text) for what, which, text in story]


def main(servers, seeds, out):
    """1 where the sum was over the cap."""
    bad = lent = 0
    for seed in seeds:
        play = Play(seed, servers)
        try:
            play.run(300.0)
        except Over as over:
            bad += 1
            print(f"seed={seed} over the cap at {over.args[0]:.3f} s: {over.args[1]:.3f}", file=out)
        lent += play.lent
    print(
        f"virtual servers={servers} seeds={len(seeds)} minutes={5 * len(seeds)} lent={lent} over_cap={bad}",
        file=out,
    )
    began = time.perf_counter()
    found = explore(Bounds())
    print(
        f"explored states={found.states} depth={found.depth} whole={int(found.whole)} "
        f"broken={found.broken or 0} seconds={time.perf_counter() - began:.1f}",
        file=out,
    )
    for line in tell(found.story):
        print("  " + line, file=out)
    return 1 if bad or found.broken else 0
