"""Judges a fleet from outside: no member, it hears effects as they arrive and reads what members noted."""

from __future__ import annotations

from typing import NamedTuple

from ..virtual import percentile

GAP = 0.3  # s between looks of owners that count as a time without one: three of their ticks
TOLERANCE = 1e-6


class Effect(NamedTuple):
    at: float
    duty: str
    fence: int
    server: str
    stale: bool  # a higher fence had been seen
    done: bool


class World:
    """What duties touch. With fences it refuses what is lower than it has seen; without, it does all."""

    def __init__(self, clock, fenced=True):
        self.clock, self.fenced, self.seen, self.effects = clock, fenced, {}, []
        self.held = {}  # server -> an event: what it sent is read once that is set

    async def serve(self, reader, writer):
        async for line in reader:
            duty, fence, server = line.decode().split()
            if server in self.held:
                await self.held[server].wait()
            fence = int(fence)
            stale = fence < self.seen.get(duty, 0)
            self.seen[duty] = max(fence, self.seen.get(duty, 0))
            done = not stale or not self.fenced
            self.effects.append(Effect(self.clock(), duty, fence, server, stale, done))

    def refused(self):
        return sum(one.stale and not one.done for one in self.effects)

    def harm(self):
        return sum(one.stale and one.done for one in self.effects)

    def two_under_one_fence(self):
        """Fences that two servers had effects under."""
        servers = {}
        for one in self.effects:
            servers.setdefault((one.duty, one.fence), set()).add(one.server)
        return [fence for fence, names in servers.items() if len(names) > 1]


def read_notes(paths):
    """name -> rows of words."""
    out = {}
    for name, path in paths.items():
        try:
            out[name] = [line.split() for line in path.read_text().splitlines()]
        except FileNotFoundError:
            out[name] = []
    return out


def looks(notes):
    """(time, term, name) of all moments at which one would have acted, in order."""
    return sorted(
        (float(row[1]), int(row[2]), name) for name, rows in notes.items() for row in rows if row[0] == "acts"
    )


def at_once(seen):
    """Looks that came after a look of a higher term, and terms of two: none, where the lease holds."""
    out, highest, who = [], 0, {}
    for at, term, name in seen:
        if term < highest or who.setdefault(term, name) != name:
            out.append((at, term, name))
        highest = max(highest, term)
    return out


def unowned(seen):
    """s of each time without an owner."""
    times = [at for at, _, _ in seen]
    return [b - a for a, b in zip(times, times[1:]) if b - a > GAP]


def shares_over(notes, deaths, cap, sure, largest):
    """Moments at which all together might have used more than the cap. deaths: name -> times at which a life
    of it was over; those that are not there are no part of the sum, as they use nothing."""
    changes = []
    for name, rows in notes.items():
        rows = [(float(r[1]), float(r[2]), float(r[3])) for r in rows if r[0] == "share"]
        marks = [(at, amount) for at, amount, _ in rows]
        for index, (at, amount, until) in enumerate(rows):
            next_at = rows[index + 1][0] if index + 1 < len(rows) else float("inf")
            if until < next_at:
                marks.append((until, sure))  # it falls back to its sure share by itself
        marks += [(at, 0.0) for at in deaths.get(name, ())]
        changes += [(at, name, amount) for at, amount in marks]
    using, out = {}, []
    for at, name, amount in sorted(changes):
        using[name] = amount
        total = sum(using.values())
        if total > cap + TOLERANCE:
            out.append((at, total))
    return out


def line(found, **more):
    """One line of figures."""
    return " ".join(f"{key}={value}" for key, value in {**more, **found}.items())


def p(values, share):
    return f"{percentile(values, share):.2f}s" if values else "-"
