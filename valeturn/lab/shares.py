"""`lab shares`: checks the call quotas, with random schedules over long times and by exhaustive search.

Both drive the real quota client and allocator. At every moment the quotas that all servers may use, counting
the guaranteed quotas of absent servers, must add up to at most the cap.
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

GRANT_DURATION_S = 2.0  # seconds for which a grant is valid
REQUEST_INTERVAL_S = 0.5  # mean seconds between the requests of a server
CAP = 60.0  # concurrent calls of the whole fleet
TOLERANCE = 1e-6  # of the sum, for rounding errors


class CapExceeded(Exception):
    """The sum of the quotas exceeds the cap; args are the time in seconds and the sum."""


class QuotaSimulation(Timeline):
    """A random schedule of quota requests, with changes of owner, message loss, duplication and delay, pauses
    and restarts of servers, and clocks that differ by up to 0.9 of the allowed drift.
    """

    def __init__(self, seed, servers, spare=1, client=QuotaClient, allocator=QuotaAllocator):
        """spare: how many more servers the cap is split for than are present."""
        super().__init__()
        self.random_source, self.servers, self.max_servers = (
            SeededRandom(seed * 7919 + 1),
            servers,
            servers + spare,
        )
        for _ in range(8):  # the first draws of neighbouring seeds are alike
            self.random_source.random()
        self.make_client, self.make_allocator = client, allocator
        self.rates = [1 + 0.9 * CLOCK_DRIFT * (self.random_source.random() - 0.5) for _ in range(servers)]
        self.required_calls = [20 * self.random_source.random() for _ in range(servers)]
        self.paused_until, self.fencing_token, self.lent, self.max_total = [0.0] * servers, 0, 0, 0.0
        self.clients = [
            client(self.clock(number), CAP / self.max_servers, GRANT_DURATION_S) for number in range(servers)
        ]
        self.new_owner()
        for number in range(servers):
            self.at(REQUEST_INTERVAL_S * self.random_source.random(), self.send_request, number)
        self.at(1.0, self.inject_fault)

    def clock(self, number):
        """Return the server's own clock, which runs at its own rate from its own start."""
        return self.now * self.rates[number] + 1000.0 * number

    def new_owner(self):
        """Move the allocator to another server, which knows nothing of earlier grants."""
        self.fencing_token, self.owner = (
            self.fencing_token + 1,
            int(self.random_source.random() * self.servers),
        )
        self.allocator = self.make_allocator(
            self.clock(self.owner), self.fencing_token, CAP, self.max_servers, GRANT_DURATION_S
        )

    def send(self, action, *args):
        """Deliver a message by a later action(*args); a tenth is lost, a tenth duplicated, a tenth late."""
        draw = self.random_source.random
        if draw() < 0.1:
            return
        for _ in range(1 + (draw() < 0.1)):
            self.at(
                0.01 + 0.1 * draw() + (1.5 * GRANT_DURATION_S * draw() if draw() < 0.1 else 0.0),
                action,
                *args,
            )

    def send_request(self, number):
        """Send a request of a server to the owner, and schedule its next one."""
        self.at(REQUEST_INTERVAL_S * (0.8 + 0.4 * self.random_source.random()), self.send_request, number)
        if self.now >= self.paused_until[number]:
            if self.random_source.random() < 0.05:
                self.required_calls[number] = 50 * self.random_source.random() ** 3
            client = self.clients[number]
            self.send(
                self.on_request,
                number,
                client,
                client.request(self.clock(number), self.required_calls[number]),
            )

    def on_request(self, number, client, request):
        """Process a request at the owner, once it is not paused."""
        wait = self.paused_until[self.owner] - self.now
        if wait > 0:
            self.at(wait, self.on_request, number, client, request)
            return
        grant = self.allocator.handle_request(self.clock(self.owner), f"n{number}", request)
        if grant is not None:
            self.send(self.on_grant, number, client, grant)

    def on_grant(self, number, client, grant):
        """Process a grant at the server, once it is not paused."""
        wait = self.paused_until[number] - self.now
        if client is not self.clients[number]:
            return  # for an earlier incarnation of the server
        if wait > 0:
            self.at(wait, self.on_grant, number, client, grant)
        elif client.accept(self.clock(number), grant):
            self.lent += grant.amount > client.guaranteed

    def inject_fault(self):
        """Restart a server, pause one, change the owner or do nothing, and schedule the next fault."""
        draw = self.random_source.random
        self.at(1 + 4 * draw(), self.inject_fault)
        number, kind = int(draw() * self.servers), draw()
        if kind < 0.25:
            self.clients[number] = self.make_client(
                self.clock(number), CAP / self.max_servers, GRANT_DURATION_S
            )
        elif kind < 0.6:
            self.paused_until[number] = self.now + 2 * GRANT_DURATION_S * draw()
        elif kind < 0.75:
            self.new_owner()

    def look(self):
        """Check the sum of all quotas. Raise CapExceeded if it exceeds the cap."""
        absent = (self.max_servers - self.servers) * CAP / self.max_servers
        total = (
            sum(client.available(self.clock(number)) for number, client in enumerate(self.clients)) + absent
        )
        self.max_total = max(self.max_total, total)
        if total > CAP + TOLERANCE:
            raise CapExceeded(self.now, total)


# ---- exhaustive search


class Bounds(NamedTuple):
    """Limits of the search; the fields from `steps` on count the actions of one kind along a path."""

    states: int = 60_000
    depth: int = 30
    flying: int = 3  # messages in transit
    steps: int = 6  # of time, TIME_STEP_S each
    asks: int = 6  # requests
    owners: int = 1  # changes of owner
    restarts: int = 0


TIME_STEP_S = 0.55 * GRANT_DURATION_S  # seconds of a step: two outlast a grant, four a promised reduction
REQUIRED_CALLS = (0.0, 40.0)  # by server: the first lends, the second borrows


class SearchState:
    """A state of the search: clock, messages in transit, clients, allocator, and the actions used so far."""

    __slots__ = ("fencing_token", "flying", "clients", "now", "allocator", "used")


def copy_state(original):
    """Return a copy of a client, allocator or server record, deep as far as its state is mutable."""
    duplicate = object.__new__(type(original))
    slots = getattr(type(original), "__slots__", None)
    for name in slots or vars(original):
        value = getattr(original, name)
        if isinstance(value, dict):
            value = {
                label: copy_state(item) if hasattr(item, "sent") else item for label, item in value.items()
            }
        elif isinstance(value, list):
            value = [list(row) if isinstance(row, list) else row for row in value]
        elif isinstance(value, deque):
            value = deque(value, value.maxlen)
        setattr(duplicate, name, value)
    return duplicate


def initial_state(client=QuotaClient, allocator=QuotaAllocator):
    """Return the first state: both servers hold their guaranteed quota, and the owner may lend."""
    state = SearchState()
    state.now, state.flying, state.fencing_token, state.used = (
        100.0,
        [],
        1,
        dict.fromkeys(Bounds._fields[3:], 0),
    )
    state.clients = [client(state.now - 50.0, CAP / 2, GRANT_DURATION_S) for _ in REQUIRED_CALLS]
    state.allocator = allocator(state.now - 50.0, 1, CAP, 2, GRANT_DURATION_S)
    for number in (0, 1):  # make both known to the owner
        state.clients[number].available(state.now)
        state.allocator.handle_request(
            state.now, str(number), QuotaRequest(REQUIRED_CALLS[number], -1.0, GrantId(0, 0))
        )
    return state


def lending_state(client=QuotaClient, allocator=QuotaAllocator):
    """Return a state where the first server has confirmed a reduction and the second is about to borrow."""
    state = initial_state(client, allocator)
    for action in (
        ("ask", 0, ""),
        ("deliver", 0, ""),
        ("deliver", 0, ""),
        ("ask", 0, ""),
        ("deliver", 0, ""),
        ("ask", 1, ""),
        ("deliver", 1, ""),
    ):
        state, _ = apply_action(state, action, client, allocator)
    state.flying = [message for message in state.flying if message[1] == 1]
    state.used = dict.fromkeys(state.used, 0)
    return state


def actions(state, bounds):
    """Return the actions possible in this state within the bounds, as (kind, index, text)."""
    possible = [
        ("deliver", index, message[0])
        for index, message in enumerate(state.flying)
        if message not in state.flying[:index]
    ]
    if state.used["asks"] < bounds.asks and len(state.flying) < bounds.flying:
        possible += [("ask", number, "") for number in range(len(REQUIRED_CALLS))]
    if state.used["steps"] < bounds.steps:
        possible.append(("time", 0, ""))
    if state.used["owners"] < bounds.owners:
        possible.append(("owner", 0, ""))
    if state.used["restarts"] < bounds.restarts:
        possible += [("restart", number, "") for number in range(len(REQUIRED_CALLS))]
    return possible


# The field of Bounds that limits each kind of action.
BOUND_BY_KIND = {"ask": "asks", "time": "steps", "owner": "owners", "restart": "restarts"}


def apply_action(state, action, client=QuotaClient, allocator=QuotaAllocator):
    """Return the next state, and the violated invariant or None."""
    kind, which, _ = action
    after = SearchState()
    after.now, after.flying, after.fencing_token = state.now, list(state.flying), state.fencing_token
    after.used = dict(state.used)
    after.clients, after.allocator = (
        [copy_state(original) for original in state.clients],
        copy_state(state.allocator),
    )
    if kind in BOUND_BY_KIND:
        after.used[BOUND_BY_KIND[kind]] += 1
    if kind == "ask":
        required, sent_at, held = after.clients[which].request(after.now, REQUIRED_CALLS[which])
        after.flying.append(("ask", which, required, sent_at, tuple(held)))
    elif kind == "time":
        after.now = round(after.now + TIME_STEP_S, 6)
    elif kind == "owner":
        after.fencing_token += 1
        after.allocator = allocator(after.now, after.fencing_token, CAP, 2, GRANT_DURATION_S)
    elif kind == "restart":
        after.clients[which] = client(after.now, CAP / 2, GRANT_DURATION_S)
    else:
        message = after.flying.pop(which)
        if message[0] == "ask":
            _, number, required, sent_at, held = message
            grant = after.allocator.handle_request(
                after.now, str(number), QuotaRequest(required, sent_at, GrantId(*held))
            )
            if grant is not None:
                after.flying.append(("grant", number, grant))
        else:
            after.clients[message[1]].accept(after.now, QuotaGrant(*message[2]))
    total = sum(holder.available(after.now) for holder in after.clients)
    return after, "the sum of shares is under the cap" if total > CAP + TOLERANCE else None


def key(state):
    """Return a hash of the state with all times relative to now, so that equal states are explored once."""

    def relative(at):
        """Return a time relative to now, limited to 9 seconds either way."""
        return round(min(9.0, max(-9.0, at - state.now)), 3)

    allocator = state.allocator
    server_quotas = tuple(
        (
            name,
            quota.need,
            relative(quota.requested_at),
            quota.confirmed_amount,
            relative(quota.confirmed_until),
            quota.reduced_after,
            tuple((number, amount, relative(until)) for number, amount, until in quota.sent),
        )
        for name, quota in sorted(allocator.servers.items())
    )
    clients = tuple(
        (
            *client.current_grant,
            client.source,
            client.amount,
            relative(client.valid_until),
            tuple(map(relative, client.request_times)),
        )
        for client in state.clients
    )
    flying = tuple(
        sorted(
            repr(
                ("ask", message[1], relative(message[3]), message[4])
                if message[0] == "ask"
                else ("grant", message[1], message[2][:3], relative(message[2].request_sent_at))
            )
            for message in state.flying
        )
    )
    return hash(
        (
            state.fencing_token,
            allocator.number,
            relative(allocator.lending_from),
            relative(allocator.targets_computed_at),
            server_quotas,
            clients,
            flying,
            tuple(state.used.items()),
        )
    )


def explore(bounds, client=QuotaClient, allocator=QuotaAllocator, start=initial_state):
    """Search all states within the bounds, breadth first, from `start`; return model_checker's Found."""
    return search(
        start(client, allocator),
        bounds,
        lambda state: actions(state, bounds),
        lambda state, action: apply_action(state, action, client, allocator),
        key,
    )


DESCRIPTIONS = {
    "deliver": "arrives: {1} {0}",
    "ask": "server {0} sends a request",
    "time": "more than half of a grant's duration passes",
    "owner": "the owner changes",
    "restart": "server {0} is killed and restarted",
}


def describe(trace):
    """Return the actions of a trace as readable lines."""
    return [DESCRIPTIONS[kind].format(which, text) for kind, which, text in trace]


def main(servers, seeds, out):
    """Run both checks and print their figures. Return 1 if the sum exceeded the cap, else 0."""
    violations = lent = 0
    for seed in seeds:
        simulation = QuotaSimulation(seed, servers)
        try:
            simulation.run(300.0)
        except CapExceeded as exceeded:
            violations += 1
            print(f"seed={seed} over the cap at {exceeded.args[0]:.3f} s: {exceeded.args[1]:.3f}", file=out)
        lent += simulation.lent
    print(
        f"virtual servers={servers} seeds={len(seeds)} minutes={5 * len(seeds)} lent={lent} "
        f"over_cap={violations}",
        file=out,
    )
    started_at = time.perf_counter()
    found = explore(Bounds())
    print(
        f"explored states={found.states} depth={found.depth} whole={int(found.whole)} "
        f"broken={found.broken or 0} seconds={time.perf_counter() - started_at:.1f}",
        file=out,
    )
    for line in describe(found.story):
        print("  " + line, file=out)
    return 1 if violations or found.broken else 0
